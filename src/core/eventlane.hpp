#pragma once
#include "core/control.hpp"
#include "core/data.hpp"

namespace weldsail {

/// Where an event waits for the process's one thread: before all others, with the urgent ones, or after these.
enum class EventLane { first, urgent, later };

/// A data-plane process takes everything in the order in which it came, but for what tells of configurations: a request
/// is judged by all of that which was read before it is taken.
EventLane event_lane(const DataState& state, const Event& event);
EventLane event_lane(const ControlState& state, const Event& event);

/// True where a process looks at its connections between urgent events that take long. A control process takes all of
/// them first: its ticks are costly, and come with each look.
bool looks_between_urgent(const DataState& state);
bool looks_between_urgent(const ControlState& state);

/// True where ticks that take long come less often. Those of a data-plane process bound how late requests are moved on.
bool paces_ticks(const DataState& state);
bool paces_ticks(const ControlState& state);

}  // namespace weldsail
