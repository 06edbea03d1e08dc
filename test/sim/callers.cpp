#include "sim/callers.hpp"

#include <algorithm>
#include <sstream>

#include "core/json.hpp"

namespace weldsail::sim {
namespace {

std::vector<rapidjson::Document> events_of(const std::string& body) {
  std::vector<rapidjson::Document> events;
  for (std::size_t begin = 0; begin < body.size();) {
    const auto end = body.find("\n\n", begin);
    if (end == std::string::npos) break;
    const auto line = body.substr(begin, end - begin);
    begin = end + 2;
    events.emplace_back();
    if (line.starts_with("data: ")) events.back().Parse(line.data() + 6, line.size() - 6);
  }
  return events;
}

std::string stream_fault(const RecordedCall& call) {
  const auto events = events_of(call.told.body);
  std::uint64_t next = 0;
  bool final_seen = false;
  bool error_seen = false;
  for (const auto& event : events) {
    if (final_seen || error_seen) return "more after the end";
    if (event.HasParseError() || !event.IsObject()) return "a piece that is no JSON";
    if (event.HasMember("error")) {
      error_seen = true;
    } else if (json_bool_at(event, "/final")) {
      final_seen = true;
      if (json_number_at(event, "/pieces") != static_cast<double>(next) || next != call.pieces_wanted)
        return "finished early";
    } else {
      if (json_number_at(event, "/piece", -1) != static_cast<double>(next)) return "a piece skipped or repeated";
      if (json_string_at(event, "/text") != call.caller + ":" + std::to_string(next)) return "another's piece";
      ++next;
    }
  }
  if (call.told.whole && !final_seen && !error_seen) return "looks finished without an end";
  return {};
}

}  // namespace

CallOutcome outcome_of(const RecordedCall& call) {
  if (!call.answered || call.told.status == 0) return CallOutcome::none;
  if (call.told.status == 200) {
    if (call.kind == "call") return call.told.whole ? CallOutcome::whole : CallOutcome::broken;
    const bool whole = call.told.whole && call.told.body.find("\"final\":true") != std::string::npos;
    return whole ? CallOutcome::whole : CallOutcome::broken;
  }
  rapidjson::Document answer;
  answer.Parse(call.told.body.data(), call.told.body.size());
  if (!answer.IsObject()) return CallOutcome::broken;
  const auto outcome = json_string_at(answer, "/outcome");
  if (outcome == "not_run") return CallOutcome::not_run;
  return outcome == "unknown" ? CallOutcome::unknown : CallOutcome::broken;
}

std::string Callers::any_node() {
  std::vector<std::string> nodes;
  for (const auto& address : fleet_.datas)
    if (fleet_.world.node(address).alive && !avoided.contains(address)) nodes.push_back(address);
  return nodes.empty() ? fleet_.datas.front() : nodes[fleet_.world.chance.below(nodes.size())];
}

void Callers::ask(const std::string& node, const std::string& route, RecordedCall call, std::string body) {
  const auto place = calls_.size();
  call.node = node;
  call.asked = fleet_.world.now();
  call.tenant = !call.key.empty() || fleet_.world.chance.happens(0.5) ? "t1" : "t2";
  if (!only_tenant.empty()) call.tenant = only_tenant;
  call.route = route;
  const auto tenant = call.tenant;
  std::vector<Header> headers{{"weldsail-request", call.caller}, {"weldsail-due", std::to_string(call.due)}};
  if (!call.key.empty()) headers.push_back({"idempotency-key", call.key});
  calls_.push_back(std::move(call));
  const auto request = fleet_.world.ask(
      node, {0, "POST", "/v1/tenants/" + tenant + "/routes/" + route, std::move(headers), std::move(body)},
      [this, place](const Told& told) {
        calls_[place].answered = true;
        calls_[place].told = told;
      });
  if (leaving > 0 && request != 0 && fleet_.world.chance.happens(leaving)) leave_some(node, place, request);
}

void Callers::leave_some(const std::string& node, std::size_t place, std::uint64_t request) {
  auto& world = fleet_.world;
  const auto life = world.node(node).life;
  world.at(world.now() + world.chance.between(0, 800), [this, node, life, place, request] {
    auto& call = calls_[place];
    if (call.answered || fleet_.world.node(node).life != life) return;
    call.left = true;
    fleet_.world.give(node, life, RequestGone{request});
    if (!call.key.empty()) ask_call(any_node(), std::string(call.key), true);
  });
}

void Callers::ask_stream(const std::string& node, const std::string& route, std::uint64_t pieces) {
  RecordedCall call;
  call.caller = "s" + std::to_string(calls_.size());
  call.kind = route.starts_with("review") ? "resumable" : route.starts_with("menu") ? "deferred" : "stream";
  call.pieces_wanted = pieces;
  call.due = 20000;
  JsonText body;
  body.object().field("caller", call.caller).number("max_tokens", pieces);
  body.field("prompt", std::string(200 + fleet_.world.chance.below(2000), 'p')).close();
  ask(node, route, std::move(call), body.text());
}

void Callers::ask_call(const std::string& node, const std::string& key, bool repeat) {
  RecordedCall call;
  call.caller = "c" + std::to_string(calls_.size());
  call.kind = "call";
  call.key = key;
  call.repeat = repeat;
  call.due = 4000;
  JsonText body;
  body.object().field("caller", call.caller).close();
  ask(node, "seat", std::move(call), body.text());
}

void Callers::work_until(Moment end, Moment pause_most) {
  auto& world = fleet_.world;
  if (world.now() >= end) return;
  if (world.chance.happens(0.4)) {
    const auto key = world.chance.happens(0.5) ? "k" + std::to_string(calls_.size()) : std::string();
    ask_call(any_node(), key);
    if (!key.empty() && world.chance.happens(0.3))
      world.at(world.now() + world.chance.between(0, 3000), [this, key] { ask_call(any_node(), key, true); });
  } else {
    const auto model = std::to_string(1 + world.chance.below(fleet_.plan.models));
    const std::string kind = world.chance.happens(0.1) ? "menu" : world.chance.happens(0.5) ? "chat" : "review";
    ask_stream(any_node(), kind + model, 5 + world.chance.below(60));
  }
  world.at(world.now() + world.chance.between(1, pause_most), [this, end, pause_most] { work_until(end, pause_most); });
}

double Callers::whole_share(Moment from, Moment until) const { return whole_share(from, until, {}); }

double Callers::whole_share(Moment from, Moment until, const std::string& kind) const {
  double asked = 0;
  double whole = 0;
  for (const auto& call : calls_) {
    if (call.asked < from || call.asked >= until || call.repeat || call.left) continue;
    if (!kind.empty() && call.kind != kind) continue;
    asked += 1;
    if (outcome_of(call) == CallOutcome::whole) whole += 1;
  }
  return asked == 0 ? 1 : whole / asked;
}

std::size_t Callers::count(CallOutcome outcome) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(calls_, [&](const RecordedCall& call) { return outcome_of(call) == outcome; }));
}

