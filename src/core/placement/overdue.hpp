#pragma once
#include "core/placement/wants.hpp"

namespace weldsail {

/// Bounds within which what callers go on asking for is served, where nothing else is owed (docs/design-placing.md).
inline constexpr Moment served_within_bounds = 4;

/// Models and adapters that callers go on asking for without being served, as the holder of the placement sees them.
struct OverdueState {
  Moment next_check = 0;
  Moment next_note = 0;
  /// Owed now, and the age of the oldest of them.
  std::size_t models = 0;
  std::size_t adapters = 0;
  Moment oldest = 0;
  /// Owed for longer than the bound; an empty adapter stands for the model.
  std::set<AdapterKey> late;
  /// How often one became so.
  std::uint64_t total = 0;
};

/// The time within which a model is served, or an adapter: the bound, and the turns of all others that are owed. The
/// store begins so many loads a second; 0 for no limit.
Moment model_served_within(const OverdueState& state, Moment bound, double loads_per_s);
Moment adapter_served_within(const OverdueState& state, Moment bound);
/// Looks for what is owed for too long, counts it and tells the log.
void overdue_check(OverdueState& state, WantsIndex& wants, const PathConfig& paths, double loads_per_s, Moment now,
                   Effects& effects);

}  // namespace weldsail
