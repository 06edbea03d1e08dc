#include <algorithm>
#include <cmath>
#include <limits>
#include <ranges>

#include "core/placement/places.hpp"

namespace weldsail {
namespace {

/// Room is made for loads that the store can begin within this part of the bound.
constexpr Moment made_ahead_part = 6;
constexpr double milliseconds = 1000;

/// Planned loads from the store that haven't been ordered.
struct PendingLoads {
  /// For units with held requests.
  std::size_t waited_for = 0;
  std::size_t all = 0;

  void add(bool waits) {
    ++all;
    if (waits) ++waited_for;
  }
};

bool unit_waits(const PlanInput& input, const std::string& unit) { return plan_wants(input, unit).demand.waiting > 0; }

/// Loads that room may be made for ahead of the store; without a rate there is no limit.
std::size_t loads_ahead(const PlanInput& input) {
  double rate = 0;
  for (const auto& [name, service] : input.paths.services)
    if (service.loads_per_s > 0) rate = rate > 0 ? std::min(rate, service.loads_per_s) : service.loads_per_s;
  if (rate <= 0) return std::numeric_limits<std::size_t>::max();
  const auto seconds = static_cast<double>(input.bound / made_ahead_part) / milliseconds;
  return static_cast<std::size_t>(std::max(1.0, std::ceil(rate * seconds)));
}

bool from_store(const WorkerBook& book, const std::string& model) {
  return !book_holds(book, model) && !book.had.contains(model);
}

/// The worker's planned loads that wait for the store: it isn't busy with another load, and answers.
void add_pending(PendingLoads& pending, const PlanInput& input, const PlannedWorker& worker, const WorkerBook& book) {
  if (book_stuck(input, book) || (book.order && book.order->order.load)) return;
  for (const auto& model : worker.models)
    if (from_store(book, model)) pending.add(unit_waits(input, unit_name(worker.service, model)));
}

PendingLoads pending_loads(const HolderPlan& plan, const PlanInput& input) {
  PendingLoads pending;
  const auto visit = [&](const std::string& identity) {
    if (input.work != nullptr) ++input.work->workers;
    const auto worker = plan.workers.find(identity);
    if (worker != plan.workers.end()) add_pending(pending, input, worker->second, input.books.at(identity));
  };
  if (input.open_work == nullptr) {
    for (const auto& [identity, worker] : plan.workers) visit(identity);
    return pending;
  }
  for (const auto& identity : *input.open_work) visit(identity);
  for (const auto& identity : plan.touched_workers)
    if (!input.open_work->contains(identity)) visit(identity);
  return pending;
}

void drop(HolderPlan& plan, const std::string& identity, const std::string& unit) {
  plan_leave(plan, identity, unit_model(unit));
}

/// The worker that is to hold the unit from now on; none without a place.
std::optional<std::string> add_holder(HolderPlan& plan, PlaceSearch& search, const std::string& unit, GiveWay give_way,
                                      Effects& effects) {
  const auto place = search.best(unit, give_way);
  if (!place) return std::nullopt;
  for (const auto& victim : place->victims) {
    drop(plan, place->identity, victim);
    if (const auto count = plan.counts.at(victim).count(); count > 0) plan_count(plan, victim, count - 1);
    note(effects, "placement.evict", {{"unit", victim}, {"for", unit}, {"worker", place->identity}});
  }
  plan_hold(plan, place->identity, unit_model(unit));
  search.changed(place->identity);
  return place->identity;
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
  for (const auto& unit : plan_index(plan).uneven) {
    if (planned_holders(plan, unit).size() >= plan.counts.at(unit).count()) continue;
    const auto& wants = plan_wants(input, unit);
    const auto waited = wants.demand.waiting > 0 ? -wants_oldest(wants, input.now) - 1 : 0;
    order.push_back({{waited, wants_quiet(wants, input.now)}, unit});
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

/// Gives one unit that nobody holds a place that nothing has to leave, the most lately used first.
void fill_free_room(HolderPlan& plan, const PlanInput& input, PlaceSearch& search, Effects& effects) {
  std::map<std::string, std::int64_t> free;
  for (const auto& [name, service] : input.paths.services) {
    if (service.models.empty()) continue;
    const auto weights = [](const auto& item) { return item.second.weights_mb; };
    const auto least = std::ranges::min(service.models | std::views::transform(weights));
    if (const auto room = search.free_room(name); room >= least) free[name] = room;
  }
  if (free.empty()) return;
  std::vector<std::pair<Moment, std::string>> order;
  for (const auto& [unit, count] : plan.counts) {
    if (input.work != nullptr) ++input.work->searched;
    const auto* service = count.count() == 0 ? unit_service(input.paths, unit) : nullptr;
    const auto room = service == nullptr ? free.end() : free.find(service->name);
    if (room == free.end() || model_weights(*service, unit_model(unit)) > room->second) continue;
    order.emplace_back(wants_quiet(plan_wants(input, unit), input.now), unit);
  }
  std::ranges::sort(order);
  for (const auto& [quiet, unit] : order)
    if (add_holder(plan, search, unit, GiveWay::nowhere, effects)) return plan_count(plan, unit, 1);
}

/// Units whose holders may have to change: those that lack or exceed their count, and those with held requests.
std::set<std::string> units_to_fit(const HolderPlan& plan, const PlanInput& input) {
  auto units = plan_index(plan).uneven;
  const auto add = [&](const std::string& unit) {
    if (plan.counts.contains(unit) && plan_wants(input, unit).demand.waiting > 0) units.insert(unit);
  };
  if (input.active != nullptr)
    std::ranges::for_each(*input.active, add);
  else
    for (const auto& [unit, wants] : input.wants) add(unit);
  return units;
}

}  // namespace

void plan_models(HolderPlan& plan, const PlanInput& input, Effects& effects) {
  for (const auto& unit : units_to_fit(plan, input)) {
    if (input.work != nullptr) ++input.work->units;
    const bool waits = plan_wants(input, unit).demand.waiting > 0;
    if (waits && ready_holders(plan, input, unit) == 0) leave_stuck_places(plan, input, unit);
    if (waits && plan.counts.at(unit).count() == 0) plan_count(plan, unit, 1);
    while (planned_holders(plan, unit).size() > plan.counts.at(unit).count()) drop_holder(plan, input, unit);
  }
  PlaceSearch search(input, plan);
  const auto ahead = loads_ahead(input);
  auto pending = pending_loads(plan, input);
  bool lacks = false;
  // By service, so that one without room doesn't keep the others waiting.
  std::map<std::string, std::size_t> tried;
  for (const auto& unit : lacking_units(plan, input)) {
    if (tried[unit_cell(unit)]++ >= input.places_most) {
      lacks = true;
      continue;
    }
    const bool waits = unit_waits(input, unit);
    while (planned_holders(plan, unit).size() < plan.counts.at(unit).count()) {
      // What gives way is of use until the store can begin the load that takes its room.
      const bool store_free = (waits ? pending.waited_for : pending.all) < ahead;
      const auto worker = add_holder(plan, search, unit, store_free ? GiveWay::anywhere : GiveWay::for_disk, effects);
      if (!worker) break;
      if (from_store(input.books.at(*worker), unit_model(unit))) pending.add(waits);
    }
    lacks |= planned_holders(plan, unit).size() < plan.counts.at(unit).count();
  }
  if (!lacks && input.store_spare) fill_free_room(plan, input, search, effects);
}

}  // namespace weldsail
