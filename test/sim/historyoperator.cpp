#include "sim/historyoperator.hpp"

#include "core/json.hpp"

namespace weldsail::sim {
namespace {

constexpr Moment between_changes = 300;

std::string amended_route(std::uint64_t number) { return "amended" + std::to_string(number); }

std::string change_name(std::uint64_t number) { return "change" + std::to_string(number); }

/// Numbers that stand behind the word in the text.
std::set<std::uint64_t> numbers_behind(const std::string& text, const std::string& word) {
  std::set<std::uint64_t> numbers;
  for (auto place = text.find(word); place != std::string::npos; place = text.find(word, place + 1))
    numbers.insert(std::stoull("0" + text.substr(place + word.size(), 9)));
  return numbers;
}

HistoryContent content_of(const std::string& document) {
  const auto whole = numbers_behind(document, "mark-change");
  return {whole.empty() ? 0 : *whole.begin(), numbers_behind(document, "\"amended")};
}

HistoryContent after(HistoryContent content, const HistoryChange& change) {
  if (change.whole) return {change.number, {}};
  content.amendments.insert(change.number);
  return content;
}

}  // namespace

void HistoryOperator::work(std::uint64_t changes, Moment end) {
  auto& world = fleet_.world;
  if (accepted_ >= changes || world.now() >= end) return;
  if (under_way_.empty() && world.now() >= paused_until_) {
    change(newest_);
    if (world.chance.happens(0.05)) change(newest_);
  }
  if (world.chance.happens(0.1)) read(fleet_.controls[world.chance.below(fleet_.controls.size())]);
  world.at(world.now() + world.chance.between(between_changes / 3, between_changes),
           [this, changes, end] { work(changes, end); });
}

void HistoryOperator::change(std::uint64_t base) {
  auto& world = fleet_.world;
  const auto number = next_++;
  HistoryChange record{number, base, base == 0 || world.chance.happens(0.3), 0, false, false};
  RequestArrived request{0, "PUT", "/v1/config", {}, fleet_.document(change_name(number))};
  if (!record.whole) {
    request.method = "POST";
    request.path = "/v1/config/change";
    request.body =
        R"({"set":{"/cells/cell/tenants/t1/routes/)" + amended_route(number) + R"(":{"kind":"stream","model":"m1"}}})";
  }
  request.headers = {{"weldsail-base", std::to_string(base)}, {"weldsail-change", change_name(number)}};
  changes_[number] = record;
  changes_on_[base].push_back(number);
  under_way_.insert(number);
  const auto node = fleet_.controls[world.chance.below(fleet_.controls.size())];
  world.ask(node, std::move(request), [this, number](const Told& told) {
    under_way_.erase(number);
    auto& change = changes_[number];
    change.answered = fleet_.world.now();
    rapidjson::Document answer;
    answer.Parse(told.body.data(), told.body.size());
    if (!told.whole || !answer.IsObject()) return;
    const auto outcome = json_string_at(answer, "/outcome");
    change.accepted = outcome == "accepted";
    change.refused = outcome == "refused";
    const auto version = static_cast<std::uint64_t>(json_number_at(answer, "/version"));
    if (change.accepted && version != change.base + 1)
      faults.push_back("accepted as another version than base and one");
    if (change.accepted) ++accepted_;
    if (told.status == 422) faults.push_back("a good change is refused: " + told.body);
    newest_ = std::max({newest_, version, static_cast<std::uint64_t>(json_number_at(answer, "/newest"))});
  });
}

void HistoryOperator::read(const std::string& node) {
  const auto known = newest_;
  fleet_.world.ask(node, {0, "GET", "/v1/config", {}, {}}, [this, known](const Told& told) {
    if (!told.whole || told.status != 200) return;
    const std::uint64_t version = std::stoull("0" + header_value(told.headers, "weldsail-version"));
    if (version < known) faults.push_back("read of " + std::to_string(version) + " after " + std::to_string(known));
    newest_ = std::max<std::uint64_t>(newest_, version);
    check(version, told.body, "read");
  });
}

std::set<HistoryContent> HistoryOperator::possible(std::uint64_t version) const {
  const auto seen = seen_.find(version);
  if (seen != seen_.end()) return {seen->second};
  if (version == 0) return {HistoryContent{}};
  const auto before = possible(version - 1);
  std::set<HistoryContent> result;
  std::set<HistoryContent> accepted;
  const auto on = changes_on_.find(version - 1);
  if (on == changes_on_.end()) return {};
  for (const auto number : on->second) {
    const auto& change = changes_.at(number);
    if (change.refused) continue;
    for (const auto& content : before) {
      result.insert(after(content, change));
      if (change.accepted) accepted.insert(after(content, change));
    }
  }
  return accepted.empty() ? result : accepted;
}

void HistoryOperator::check(std::uint64_t version, const std::string& document, const std::string& where) {
  const auto content = content_of(document);
  if (!possible(version).contains(content))
    faults.push_back(where + ": version " + std::to_string(version) + " holds what no change explains");
  seen_[version] = content;
}

}  // namespace weldsail::sim
