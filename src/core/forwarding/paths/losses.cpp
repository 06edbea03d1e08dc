#include "core/forwarding/paths/losses.hpp"

#include <algorithm>

#include "core/data.hpp"

namespace weldsail {
namespace {

/// Routes that are counted apart.
constexpr std::size_t routes_most = 256;
constexpr const char* other_routes = "other";
constexpr std::size_t pause_cause = request_phases;

constexpr std::array<const char*, loss_causes> cause_names{"worker",      "model",  "adapter",
                                                           "first_event", "answer", "pause"};

RouteLosses& losses_of(LossesByRoute& losses, const std::string& route) {
  const auto found = losses.find(route);
  if (found != losses.end()) return found->second;
  return losses[losses.size() < routes_most ? route : other_routes];
}

/// Time until the first event, or until the end of an answer in one piece.
Moment time_to_first(const PathCarry& carry) {
  Moment time = 0;
  for (std::size_t phase = 0; phase < static_cast<std::size_t>(RequestPhase::answer); ++phase)
    time += carry.phases.spent[phase];
  return time;
}

bool pauses(const PathCarry& carry) {
  return carry.route.gap_aim > 0 && carry.phases.longest_pause > carry.route.gap_aim;
}

bool is_late(const PathCarry& carry) {
  return pauses(carry) || (carry.route.aim > 0 && time_to_first(carry) > carry.route.aim);
}

std::size_t cause_of(const PathCarry& carry) {
  const auto& spent = carry.phases.spent;
  const auto before_answer = spent.begin() + static_cast<std::ptrdiff_t>(RequestPhase::answer);
  const bool first_was_late = carry.route.aim > 0 && time_to_first(carry) > carry.route.aim;
  if (pauses(carry) && !first_was_late) return pause_cause;
  if (carry.answer_begun && !first_was_late) return static_cast<std::size_t>(RequestPhase::answer);
  return static_cast<std::size_t>(std::max_element(spent.begin(), before_answer) - spent.begin());
}

}  // namespace

const char* request_phase_name(RequestPhase phase) { return cause_names[static_cast<std::size_t>(phase)]; }

const char* request_outcome_name(RequestOutcome outcome) {
  static constexpr std::array<const char*, request_outcomes> names{"in_time", "late",   "failed",
                                                                   "refused", "broken", "caller_gone"};
  return names[static_cast<std::size_t>(outcome)];
}

const char* loss_cause_name(std::size_t cause) { return cause_names[cause]; }

void phase_enter(PhaseClock& clock, RequestPhase phase, Moment now) {
  clock.spent[static_cast<std::size_t>(clock.phase)] += now - clock.since;
  clock.phase = phase;
  clock.since = now;
}

void losses_count(DataState& state, PathCarry& carry, RequestOutcome outcome, Moment now) {
  phase_enter(carry.phases, carry.phases.phase, now);
  auto& losses = losses_of(state.path.losses, carry.route.name);
  for (std::size_t phase = 0; phase < request_phases; ++phase)
    if (carry.phases.spent[phase] > 0 || phase == static_cast<std::size_t>(RequestPhase::first_event))
      losses.phases[phase].add(carry.phases.spent[phase]);
  const bool late = outcome == RequestOutcome::in_time && is_late(carry);
  const auto ended = late ? RequestOutcome::late : outcome;
  ++losses.ended[static_cast<std::size_t>(ended)][cause_of(carry)];
}

}  // namespace weldsail
