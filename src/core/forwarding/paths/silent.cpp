#include <algorithm>

#include "core/forwarding/paths/path.hpp"

namespace weldsail {
namespace {

/// A stream's worker is silent after this part of the bound.
constexpr Moment stream_patience_parts = 3;
/// The worker of a request that isn't streamed is silent after this part of the bound, or so many of the route's aims.
constexpr Moment plain_patience_parts = 6;
constexpr Moment plain_patience_aims = 3;

/// True when the worker of the open try has been silent for long, to this and all other requests of this node.
bool silent_for_long(const DataState& state, const PathCarry& carry, Moment now) {
  const auto& item = carry.tries.back();
  const auto bound = state.options.member.bound;
  const auto track = state.path.tracks.find(item.worker);
  const auto heard = track == state.path.tracks.end() ? 0 : track->second.last_bytes;
  const auto patience = carry.route.mode == PathMode::stream
                            ? bound / stream_patience_parts
                            : std::max(bound / plain_patience_parts, plain_patience_aims * carry.route.aim);
  return now - std::max({item.last_bytes, item.begun, heard}) > patience;
}

void offer(DataState& state, PathCarry& carry, const wire::WorkerEntry& worker, Moment now, Effects& effects) {
  auto& item = carry.tries.back();
  note(effects, "attempt.silent",
       {{"request", carry.call.identity},
        {"worker", item.worker},
        {"silent_ms", std::to_string(now - item.last_bytes)},
        {"offered_to", worker.identity()}});
  item.phase = TryPhase::silent;
  item.partial = PartialAnswer{carry.status, std::move(carry.head), std::move(carry.answer), carry.reader};
  path_avoid(state, item.worker, now);
  path_open_try(state, carry, worker, now, effects);
}

/// A silent try is the open one again.
void resume(PathCarry& carry, std::vector<PathTry>::iterator place) {
  std::rotate(place, place + 1, carry.tries.end());
  auto& item = carry.tries.back();
  item.phase = TryPhase::open;
  carry.status = item.partial->status;
  carry.head = std::move(item.partial->head);
  carry.answer = std::move(item.partial->body);
  carry.reader = std::move(item.partial->reader);
  item.partial.reset();
}

/// How a try ends whose answer, by its head, is none for the caller; nothing where it may be one.
std::optional<TryPhase> turned_away(const DataState& state, const PathCarry& carry, const Event& event) {
  constexpr int first_server_error = 500;
  const auto* head = std::get_if<PipeHead>(&event);
  if (head == nullptr || (head->status >= 200 && head->status < 300)) return std::nullopt;
  if (state.options.dialect->read_head(carry.call, head->status, head->headers).not_run) return TryPhase::not_run;
  const bool none = carry.answer_begun || head->status >= first_server_error || path_promises(head->status);
  return none ? std::optional(TryPhase::failed) : std::nullopt;
}

void cancel_run(DataState& state, const PathCarry& carry, PathTry& item, TryPhase phase, const std::string& reason,
                Moment now, Effects& effects) {
  effects.push_back(CancelPipe{item.pipe});
  path_end_run(state, carry, item, phase, reason, now, effects);
}

}  // namespace

void path_offer_silent(DataState& state, Moment now, Effects& effects) {
  std::vector<std::uint64_t> silent;
  for (const auto& [request, carry] : state.path.carries)
    if (carry_open(carry) && carry_repeatable(carry) && silent_for_long(state, carry, now)) silent.push_back(request);
  const auto nodes = path_nodes(state);
  for (const auto request : silent) {
    auto& carry = state.path.carries.at(request);
    if (!budget_allows(state.path.budgets[carry.service], state.options.limits, nodes, now)) continue;
    if (!path_will_finish(state, carry, now)) continue;
    const auto choice = path_choose(state, carry, now);
    if (choice.worker != nullptr) offer(state, carry, *choice.worker, now, effects);
  }
}

bool path_silent_speaks(DataState& state, PathCarry& carry, std::uint64_t pipe, const Event& event, Moment now,
                        Effects& effects) {
  const auto place = std::ranges::find(carry.tries, pipe, &PathTry::pipe);
  const auto* ended = std::get_if<PipeEnded>(&event);
  if (ended != nullptr && !ended->whole) {
    const auto reason = ended->reason.empty() ? std::string("cut") : ended->reason;
    path_end_run(state, carry, *place, ended->sent ? TryPhase::broken : TryPhase::unsent, reason, now, effects);
    return false;
  }
  if (const auto phase = turned_away(state, carry, event)) {
    cancel_run(state, carry, *place, *phase, "refused_late", now, effects);
    return false;
  }
  cancel_run(state, carry, carry.tries.back(), TryPhase::left, "worker_speaks_again", now, effects);
  resume(carry, place);
  return true;
}

void path_settle_offer(DataState& state, PathCarry& carry, Moment now, Effects& effects) {
  const auto& last = carry.tries.back();
  const bool whole = last.phase == TryPhase::whole && !path_promises(carry.status);
  const bool open = carry_open(carry);
  if (whole || (open && last.has_event)) {
    for (auto& item : carry.tries)
      if (item.phase == TryPhase::silent) cancel_run(state, carry, item, TryPhase::left, "worker_silent", now, effects);
  }
  if (open || whole) return;
  const auto silent = std::ranges::find(carry.tries.rbegin(), carry.tries.rend(), TryPhase::silent, &PathTry::phase);
  if (silent != carry.tries.rend()) resume(carry, std::prev(silent.base()));
}

void path_cancel_all(DataState& state, PathCarry& carry, const std::string& reason, Moment now, Effects& effects) {
  for (auto& item : carry.tries)
    if (item.phase == TryPhase::open || item.phase == TryPhase::silent)
      cancel_run(state, carry, item, TryPhase::failed, reason, now, effects);
}

}  // namespace weldsail
