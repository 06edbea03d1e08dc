#pragma once
#include <chrono>
#include <string_view>

#include "core/eventcost.hpp"

namespace weldsail {

/// Counts an event of a kind, and the time until the end of its scope.
class Stopwatch {
 public:
  Stopwatch(EventCosts& costs, std::string_view kind) : cost_(cost_of(costs, kind)), begun_(Clock::now()) {}
  Stopwatch(const Stopwatch&) = delete;
  Stopwatch& operator=(const Stopwatch&) = delete;
  ~Stopwatch() {
    ++cost_.events;
    cost_.time += Clock::now() - begun_;
  }

 private:
  using Clock = std::chrono::steady_clock;
  static EventCost& cost_of(EventCosts& costs, std::string_view kind) {
    const auto found = costs.find(kind);
    return found != costs.end() ? found->second : costs[std::string(kind)];
  }

  EventCost& cost_;
  Clock::time_point begun_;
};

}  // namespace weldsail
