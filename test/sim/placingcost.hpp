#pragma once
#include "sim/placingfleet.hpp"

namespace weldsail::sim {

/// A fleet with callers whose placement costs are measured.
struct PlacingSize {
  std::uint64_t seed = 1;
  std::size_t workers = 12;
  std::size_t models = 39;
  /// Data nodes, each of which reports to the holder and is sent the view.
  std::size_t nodes = 3;
  /// Simulated milliseconds that are measured.
  Moment length = 10000;
};

/// What one kind of work of the placement's holder costs.
struct WorkCost {
  std::uint64_t count = 0;
  std::uint64_t nanoseconds = 0;
  std::uint64_t bytes = 0;
};

/// Costs of the holder by kind of work: decision, tick, list, report, order, counters, commit, view, other.
struct PlacingCost {
  std::map<std::string, WorkCost> kinds;
  /// Processor milliseconds of the holder's reducer a second.
  double processor_ms_s = 0;
  /// Share of asked requests that began.
  double began = 0;
};

/// Runs the fleet until it has settled, then measures.
PlacingCost measure_placing(const PlacingSize& size);

}  // namespace weldsail::sim
