#include "core/placement/loadturns.hpp"

#include <algorithm>

#include "core/placement/crowd.hpp"
#include "core/placement/places.hpp"

namespace weldsail {
namespace {

/// Lower ranks go first.
using Rank = double;

bool load_under_way(const WorkerBook& book, const std::string& model) {
  return book.order && book.order->order.load && book.order->order.model == model;
}

/// Holders that are there or coming, for each request that runs or waits.
Rank crowded_rank(const HolderPlan& plan, const PlanInput& input, const std::string& unit) {
  const auto model = unit_model(unit);
  const auto holders = std::ranges::count_if(planned_holders(plan, unit), [&](const std::string& identity) {
    const auto book = input.books.find(identity);
    return book != input.books.end() && (book_holds(book->second, model) || load_under_way(book->second, model));
  });
  const auto& demand = plan_wants(input, unit).demand;
  return static_cast<double>(holders) / static_cast<double>(demand.running + demand.waiting);
}

Rank other_rank(const PlanInput& input, const std::string& unit) {
  const auto& wants = plan_wants(input, unit);
  const auto rank = wants_wait(wants, input) ? -wants_age(wants, input) - 1 : wants_quiet(wants, input.now);
  return static_cast<double>(rank);
}

/// Where the loads of one unit stand.
struct UnitTurn {
  bool crowded;
  Rank rank;
};

std::vector<PlannedLoad> by_rank(std::vector<std::pair<Rank, PlannedLoad>> ranked) {
  std::ranges::stable_sort(ranked, {}, &std::pair<Rank, PlannedLoad>::first);
  std::vector<PlannedLoad> loads;
  for (auto& [rank, load] : ranked) loads.push_back(std::move(load));
  return loads;
}

}  // namespace

LoadQueues load_queues(const HolderPlan& plan, const PlanInput& input, std::vector<PlannedLoad> loads) {
  std::map<std::string, UnitTurn> turns;
  const auto turn_of = [&](const std::string& unit) {
    const auto [found, fresh] = turns.try_emplace(unit);
    if (!fresh) return found->second;
    const bool crowded = unit_crowded(plan, input, unit);
    found->second = {crowded, crowded ? crowded_rank(plan, input, unit) : other_rank(input, unit)};
    return found->second;
  };
  std::vector<std::pair<Rank, PlannedLoad>> crowded;
  std::vector<std::pair<Rank, PlannedLoad>> others;
  for (auto& load : loads) {
    const auto turn = turn_of(unit_name(plan.workers.at(load.identity).service, load.model));
    (turn.crowded ? crowded : others).emplace_back(turn.rank, std::move(load));
  }
  return {by_rank(std::move(crowded)), by_rank(std::move(others))};
}

}  // namespace weldsail
