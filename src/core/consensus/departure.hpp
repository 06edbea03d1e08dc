#pragma once
#include "core/consensus/register.hpp"

namespace weldsail {

/// The departure part: a core process that was told to end goes on voting until its seat has been handed on.
struct DepartureState {
  /// Longest time from the request to leave until the process ends, in milliseconds; 0 ends it at once.
  Moment within = 10000;
  /// Set once the process was told to leave.
  std::optional<Moment> deadline;
};

/// Notes the request to leave and tells the others; the process takes no key and no new seat from here on.
void departure_begin(DepartureState& state, MemberState& member, Moment now);
/// True when the process may end: its disk has no seat, nothing can take the seat over and the remaining core disks
/// are a majority without this one, or the time is over.
bool departure_due(const DepartureState& state, const MemberState& member, const wire::Core& core, Moment now);

}  // namespace weldsail
