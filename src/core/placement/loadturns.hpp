#pragma once
#include "core/placement/plan.hpp"

namespace weldsail {

/// A load of a model that the plan asks for and that hasn't been ordered.
struct PlannedLoad {
  std::string identity;
  std::string model;
};

/// Planned loads in two classes that take turns at the store, as units do for places: so neither a crowd nor many rare
/// models keep the other from half of the store's loads.
struct LoadQueues {
  /// Of units whose requests call for more holders than are ready; the fewest holders for them first.
  std::vector<PlannedLoad> crowded;
  /// The others: units with held requests first, the longest wait first, then the most lately used.
  std::vector<PlannedLoad> others;
};

/// Sorts the plan's loads into the two classes.
LoadQueues load_queues(const HolderPlan& plan, const PlanInput& input, std::vector<PlannedLoad> loads);

/// What came of offering one load to its worker.
enum class LoadOffer {
  /// It took nothing from the store: it couldn't begin, or comes from the worker's own disk.
  store_untouched,
  /// It took a load of the store.
  store_taken
};

/// Offers each load once. A class keeps its turn until one of its loads has taken a load of the store;
/// `crowded_next` says whose turn it is, and is left for the next call.
template <typename Offer>
void offer_by_turns(const LoadQueues& queues, bool& crowded_next, Offer offer) {
  auto crowded = queues.crowded.begin();
  auto other = queues.others.begin();
  while (crowded != queues.crowded.end() || other != queues.others.end()) {
    const bool from_crowded = crowded != queues.crowded.end() && (crowded_next || other == queues.others.end());
    const auto& load = from_crowded ? *crowded++ : *other++;
    if (offer(load) == LoadOffer::store_taken) crowded_next = !from_crowded;
  }
}

}  // namespace weldsail
