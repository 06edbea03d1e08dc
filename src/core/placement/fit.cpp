#include <algorithm>
#include <limits>

#include "core/placement/plan.hpp"

namespace weldsail {
namespace {

/// A model comes from a worker's own disk in about this share of its time from the store.
constexpr double disk_share = 0.2;
constexpr Moment never_used = std::numeric_limits<Moment>::max() / 8;
/// Ratios to the bound.
constexpr Moment unload_part = 15;
constexpr Moment least_quiet_part = 10;
constexpr Moment wanted_quiet_part = 2;
constexpr Moment zone_part = 60;
constexpr Moment running_part = 600;
/// A victim must have been quiet for this many times as long as the one that takes its room.
constexpr Moment quieter = 2;

/// A place for a unit, with those that give way there.
struct Place {
  std::string identity;
  std::vector<std::string> victims;
  double cost = 0;
};

const UnitWants& wants_of(const PlanInput& input, const std::string& unit) {
  static const auto none = [] {
    UnitWants wants;
    wants.demand.quiet = never_used;
    return wants;
  }();
  const auto found = input.wants.find(unit);
  return found == input.wants.end() ? none : found->second;
}

std::int64_t planned_weights(const PathService& service, const PlannedWorker& worker) {
  std::int64_t taken = 0;
  for (const auto& model : worker.models) taken += model_weights(service, model);
  return taken;
}

bool may_give_way(const PlanInput& input, const HolderPlan& plan, const std::string& victim, const UnitWants& taker) {
  const auto& demand = wants_of(input, victim).demand;
  if (!input.demand_known || demand.running > 0 || demand.waiting > 0 || plan.counts.at(victim).cooling()) return false;
  const auto needed = std::max(input.bound / least_quiet_part, (input.bound - taker.demand.oldest) / wanted_quiet_part);
  const auto own = taker.demand.waiting > 0 || taker.demand.running > 0 ? 0 : taker.demand.quiet;
  return demand.quiet >= needed && demand.quiet / quieter >= own;
}

std::optional<std::vector<std::string>> victims_at(const PlanInput& input, const HolderPlan& plan,
                                                   const PathService& service, const PlannedWorker& worker,
                                                   const std::string& unit) {
  auto lacking = planned_weights(service, worker) + model_weights(service, unit_model(unit)) - service.room_mb;
  if (lacking <= 0) return std::vector<std::string>{};
  std::vector<std::pair<Moment, std::string>> quiet;
  for (const auto& model : worker.models) {
    const auto victim = unit_name(service.name, model);
    if (may_give_way(input, plan, victim, wants_of(input, unit)))
      quiet.emplace_back(-wants_of(input, victim).demand.quiet, victim);
  }
  std::ranges::sort(quiet);
  std::vector<std::string> victims;
  for (const auto& [rank, victim] : quiet) {
    if (lacking <= 0) break;
    victims.push_back(victim);
    lacking -= model_weights(service, unit_model(victim));
  }
  if (lacking > 0) return std::nullopt;
  return victims;
}

/// Milliseconds until the model may be there, and what the move costs others, in the same measure.
double place_cost(const PlanInput& input, const HolderPlan& plan, const PathService& service, const Place& place,
                  const std::string& unit) {
  const auto& book = input.books.at(place.identity);
  const auto& worker = plan.workers.at(place.identity);
  const auto load_time = [&](const std::string& model) {
    const auto found = service.models.find(model);
    const auto full = found == service.models.end() ? 0.0 : static_cast<double>(found->second.load_time);
    return book.had.contains(model) ? full * disk_share : full;
  };
  const auto model = unit_model(unit);
  if (book_holds(book, model)) return 0;
  double cost = load_time(model);
  if (book_room_taken(book, service) + model_weights(service, model) > service.room_mb)
    cost += static_cast<double>(input.bound / unload_part);
  for (const auto& other : worker.models)
    if (!book_holds(book, other)) cost += load_time(other);
  for (const auto& other : worker.models) {
    const auto name = unit_name(service.name, other);
    const auto holders = static_cast<double>(std::max<std::size_t>(1, planned_holders(plan, name).size()));
    cost += static_cast<double>(wants_of(input, name).demand.running) / holders *
            static_cast<double>(input.bound / running_part);
  }
  for (const auto& victim : place.victims) {
    const auto quiet = static_cast<double>(wants_of(input, victim).demand.quiet);
    const auto bound = static_cast<double>(input.bound);
    cost += static_cast<double>(service.models.at(unit_model(victim)).load_time) * bound / (bound + quiet);
  }
  for (const auto& holder : planned_holders(plan, unit))
    if (input.books.at(holder).entry.locality() == book.entry.locality())
      cost += static_cast<double>(input.bound / zone_part);
  return cost;
}

std::optional<Place> best_place(const PlanInput& input, const HolderPlan& plan, const std::string& unit, bool evict) {
  const auto* service = unit_service(input.paths, unit);
  std::optional<Place> best;
  for (const auto& [identity, worker] : plan.workers) {
    if (worker.service != service->name || worker.models.contains(unit_model(unit))) continue;
    if (book_stuck(input, input.books.at(identity))) continue;
    auto victims = victims_at(input, plan, *service, worker, unit);
    if (!victims || (!evict && !victims->empty())) continue;
    Place place{identity, std::move(*victims), 0};
    place.cost = place_cost(input, plan, *service, place, unit);
    if (!best || place.cost < best->cost) best = std::move(place);
  }
  return best;
}

void drop(HolderPlan& plan, const std::string& identity, const std::string& unit) {
  plan_leave(plan, identity, unit_model(unit));
}

bool add_holder(HolderPlan& plan, const PlanInput& input, const std::string& unit, bool evict, Effects& effects) {
  const auto place = best_place(input, plan, unit, evict);
  if (!place) return false;
  for (const auto& victim : place->victims) {
    drop(plan, place->identity, victim);
    auto& count = plan.counts.at(victim);
    if (count.count() > 0) count.set_count(count.count() - 1);
    note(effects, "placement.evict", {{"unit", victim}, {"for", unit}, {"worker", place->identity}});
  }
  plan_hold(plan, place->identity, unit_model(unit));
  return true;
}

void drop_holder(HolderPlan& plan, const PlanInput& input, const std::string& unit) {
  std::optional<std::pair<std::tuple<bool, std::int64_t, std::size_t>, std::string>> worst;
  const auto& holders = planned_holders(plan, unit);
  for (const auto& identity : holders) {
    const auto& book = input.books.at(identity);
    const auto near = std::ranges::count_if(holders, [&](const std::string& other) {
      return input.books.at(other).entry.locality() == book.entry.locality();
    });
    const std::tuple rank{!book_holds(book, unit_model(unit)), near, plan.workers.at(identity).models.size()};
    if (!worst || rank > worst->first) worst = {rank, identity};
  }
  if (worst) drop(plan, worst->second, unit);
}

/// Units that lack holders: those with held requests first, the longest wait first, then the most used.
std::vector<std::string> lacking_units(const HolderPlan& plan, const PlanInput& input) {
  std::vector<std::pair<std::pair<Moment, Moment>, std::string>> order;
  for (const auto& [unit, count] : plan.counts) {
    if (planned_holders(plan, unit).size() >= count.count()) continue;
    const auto& demand = wants_of(input, unit).demand;
    order.push_back({{demand.waiting > 0 ? -demand.oldest - 1 : 0, demand.quiet}, unit});
  }
  std::ranges::sort(order);
  std::vector<std::string> units;
  for (auto& [rank, unit] : order) units.push_back(std::move(unit));
  return units;
}

void leave_stuck_places(HolderPlan& plan, const PlanInput& input, const std::string& unit) {
  for (const auto& identity : std::vector(planned_holders(plan, unit)))
    if (book_stuck(input, input.books.at(identity))) drop(plan, identity, unit);
}

void fill_free_room(HolderPlan& plan, const PlanInput& input, Effects& effects) {
  std::vector<std::pair<Moment, std::string>> order;
  for (const auto& [unit, count] : plan.counts)
    if (count.count() == 0) order.emplace_back(wants_of(input, unit).demand.quiet, unit);
  std::ranges::sort(order);
  for (const auto& [quiet, unit] : order)
    if (add_holder(plan, input, unit, false, effects)) {
      plan.counts.at(unit).set_count(1);
      return;
    }
}

}  // namespace

void plan_models(HolderPlan& plan, const PlanInput& input, Effects& effects) {
  bool waits = false;
  for (auto& [unit, count] : plan.counts) {
    const auto& demand = wants_of(input, unit).demand;
    if (demand.waiting > 0 && ready_holders(plan, input, unit) == 0) leave_stuck_places(plan, input, unit);
    if (demand.waiting > 0 && count.count() == 0) count.set_count(1);
    while (planned_holders(plan, unit).size() > count.count()) drop_holder(plan, input, unit);
  }
  for (const auto& unit : lacking_units(plan, input)) {
    while (planned_holders(plan, unit).size() < plan.counts.at(unit).count())
      if (!add_holder(plan, input, unit, true, effects)) break;
    waits |= planned_holders(plan, unit).size() < plan.counts.at(unit).count();
  }
  if (!waits && input.store_spare) fill_free_room(plan, input, effects);
}

}  // namespace weldsail
