#pragma once
#include "core/dialect.hpp"
#include "core/limits.hpp"

namespace weldsail {

/// The part of the store's loads that this holder may begin now.
struct StoreShare {
  double loads_per_s = 0;
  double ready = 0;
  Moment filled = 0;
  /// Something that callers wait for may be waiting for a load.
  bool wanted = false;
  /// Loads that the rate allowed and that were lost, as too many had been saved up, while `wanted`.
  double forgone = 0;
};

/// Begins a term with nothing ready: a former holder may have used its part up to now.
void store_begin(StoreShare& share, Moment now);
/// Sets the rate that the configuration allows.
void store_rate(StoreShare& share, const PathConfig& paths, const Limits& limits, Moment now);
/// True when one more load may begin; orders that may begin at any moment take their part beforehand.
bool store_allows(StoreShare& share, const Limits& limits, std::size_t doubtful, Moment now);
/// A load was ordered, or one in doubt turned out to have begun at some moment up to now.
void store_take(StoreShare& share);

}  // namespace weldsail