std::set<std::string> Callers::allowed_services(const RecordedCall& call) const {
  const std::size_t own = call.tenant == "t1" || fleet_.plan.cells == 1 ? 0 : 1;
  std::set<std::string> services{service_name(call.kind == "call", own)};
  for (const auto& [from, until] : swapped) {
    if (call.asked + call.due < from || call.asked > until) continue;
    services.insert(service_name(call.kind == "call", 1 - own));
    if (call.asked > from) services.erase(service_name(call.kind == "call", own));
  }
  return services;
}

std::vector<std::string> Callers::faults() const {
  std::vector<std::string> faults;
  std::map<std::string, std::vector<BackRun>> runs;
  for (const auto& address : fleet_.backs->addresses())
    for (const auto& run : fleet_.backs->model(address).runs()) runs[run.caller].push_back(run);
  std::map<std::string, std::uint64_t> by_key;
  for (const auto& call : calls_) {
    const auto found = runs.find(call.caller);
    const auto count = found == runs.end() ? 0 : found->second.size();
    const auto outcome = outcome_of(call);
    if (!call.key.empty()) by_key[call.key] += count;
    if (call.kind != "resumable" && count > 1)
      faults.push_back(call.caller + " ran " + std::to_string(count) + " times");
    if (outcome == CallOutcome::not_run && count > 0) faults.push_back(call.caller + " told not_run but ran");
    if (call.kind == "call" && outcome == CallOutcome::whole &&
        call.told.body.find("\"granted\":\"" + call.caller + "\"") == std::string::npos && call.key.empty())
      faults.push_back(call.caller + " got another's answer");
    if (call.kind != "call" && call.told.status == 200) {
      const auto fault = stream_fault(call);
      if (!fault.empty()) faults.push_back(call.caller + ": " + fault);
    }
    if (found != runs.end())
      for (const auto& run : found->second)
        if (!allowed_services(call).contains(run.service))
          faults.push_back(call.caller + " reached service " + run.service);
    const auto limit = std::max(call.asked, fleet_.world.node(call.node).woken) + call.due + 1000;
    const bool late = call.answered && !call.left && call.told.at > limit;
    if (late && call.told.status != 0) faults.push_back(call.caller + " answered after its due time");
    if (!call.answered && !call.left && fleet_.world.now() > call.asked + call.due + 5000 &&
        fleet_.world.node(call.node).alive)
      faults.push_back(call.caller + " never answered");
  }
  for (const auto& [key, count] : by_key)
    if (count > 1) faults.push_back("key " + key + " ran " + std::to_string(count) + " times");
  return faults;
}

}  // namespace weldsail::sim
