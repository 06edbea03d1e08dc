#include <algorithm>

#include "core/json.hpp"
#include "sim/cutoff.hpp"

/// What operators send to processes of which some are cut off, and what each answer may be.
namespace weldsail::sim {
namespace {

constexpr Moment answer_within = 1000;

std::string platform_document(std::uint64_t revision) {
  const auto number = std::to_string(revision);
  return R"({"revision":)" + number + R"(,"route_table":[{"label":"r","host":"h)" + number +
         R"(","path_prefix":"/x/","plant":"p","deadline_ms":100}],"plants":[{"label":"p"}]})";
}

std::string platform_amendment(std::uint64_t revision) {
  const auto number = std::to_string(revision);
  return R"({"revision":)" + number + R"(,"apply":{"route_table":[{"label":"a","host":"a)" + number +
         R"(","path_prefix":"/y/","plant":"p","deadline_ms":100}]}})";
}

std::string own_document(std::uint64_t revision) {
  return R"({"models":{},"cells":{"cell":{"tenants":{"mark)" + std::to_string(revision) + R"(":{}}}}})";
}

std::string own_change(std::uint64_t revision) {
  return R"({"set":{"/cells/cell/tenants":{"mark)" + std::to_string(revision) + R"(":{}}}})";
}

/// The revision of a document that was read; 0 when it is none that was sent.
std::uint64_t revision_of(const std::string& body) {
  rapidjson::Document document;
  document.Parse(body.data(), body.size());
  if (document.HasParseError() || !document.IsObject()) return 0;
  if (document.HasMember("revision")) return static_cast<std::uint64_t>(json_number_at(document, "/revision"));
  const auto mark = body.find("mark");
  return mark == std::string::npos ? 0 : std::stoull("0" + body.substr(mark + 4));
}

}  // namespace

RequestArrived CutWorld::request_of(const SentChange& change) const {
  RequestArrived request{0, change.method, change.path, {}, change.body};
  if (plan.platform)
    request.headers = {{"x-base-revision", std::to_string(change.base)}};
  else
    request.headers = {{"weldsail-base", std::to_string(change.base)},
                       {"weldsail-change", "change" + std::to_string(change.revision)}};
  return request;
}

std::size_t CutWorld::add_change(std::uint64_t base, bool amend) {
  SentChange change;
  change.base = base;
  change.revision = next_revision_;
  next_revision_ += 1 + world.chance.below(3);
  if (plan.platform) {
    change.method = "POST";
    change.path = amend ? "/api/configuration/amend" : "/api/configuration/replace";
    change.body = amend ? platform_amendment(change.revision) : platform_document(change.revision);
  } else {
    change.method = amend ? "POST" : "PUT";
    change.path = amend ? "/v1/config/change" : "/v1/config";
    change.body = amend ? own_change(change.revision) : own_document(change.revision);
  }
  changes_.push_back(std::move(change));
  return changes_.size() - 1;
}

/// Every control process is asked everything in turn, again and again.
void CutWorld::operate_until(Moment end) {
  if (world.now() >= end) return;
  const auto& address = controls[turn_++ % controls.size()];
  write(controls[world.chance.below(controls.size())]);
  repeat(address);
  send_bad(address);
  read(address);
  world.at(world.now() + world.chance.between(20, 120), [this, end] { operate_until(end); });
}

/// One writer, which sends its change again as it is until that has a clear answer. In the cut it now and then sends
/// one to a process that is cut off and doesn't come back to it.
void CutWorld::write(const std::string& address) {
  if (wholly_cut(address, world.now()) && world.chance.happens(0.1) && known_revision_ != 0)
    return send_change(address, add_change(known_revision_, false));
  if (!pending_) pending_ = add_change(known_revision_, known_revision_ != 0 && world.chance.happens(0.3));
  send_change(address, *pending_);
}

void CutWorld::send_change(const std::string& address, std::size_t place) {
  const auto asked = world.now();
  world.ask(address, request_of(changes_[place]),
            [this, address, place, asked](const Told& told) { check_change(address, place, asked, told); });
}

