#pragma once
#include "core/placement/book.hpp"
#include "core/placement/plan.hpp"

namespace weldsail {

/// Planned loads from the store that haven't been ordered.
struct PendingLoads {
  /// For units that callers wait for.
  std::size_t waited_for = 0;
  std::size_t all = 0;

  void add(bool waits) {
    ++all;
    if (waits) ++waited_for;
  }
};

/// True when requests wait for a holder, held back or at crowded ones.
bool presses(const HolderPlan& plan, const PlanInput& input, const std::string& unit);
/// Loads that room may be made for ahead of the store; without a rate there is no limit.
std::size_t loads_ahead(const PlanInput& input);
/// True when the worker would have to bring the model from the store.
bool from_store(const WorkerBook& book, const std::string& model);
/// Planned loads of all workers that wait for the store.
PendingLoads pending_loads(const HolderPlan& plan, const PlanInput& input);

}  // namespace weldsail
