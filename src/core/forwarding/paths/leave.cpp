#include <algorithm>

#include "core/forwarding/paths/path.hpp"

namespace weldsail {
namespace {

// Part of the grace that is used to finish what is in hand.
constexpr double leave_share = 0.85;
// Parts of the grace; within the first of them a node that leaves still takes requests that may outlast it.
constexpr Moment take_parts = 3;
// Share of the time for taking requests after which the connections that rest are closed.
constexpr double rest_share = 0.75;
// Share of what the finishing leaves of the grace in which answers may still be written out.
constexpr double write_share = 0.7;

Moment share_of(double share, Moment time) { return static_cast<Moment>(share * static_cast<double>(time)); }

/// Logs an answer that ends before it is whole; times are counted from the request to leave, negative before it.
void note_cut(const DataState& state, const PathCarry& carry, Moment now, Effects& effects) {
  const auto since_leave = [&](Moment moment) { return std::to_string(moment - state.path.leave_began); };
  const auto& last = carry.tries.back();
  note(effects, "leaving.cut",
       {{"request", carry.call.identity},
        {"route", carry.route.name},
        {"worker", last.worker},
        {"taken_ms", since_leave(carry.arrived)},
        {"sent_ms", since_leave(last.begun)},
        {"cut_ms", since_leave(now)},
        {"most_tokens", std::to_string(carry.call.most_tokens)},
        {"answer_begun", carry.answer_begun ? "true" : "false"}},
       true);
}

void break_off(DataState& state, Moment now, Effects& effects) {
  while (!state.path.carries.empty()) {
    auto& carry = state.path.carries.begin()->second;
    path_cancel_try(state, carry, TryPhase::failed, "leaving", now, effects);
    if (carry_may_have_run(carry) || carry.answer_begun) {
      ++state.path.leaving.cut;
      note_cut(state, carry, now, effects);
      path_break(state, carry, "leaving", now, effects);
    } else {
      ++state.path.leaving.refused_held;
      path_refuse(state, carry, 503, "leaving", now, effects);
    }
  }
}

}  // namespace

void path_leave(DataState& state, Moment now) {
  const auto& limits = state.options.limits;
  const auto take_time = std::min(limits.grace / take_parts, limits.drain);
  state.path.leave_began = now;
  state.leave_due = now + share_of(leave_share, limits.grace);
  state.path.take_until = now + take_time;
  state.path.close_resting_at = now + share_of(rest_share, take_time);
  state.path.last_busy = now;
}

bool path_outlasts(const DataState& state, const PathCarry& carry, Moment now) {
  return state.leave_due != 0 && now >= state.path.take_until && carry.due > state.leave_due;
}

bool path_may_depart(DataState& state, Moment now, Effects& effects) {
  if (state.leave_due == 0) return false;
  if (state.path.close_resting_at != 0 && now >= state.path.close_resting_at) {
    state.path.close_resting_at = 0;
    effects.push_back(CloseResting{});
  }
  if (now >= state.leave_due) {
    break_off(state, now, effects);
    return true;
  }
  return state.path.carries.empty() && now - state.path.last_busy > state.options.member.bound;
}

Moment path_write_time(const DataState& state) {
  const auto grace = state.options.limits.grace;
  return share_of(write_share, grace - share_of(leave_share, grace));
}

bool path_ready(const DataState& state, Moment) {
  return state.path.config.has_value() && state.path.fleet.known && !state.member.leaving;
}

}  // namespace weldsail
