#include "core/eventlane.hpp"

namespace weldsail {

EventLane event_lane(const DataState&, const Event& event) {
  const auto* message = std::get_if<MessageArrived>(&event);
  const bool configuration = message != nullptr && (message->envelope.has_news() || message->envelope.has_value_part());
  return configuration ? EventLane::first : EventLane::urgent;
}

EventLane event_lane(const ControlState& state, const Event& event) {
  return may_wait(state, event) ? EventLane::later : EventLane::urgent;
}

bool looks_between_urgent(const DataState&) { return true; }
bool looks_between_urgent(const ControlState&) { return false; }

bool paces_ticks(const DataState&) { return false; }
bool paces_ticks(const ControlState&) { return true; }

}  // namespace weldsail
