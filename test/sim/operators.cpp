#include "sim/operators.hpp"

#include <algorithm>

#include "core/json.hpp"

namespace weldsail::sim {

std::string Operators::any_node() {
  const auto& chance = fleet_.world.chance.below(fleet_.controls.size() + fleet_.datas.size());
  return chance < fleet_.controls.size() ? fleet_.controls[chance] : fleet_.datas[chance - fleet_.controls.size()];
}

void Operators::put(const std::string& node, std::uint64_t base, std::size_t more_routes, bool swapped) {
  RecordedChange change;
  change.id = "change" + std::to_string(next_++);
  change.document = fleet_.document(change.id, more_routes, swapped);
  change.base = base;
  RequestArrived request{0, "PUT", "/v1/config", {}, change.document};
  send(node, std::move(change), std::move(request));
}

void Operators::change(const std::string& node, std::uint64_t base, const std::string& route) {
  RecordedChange change;
  change.id = "change" + std::to_string(next_++);
  change.base = base;
  const auto body = R"({"set":{"/cells/cell/tenants/t1/routes/)" + route + R"(":{"kind":"stream","model":"m1"}}})";
  send(node, std::move(change), {0, "POST", "/v1/config/change", {}, body});
}

void Operators::send(const std::string& node, RecordedChange change, RequestArrived request) {
  const auto place = changes_.size();
  change.asked = fleet_.world.now();
  request.headers = {{"weldsail-base", std::to_string(change.base)}, {"weldsail-change", change.id}};
  changes_.push_back(std::move(change));
  fleet_.world.ask(node, std::move(request), [this, place](const Told& told) {
    auto& record = changes_[place];
    record.answered = fleet_.world.now();
    rapidjson::Document answer;
    answer.Parse(told.body.data(), told.body.size());
    record.outcome = told.whole && answer.IsObject() ? json_string_at(answer, "/outcome") : "unknown";
    if (!answer.IsObject()) return;
    record.version = static_cast<std::uint64_t>(json_number_at(answer, "/version"));
    record.newest = static_cast<std::uint64_t>(json_number_at(answer, "/newest"));
    newest_ = std::max({newest_, record.version, record.newest});
  });
}

void Operators::read(const std::string& node) {
  const auto place = reads_.size();
  reads_.push_back({fleet_.world.now(), 0, 0, {}});
  fleet_.world.ask(node, {0, "GET", "/v1/config", {}, {}}, [this, place](const Told& told) {
    if (!told.whole || told.status != 200) return;
    auto& record = reads_[place];
    record.answered = fleet_.world.now();
    record.version = std::stoull("0" + header_value(told.headers, "weldsail-version"));
    record.document = told.body;
    newest_ = std::max(newest_, record.version);
  });
}

void Operators::work_until(Moment end, Moment pause_most) {
  auto& world = fleet_.world;
  if (world.now() >= end) return;
  if (world.chance.happens(0.5))
    read(any_node());
  else
    put(any_node(), newest_);
  if (world.chance.happens(0.2)) put(any_node(), newest_);
  world.at(world.now() + world.chance.between(1, pause_most), [this, end, pause_most] { work_until(end, pause_most); });
}

void Operators::watch() {
  fleet_.world.stepped = [this](SimNode& node) {
    const auto* state = std::get_if<DataState>(&node.state);
    if (state == nullptr || state->document_version == 0) return;
    auto& version = in_force_[node.address];
    if (state->document_version < version)
      slips_.push_back(node.address + " slipped back to " + std::to_string(state->document_version));
    if (state->document_version == version) return;
    for (auto between = version + 1; between <= state->document_version; ++between)
      in_force_at_[node.address].try_emplace(between, fleet_.world.now());
    version = state->document_version;
    wire::ConfigValue value;
    value.ParseFromString(state->news.values.at(config_key).value());
    auto& known = documents_in_force_.try_emplace(version, value.document()).first->second;
    if (known != value.document()) slips_.push_back("two documents in force as version " + std::to_string(version));
  };
}

std::size_t Operators::accepted() const {
  return static_cast<std::size_t>(std::ranges::count(changes_, "accepted", &RecordedChange::outcome));
}

std::vector<std::string> Operators::late(Moment within, Moment from) const {
  std::vector<std::string> faults;
  for (const auto& change : changes_) {
    if (change.outcome != "accepted" || change.answered < from) continue;
    for (const auto& address : fleet_.datas) {
      const auto node = in_force_at_.find(address);
      const auto found = node == in_force_at_.end() ? std::map<std::uint64_t, Moment>::const_iterator{}
                                                    : node->second.find(change.version);
      const bool seen = node != in_force_at_.end() && found != node->second.end();
      if (seen && found->second - change.answered <= within) continue;
      faults.push_back(address + " had version " + std::to_string(change.version) + " in force " +
                       (seen ? std::to_string(found->second - change.answered) + " ms after its acceptance" : "never"));
    }
  }
  return faults;
}

std::vector<std::string> Operators::faults() const {
  auto faults = slips_;
  std::map<std::uint64_t, const RecordedChange*> accepted;
  std::map<std::string, const RecordedChange*> by_document;
  for (const auto& change : changes_) {
    if (!change.document.empty()) by_document[change.document] = &change;
    if (change.outcome != "accepted") continue;
    if (change.version != change.base + 1) faults.push_back(change.id + " accepted on another base");
    if (!accepted.emplace(change.version, &change).second)
      faults.push_back("version " + std::to_string(change.version) + " accepted twice");
  }
  const auto check_document = [&](std::uint64_t version, const std::string& document, const std::string& where) {
    const auto found = by_document.find(document);
    if (found == by_document.end()) {
      faults.push_back(where + ": a document that nobody sent");
      return;
    }
    const auto& change = *found->second;
    if (change.outcome == "refused") faults.push_back(where + ": refused " + change.id + " took effect");
    if (change.base + 1 != version) faults.push_back(where + ": " + change.id + " under a wrong version");
    const auto other = accepted.find(version);
    if (other != accepted.end() && other->second != &change) faults.push_back(where + ": not what was accepted");
  };
  for (const auto& [version, document] : documents_in_force_) check_document(version, document, "in force");
  for (const auto& read : reads_) {
    if (read.version == 0) continue;
    check_document(read.version, read.document, "read");
    for (const auto& [version, change] : accepted)
      if (change->answered < read.asked && version > read.version)
        faults.push_back("stale read of " + std::to_string(read.version) + " after " + std::to_string(version));
    for (const auto& earlier : reads_)
      if (earlier.version > read.version && earlier.answered < read.asked && earlier.version != 0)
        faults.push_back("read went back");
  }
  return faults;
}

std::optional<RecordedRead> Operators::read_back(Moment within) {
  const auto end = fleet_.world.now() + within;
  while (fleet_.world.now() < end) {
    const auto place = reads_.size();
    read(any_node());
    fleet_.world.run_until(fleet_.world.now() + 1000);
    if (reads_[place].version != 0) return reads_[place];
  }
  return std::nullopt;
}

}  // namespace weldsail::sim
