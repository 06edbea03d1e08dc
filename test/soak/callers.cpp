#include "callers.hpp"

#include <algorithm>

#include "core/json.hpp"

namespace weldsail::soak {
namespace {

constexpr const char* routes[] = {"chat1", "chat2", "seat"};
constexpr std::size_t call_route = 2;
constexpr std::size_t pieces_most = 80;
constexpr std::size_t key_share = 3;
constexpr Moment pause = 50;
constexpr const char* due_ms = "4000";
/// Whatever isn't ended after three times its due is not ended.
constexpr Moment answer_within = 12000;
/// A leaving process takes no request after this.
constexpr Moment taking_most = 3000;
/// A request that was sent so long before a process was told to leave has reached it.
constexpr Moment reached_within = 1000;

/// True for a whole stream: all pieces in their order, and the end that counts them.
bool stream_whole(const std::string& body, const std::string& caller, std::size_t pieces) {
  std::size_t from = 0;
  for (std::size_t piece = 0; piece < pieces; ++piece) {
    from = body.find("\"text\":\"" + caller + ":" + std::to_string(piece) + "\"", from);
    if (from == std::string::npos) return false;
  }
  return body.find("\"final\":true,\"pieces\":" + std::to_string(pieces) + "}", from) != std::string::npos;
}

/// True for a broken stream that says so: its pieces in order, and how many they are.
bool stream_ended_broken(const std::string& body, const std::string& caller) {
  const auto end = body.rfind("data: {\"error\"");
  if (end == std::string::npos) return false;
  rapidjson::Document told;
  told.Parse<rapidjson::kParseStopWhenDoneFlag>(body.data() + end + 6, body.size() - end - 6);
  if (told.HasParseError() || !told.IsObject()) return false;
  const auto pieces = json_count_at(told, "/pieces");
  std::size_t from = 0;
  for (std::size_t piece = 0; piece < pieces; ++piece) {
    from = body.find("\"text\":\"" + caller + ":" + std::to_string(piece) + "\"", from);
    if (from == std::string::npos || from > end) return false;
  }
  return true;
}

}  // namespace

Callers::Callers(FleetView fleet, Asker& asker, Ledger& ledger, const Troubles& troubles, Moment startup,
                 std::uint64_t seed)
    : fleet_(fleet),
      asker_(asker),
      ledger_(ledger),
      troubles_(troubles),
      startup_(startup),
      random_(seed),
      served_(std::size(routes), 0) {}

void Callers::tick(Moment now) {
  if (stopped_ || now < next_) return;
  next_ = now + pause;
  Call call;
  call.caller = "c" + std::to_string(++serial_);
  call.group = call.caller;
  call.route = pick(random_, std::size(routes));
  call.pieces = 1 + pick(random_, pieces_most);
  if (call.route != call_route || pick(random_, key_share) != 0) return send(call, {});
  send(call, call.group);
  call.caller += "-again";
  send(call, call.group);
}

void Callers::send(Call call, const std::string& key) {
  call.process = fleet_.controls() + pick(random_, fleet_.size() - fleet_.controls());
  call.sent = monotonic_now();
  calls_[call.caller] = call;
  JsonText body;
  body.object().field("caller", call.caller);
  if (call.route != call_route) body.field("prompt", "prompt of " + call.caller).number("max_tokens", call.pieces);
  body.close();
  Question question{"POST",
                    fleet_.child(call.process).callers,
                    std::string("/v1/tenants/callers/routes/") + routes[call.route],
                    {{"weldsail-due", due_ms}},
                    body.text(),
                    answer_within};
  if (!key.empty()) question.headers.push_back({"idempotency-key", key});
  ++open_;
  asker_.ask(question, [this, call](const Reply& reply) { answered(call, reply); });
}

void Callers::broken(const Call& call, const std::string& how) {
  ledger_.breach("request " + call.caller + " for " + routes[call.route] + " at " + fleet_.child(call.process).name +
                 " " + how);
}

void Callers::answered(const Call& call, const Reply& reply) {
  --open_;
  heard_[call.caller] = Outcome::unknown;
  judge_leaving(call, reply);
  if (!reply.whole) return judge_broken(call, reply, monotonic_now());
  if (reply.status == 200)
    judge_success(call, reply);
  else
    judge_refusal(call, reply);
}

/// An answer may break off only where its process or the way to it was in trouble meanwhile.
void Callers::judge_broken(const Call& call, const Reply& reply, Moment now) {
  ++outcomes_["broken_off"];
  if (troubles_.callers_disturbed_since(call.process, call.sent)) return;
  const auto calm = troubles_.calm_since(call.process);
  const bool starting = calm && call.sent < *calm + startup_;
  if (reply.status == 0 && starting) return;
  const auto left = troubles_.left_since(call.process, call.sent);
  if (reply.status == 0 && left && call.sent + reached_within > *left) return;
  broken(call, "broke off after " + std::to_string(now - call.sent) + " ms with status " +
                   std::to_string(reply.status) + (left ? " at a leaving process: " : ": ") + reply.reason);
}

void Callers::judge_leaving(const Call& call, const Reply& reply) {
  const auto left = troubles_.left_since(call.process, call.sent);
  if (left && reply.status == 200 && call.sent > *left + taking_most &&
      !troubles_.callers_disturbed_since(call.process, call.sent))
    broken(call, "was taken " + std::to_string(call.sent - *left) + " ms after the process was told to leave");
}

void Callers::judge_success(const Call& call, const Reply& reply) {
  const bool whole = call.route == call_route
                         ? reply.body.find("\"granted\":\"" + call.caller + "\"") != std::string::npos
                         : stream_whole(reply.body, call.caller, call.pieces);
  if (whole) {
    ++outcomes_["whole"];
    heard_[call.caller] = Outcome::whole;
    served_[call.route] = std::max(served_[call.route], call.sent);
  } else if (call.route != call_route && stream_ended_broken(reply.body, call.caller)) {
    ++outcomes_["told_broken"];
  } else {
    broken(call, "was answered 200 without a whole body: " + reply.body);
  }
}

void Callers::judge_refusal(const Call& call, const Reply& reply) {
  rapidjson::Document body;
  body.Parse(reply.body.data(), reply.body.size());
  const auto outcome = body.IsObject() ? json_string_at(body, "/outcome") : std::string();
  ++outcomes_[outcome.empty() ? "no_outcome" : outcome];
  if (outcome == "not_run") heard_[call.caller] = Outcome::not_run;
  if (outcome != "not_run" && outcome != "unknown")
    broken(call, "was answered " + std::to_string(reply.status) + " without an outcome: " + reply.body);
  if (reply.status == 404) broken(call, "was answered 404 for a route that always was");
}

bool Callers::served_since(Moment moment) const {
  return std::ranges::all_of(served_, [&](Moment sent) { return sent >= moment; });
}

void Callers::judge_runs(const std::map<std::string, std::size_t>& runs) {
  std::map<std::string, std::size_t> by_group;
  for (const auto& [caller, call] : calls_) {
    const auto found = runs.find(caller);
    const auto count = found == runs.end() ? 0 : found->second;
    if (call.route == call_route) by_group[call.group] += count;
    if (heard_.contains(caller) && heard_.at(caller) == Outcome::not_run && count != 0)
      broken(call, "heard not_run, and was run " + std::to_string(count) + " times");
    if (heard_.contains(caller) && heard_.at(caller) == Outcome::whole && count == 0)
      broken(call, "was answered whole, and no worker has run it");
  }
  for (const auto& [group, count] : by_group)
    if (count > 1) ledger_.breach("call " + group + " was run " + std::to_string(count) + " times");
}

}  // namespace weldsail::soak
