#include <algorithm>

#include "core/forwarding/paths/path.hpp"

namespace weldsail {
namespace {

// Part of the grace that is used to finish what is in hand.
constexpr double leave_share = 0.96;
// Callers go on choosing a leaving node for a part of the grace, at most as long as draining takes; its connections
// that rest are closed after this share of that time.
constexpr Moment callers_parts = 3;
constexpr double rest_share = 0.75;
// Before this share of the time from which requests are owed their whole answer, they may be taken by an estimate.
constexpr double estimate_share = 0.85;
// An answer may be slower than the mean of its unit by this part of it, or of its service, whose models differ.
constexpr Moment unit_spare_parts = 4;
constexpr Moment service_spare_parts = 2;
// Share of what the finishing leaves of the grace in which answers may still be written out.
constexpr double write_share = 0.7;

Moment share_of(double share, Moment time) { return static_cast<Moment>(share * static_cast<double>(time)); }

Moment with_spare(Moment time, Moment parts) { return time + time / parts; }

std::optional<Moment> longest_of_kind(const LengthsByKind& lengths, const PathCarry& carry) {
  if (carry.route.mode == PathMode::stream) return lengths.streams.longest(carry.call.most_tokens);
  return lengths.in_one_piece.longest(0);
}

/// The longest that an answer to the request may take, by the answers of its own unit, or where too few of these were
/// seen, of its service.
std::optional<Moment> longest_answer(const DataState& state, const PathCarry& carry) {
  const auto unit = state.path.units.find(carry.unit);
  if (unit != state.path.units.end())
    if (const auto longest = longest_of_kind(unit->second.lengths, carry))
      return with_spare(*longest, unit_spare_parts);
  const auto service = state.path.lengths.find(carry.service);
  if (service == state.path.lengths.end()) return std::nullopt;
  const auto longest = longest_of_kind(service->second, carry);
  return longest ? std::optional(with_spare(*longest, service_spare_parts)) : std::nullopt;
}

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
    path_cancel_all(state, carry, "leaving", now, effects);
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
  const auto callers_time = std::min(limits.grace / callers_parts, limits.drain);
  state.path.leave_began = now;
  state.leave_due = now + share_of(leave_share, limits.grace);
  state.path.estimates_until =
      now + std::min(limits.grace / callers_parts, share_of(estimate_share, limits.owed_after));
  state.path.close_resting_at = now + share_of(rest_share, callers_time);
  state.path.last_busy = now;
}

bool path_will_finish(const DataState& state, const PathCarry& carry, Moment now) {
  if (state.leave_due == 0 || carry.due <= state.leave_due) return true;
  if (carry.arrived >= state.path.estimates_until) return false;
  const auto longest = longest_answer(state, carry);
  return longest && now + *longest <= state.leave_due;
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
