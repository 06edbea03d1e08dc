#pragma once
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace weldsail {

/// Events of one kind that were reduced, and the time that the thread spent on them with their effects.
struct EventCost {
  std::uint64_t events = 0;
  std::chrono::nanoseconds time{0};
};

/// Costs by the name of the event's kind (`event_kind`).
using EventCosts = std::map<std::string, EventCost, std::less<>>;

/// Costs since an earlier reading of the same counters.
EventCosts costs_since(const EventCosts& before, const EventCosts& now);
/// The kinds that took the most time as `kind:events:milliseconds`, at most so many, the costliest first.
std::string costs_text(const EventCosts& costs, std::size_t most);

}  // namespace weldsail
