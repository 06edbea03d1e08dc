#include <algorithm>
#include <deque>
#include <ranges>

#include "core/placement/crowd.hpp"
#include "core/placement/places.hpp"
#include "core/placement/roomahead.hpp"

namespace weldsail {
namespace {

void drop(HolderPlan& plan, const std::string& identity, const std::string& unit) {
  plan_leave(plan, identity, unit_model(unit));
}

void count_displaced(const PlanInput& input, const std::string& identity, const std::string& unit) {
  if (input.work == nullptr) return;
  ++input.work->displaced;
  const auto& ready = input.books.at(identity).ready_since;
  const auto since = ready.find(unit_model(unit));
  const auto& served = plan_wants(input, unit).asks.last_served;
  if (since != ready.end() && (!served || *served < since->second)) ++input.work->displaced_unserved;
}

/// The worker that is to hold the unit from now on; none without a place.
std::optional<std::string> add_holder(HolderPlan& plan, const PlanInput& input, PlaceSearch& search,
                                      const std::string& unit, GiveWay give_way, Effects& effects) {
  const auto place = search.best(unit, give_way);
  if (!place) return std::nullopt;
  for (const auto& victim : place->victims) {
    count_displaced(input, place->identity, victim);
    search.gave_way(victim);
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

/// Units that lack a holder, in two classes that take turns: so neither a crowd nor many rare models keep the other
/// from half of the places.
struct LackingUnits {
  /// More requests run or wait than the ready holders take well; the fewest holders for them first.
  std::vector<std::string> crowded;
  /// The others: those with held requests first, the longest wait first, then the most used.
  std::vector<std::string> others;
};

LackingUnits lacking_units(const HolderPlan& plan, const PlanInput& input) {
  std::vector<std::pair<double, std::string>> crowded;
  std::vector<std::pair<std::pair<Moment, Moment>, std::string>> others;
  for (const auto& unit : plan_index(plan).uneven) {
    const auto holders = planned_holders(plan, unit).size();
    if (holders >= plan.counts.at(unit).count()) continue;
    const auto& wants = plan_wants(input, unit);
    if (unit_crowded(plan, input, unit)) {
      const auto requests = static_cast<double>(wants.demand.running + wants.demand.waiting);
      crowded.emplace_back(static_cast<double>(holders) / requests, unit);
      continue;
    }
    const auto waited = wants_wait(wants, input) ? -wants_age(wants, input) - 1 : 0;
    others.push_back({{waited, wants_quiet(wants, input.now)}, unit});
  }
  std::ranges::sort(crowded);
  std::ranges::sort(others);
  LackingUnits units;
  for (auto& [rank, unit] : crowded) units.crowded.push_back(std::move(unit));
  for (auto& [rank, unit] : others) units.others.push_back(std::move(unit));
  return units;
}

/// Gives units that lack holders one place each by turns of the two classes, until none is lacking or none is found.
class PlaceRounds {
 public:
  PlaceRounds(HolderPlan& plan, const PlanInput& input, PlaceSearch& search, Effects& effects)
      : plan_(plan),
        input_(input),
        search_(search),
        effects_(effects),
        ahead_(loads_ahead(input)),
        pending_(pending_loads(plan, input)) {}
  /// True when a unit still lacks a holder.
  bool run(const LackingUnits& units) {
    std::deque<std::string> crowded(units.crowded.begin(), units.crowded.end());
    std::deque<std::string> others(units.others.begin(), units.others.end());
    // With few places a turn, the class that begins would have them all: each commit gives the other one the start.
    bool crowded_next = input_.committed.decision() % 2 == 0;
    while (!crowded.empty() || !others.empty()) {
      const bool from_crowded = others.empty() || (crowded_next && !crowded.empty());
      auto& line = from_crowded ? crowded : others;
      auto unit = std::move(line.front());
      line.pop_front();
      if (!give_place(unit)) continue;
      crowded_next = !from_crowded;
      if (lacks(unit)) line.push_back(std::move(unit));
    }
    return still_lacking_;
  }

 private:
  bool lacks(const std::string& unit) const {
    return planned_holders(plan_, unit).size() < plan_.counts.at(unit).count();
  }
  bool give_place(const std::string& unit) {
    auto& tried = tried_[unit_cell(unit)];
    const bool may = tried.contains(unit) || tried.size() < input_.places_most;
    if (may) tried.insert(unit);
    if (!may && input_.work != nullptr) ++input_.work->places_cut;
    if (may && lacks(unit) && place(unit)) return true;
    still_lacking_ |= lacks(unit);
    return false;
  }

  bool place(const std::string& unit) {
    const bool pressing = presses(plan_, input_, unit);
    // What gives way is of use until the store can begin the load that takes its room.
    const bool store_free = (pressing ? pending_.waited_for : pending_.all) < ahead_;
    const auto worker =
        add_holder(plan_, input_, search_, unit, store_free ? GiveWay::anywhere : GiveWay::for_disk, effects_);
    if (worker && from_store(input_.books.at(*worker), unit_model(unit))) pending_.add(pressing);
    return worker.has_value();
  }

  HolderPlan& plan_;
  const PlanInput& input_;
  PlaceSearch& search_;
  Effects& effects_;
  std::size_t ahead_;
  PendingLoads pending_;
  /// By service, so that one without room doesn't keep the others waiting.
  std::map<std::string, std::set<std::string>> tried_;
  bool still_lacking_ = false;
};

/// True when the worker refused to load the unit a short while ago.
bool load_refused(const PlanInput& input, const std::string& identity, const std::string& unit) {
  return refusals_active(input.books.at(identity).refused_loads, unit_model(unit), input.now);
}

void leave_stuck_places(HolderPlan& plan, const PlanInput& input, const std::string& unit) {
  for (const auto& identity : std::vector(planned_holders(plan, unit)))
    if (book_stuck(input, input.books.at(identity)) || load_refused(input, identity, unit)) drop(plan, identity, unit);
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
    if (add_holder(plan, input, search, unit, GiveWay::nowhere, effects)) return plan_count(plan, unit, 1);
}

/// Units whose holders may have to change: those that lack or exceed their count, and those that callers wait for.
std::set<std::string> units_to_fit(const HolderPlan& plan, const PlanInput& input) {
  auto units = plan_index(plan).uneven;
  const auto add = [&](const std::string& unit) {
    if (plan.counts.contains(unit) && unit_waits(input, unit)) units.insert(unit);
  };
  if (input.active != nullptr && input.unserved != nullptr) {
    std::ranges::for_each(*input.active, add);
    std::ranges::for_each(*input.unserved, add);
  } else {
    for (const auto& [unit, wants] : input.wants) add(unit);
  }
  return units;
}

}  // namespace

void plan_models(HolderPlan& plan, const PlanInput& input, Effects& effects) {
  for (const auto& unit : units_to_fit(plan, input)) {
    if (input.work != nullptr) ++input.work->units;
    const bool waits = unit_waits(input, unit);
    if (waits && ready_holders(plan, input, unit) == 0) leave_stuck_places(plan, input, unit);
    if (waits && plan.counts.at(unit).count() == 0) plan_count(plan, unit, 1);
    while (planned_holders(plan, unit).size() > plan.counts.at(unit).count()) drop_holder(plan, input, unit);
  }
  PlaceSearch search(input, plan);
  const bool lacks = PlaceRounds(plan, input, search, effects).run(lacking_units(plan, input));
  if (!lacks && input.store_spare) fill_free_room(plan, input, search, effects);
}

}  // namespace weldsail