void CutWorld::check_change(const std::string& address, std::size_t place, Moment asked, const Told& told) {
  auto& change = changes_[place];
  const auto name = "change " + std::to_string(change.revision);
  check_answer(address, name, asked, told);
  if (!told.whole || told.status >= 500) return;
  if (told.status == 200) {
    rapidjson::Document answer;
    answer.Parse(told.body.data(), told.body.size());
    const auto version = static_cast<std::uint64_t>(json_number_at(answer, "/version"));
    if (change.acknowledged && change.version != version) fault(name + " acknowledged under two versions");
    for (const auto& other : changes_)
      if (other.acknowledged && &other != &change && other.base == change.base)
        fault(name + " acknowledged on the base of " + std::to_string(other.revision));
    if (!change.acknowledged) {
      change.acknowledged = world.now();
      change.version = version;
      if (cut_since_ && healed_at_ == 0) ++acknowledged_in_cut;
    }
    known_revision_ = std::max(known_revision_, plan.platform ? change.revision : version);
  } else if (may_be_refused(change)) {
    change.refused = true;
  } else {
    fault(address + " refused " + name + " on " + std::to_string(change.base) + " with " + std::to_string(told.status) +
          ", though nothing else was sent on that");
  }
  if (pending_ == place) pending_.reset();
}

/// Another change on the same base, which may have been taken, is the only cause.
bool CutWorld::may_be_refused(const SentChange& change) const {
  if (change.acknowledged) return false;
  return std::ranges::any_of(changes_, [&](const SentChange& other) {
    return other.base >= change.base && other.revision != change.revision && !other.refused;
  });
}

void CutWorld::repeat(const std::string& address) {
  std::vector<std::size_t> acknowledged;
  for (std::size_t place = 0; place < changes_.size(); ++place)
    if (changes_[place].acknowledged) acknowledged.push_back(place);
  if (!acknowledged.empty()) send_change(address, acknowledged[world.chance.below(acknowledged.size())]);
}

/// Broken, or on a base that never was: refused, but only by one who knows.
void CutWorld::send_bad(const std::string& address) {
  SentChange change;
  change.revision = next_revision_++;
  change.base = known_revision_;
  change.method = plan.platform ? "POST" : "PUT";
  change.path = plan.platform ? "/api/configuration/replace" : "/v1/config";
  change.body = plan.platform ? platform_document(change.revision) : own_document(change.revision);
  const auto kind = world.chance.below(3);
  if (kind == 0) change.body.resize(change.body.size() / 2);
  if (kind == 1) change.base = 1000000;
  auto request = request_of(change);
  if (kind == 2) request.headers.erase(request.headers.begin());
  const auto asked = world.now();
  world.ask(address, std::move(request), [this, address, asked](const Told& told) {
    check_answer(address, "a bad change", asked, told);
    if (told.whole && told.status == 200) fault(address + " acknowledged a bad change");
  });
}

void CutWorld::read(const std::string& address) {
  const auto asked = world.now();
  RequestArrived request{0, "GET", plan.platform ? "/api/configuration/read" : "/v1/config", {}, {}};
  world.ask(address, std::move(request), [this, address, asked](const Told& told) {
    check_answer(address, "a read", asked, told);
    if (!told.whole || told.status >= 500) return;
    if (told.status != 200) {
      if (newest_version(asked) != 0) fault(address + " denies that there is a configuration");
      return;
    }
    const auto revision = revision_of(told.body);
    if (revision < newest_revision(asked))
      fault(address + " read " + std::to_string(revision) + ", but " + std::to_string(newest_revision(asked)) +
            " was acknowledged before");
    const auto version = std::stoull("0" + header_value(told.headers, "weldsail-version"));
    known_revision_ = std::max<std::uint64_t>(known_revision_, plan.platform ? revision : version);
  });
}

void CutWorld::check_answer(const std::string& address, const std::string& what, Moment asked, const Told& told) {
  if (!told.whole) return;
  const auto took = world.now() - asked;
  answer_most = std::max(answer_most, took);
  if (took > answer_within) fault(address + " answered " + what + " after " + std::to_string(took) + " ms");
  const bool retry = told.status == 503 || told.status == 504;
  if (told.status >= 500 && !retry) fault(address + " answered " + what + " with " + std::to_string(told.status));
  if (retry && header_value(told.headers, "retry-after").empty()) fault(address + " says no time to retry " + what);
  if (!retry && wholly_cut(address, asked))
    fault(address + ", cut off, answered " + what + " with " + std::to_string(told.status));
}

std::uint64_t CutWorld::newest_version(Moment until) const {
  std::uint64_t newest = 0;
  for (const auto& change : changes_)
    if (change.acknowledged && *change.acknowledged < until) newest = std::max(newest, change.version);
  return newest;
}

std::uint64_t CutWorld::newest_revision(Moment until) const {
  std::uint64_t newest = 0;
  for (const auto& change : changes_)
    if (change.acknowledged && *change.acknowledged < until) newest = std::max(newest, change.revision);
  return newest;
}

}  // namespace weldsail::sim
