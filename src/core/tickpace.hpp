#pragma once
#include <algorithm>

#include "core/event.hpp"

namespace weldsail {

/// From one tick's begin to the next passes at least so many times what it took: the thread has other work, too.
inline constexpr Moment tick_pauses = 4;
/// Longest time between two ticks that this makes, in milliseconds; leases and heartbeats are kept by ticks.
inline constexpr Moment tick_pause_most = 150;

/// Time from one tick of a process to the next, where the last one took so long.
inline Moment tick_pause(Moment pace, Moment took) {
  return std::max(pace, std::min(tick_pauses * took, tick_pause_most));
}

}  // namespace weldsail
