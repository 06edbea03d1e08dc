#include <algorithm>

#include "core/forwarding/paths/path.hpp"

namespace weldsail {
namespace {

// Part of the grace that is used to finish what is in hand.
constexpr double leave_share = 0.85;
// Parts of the grace; within the first of them a node that leaves still takes requests that may outlast it.
constexpr Moment take_parts = 3;

}  // namespace

void path_leave(DataState& state, Moment now) {
  const auto& limits = state.options.limits;
  state.leave_due = now + static_cast<Moment>(leave_share * static_cast<double>(limits.grace));
  state.path.take_until = now + std::min(limits.grace / take_parts, limits.drain);
  state.path.last_busy = now;
}

bool path_outlasts(const DataState& state, const PathCarry& carry, Moment now) {
  return state.leave_due != 0 && now >= state.path.take_until && carry.due > state.leave_due;
}

bool path_may_depart(DataState& state, Moment now, Effects& effects) {
  if (state.leave_due == 0) return false;
  if (now >= state.leave_due) {
    while (!state.path.carries.empty()) {
      auto& carry = state.path.carries.begin()->second;
      if (carry_open(carry)) effects.push_back(CancelPipe{carry.tries.back().pipe});
      path_end_try(state, carry, TryPhase::failed, "leaving", now, effects);
      if (carry_may_have_run(carry) || carry.answer_begun)
        path_break(state, carry, "leaving", now, effects);
      else
        path_refuse(state, carry, 503, "leaving", now, effects);
    }
    return true;
  }
  return state.path.carries.empty() && now - state.path.last_busy > state.options.member.bound;
}

bool path_ready(const DataState& state, Moment) {
  return state.path.config.has_value() && state.path.fleet.known && !state.member.leaving;
}

}  // namespace weldsail
