#include "core/eventlane.hpp"

#include <limits>

namespace weldsail {

EventLane event_lane(const DataState&, const Event& event) {
  const auto* message = std::get_if<MessageArrived>(&event);
  const bool configuration = message != nullptr && (message->envelope.has_news() || message->envelope.has_value_part());
  return configuration ? EventLane::first : EventLane::urgent;
}

EventLane event_lane(const ControlState& state, const Event& event) {
  return may_wait(state, event) ? EventLane::later : EventLane::urgent;
}

Moment urgent_turn_most(const DataState&) {
  constexpr Moment turn_most = 50;
  return turn_most;
}

Moment urgent_turn_most(const ControlState&) { return std::numeric_limits<Moment>::max(); }

}  // namespace weldsail
