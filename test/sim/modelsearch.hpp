#pragma once
#include "sim/modelworld.hpp"
#include "sim/world.hpp"

namespace weldsail::sim::model {

/// Actions from a root, in order.
using Trace = std::vector<Action>;

/// How far a search may go.
struct SearchLimits {
  std::size_t depth = 10;
  std::size_t states = 1000000;
};

/// What a search found.
struct SearchResult {
  std::uint64_t states = 0;
  std::uint64_t transitions = 0;
  /// Depth to which every state was visited.
  std::size_t depth = 0;
  /// No state is left beyond that depth.
  bool exhausted = false;
  double seconds = 0;
  std::string fault;
  /// The shortest way from the root to the fault.
  Trace trace;
};

/// Visits every state up to a depth, each once, breadth first; ends at the first fault.
SearchResult search_states(const ModelWorld& root, const SearchLimits& limits);

/// Seeded walk of at most so many actions; the trace is what was done until the first fault.
SearchResult walk_states(const ModelWorld& root, Chance& chance, std::size_t steps);

/// Performs the possible actions of a trace; stops at a fault.
ModelWorld replay(const ModelWorld& root, const Trace& trace);

/// Leaves out of a trace whatever isn't needed for some fault.
Trace shorten(const ModelWorld& root, Trace trace);

/// The trace as readable steps, and the fault that it ends with.
std::vector<std::string> describe(const ModelWorld& root, const Trace& trace);

/// Delivers everything, oldest identity first, and syncs, until nothing is left to do.
void settle(ModelWorld& world);

}  // namespace weldsail::sim::model
