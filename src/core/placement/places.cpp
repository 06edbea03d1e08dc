#include "core/placement/places.hpp"

#include <algorithm>

#include "core/placement/crowd.hpp"

namespace weldsail {
namespace {

/// A model comes from a worker's own disk in about this share of its time from the store.
constexpr double disk_share = 0.2;
/// Ratios to the bound.
constexpr Moment unload_part = 15;
constexpr Moment least_quiet_part = 10;
constexpr Moment wanted_quiet_part = 2;
constexpr Moment zone_part = 60;
constexpr Moment running_part = 600;
/// A victim must have been quiet for this many times as long as the one that takes its room.
constexpr Moment quieter = 2;
/// What is owed to callers stays for this part of the bound after it came up.
constexpr Moment turn_least_part = 2;

double load_time(const PathService& service, const WorkerBook& book, const std::string& model) {
  const auto found = service.models.find(model);
  const auto full = found == service.models.end() ? 0.0 : static_cast<double>(found->second.load_time);
  return book.had.contains(model) ? full * disk_share : full;
}

std::map<std::string, std::size_t> localities_of(const PlanInput& input, const std::vector<std::string>& holders) {
  std::map<std::string, std::size_t> localities;
  for (const auto& holder : holders) ++localities[input.books.at(holder).entry.locality()];
  return localities;
}

}  // namespace

PlaceSearch::Site PlaceSearch::gather(const PathService& service, const PlannedWorker& worker,
                                      const WorkerBook& book) const {
  Site site{&book, &worker, {}, 0};
  for (const auto& model : worker.models) {
    const auto options = service.models.find(model);
    const bool known = options != service.models.end();
    const auto weights = known ? options->second.weights_mb : model_weights(service, model);
    Resident resident{unit_name(service.name, model), nullptr, weights, 0, false};
    resident.wants = &plan_wants(input_, resident.unit);
    if (known) resident.load_time = static_cast<double>(options->second.load_time);
    if (const auto count = plan_.counts.find(resident.unit); count != plan_.counts.end())
      resident.cooling = count->second.cooling();
    site.planned_weights += resident.weights;
    site.residents.push_back(std::move(resident));
  }
  return site;
}

const PlaceSearch::Site::Costs& PlaceSearch::costs_of(Site& site, const PathService& service) const {
  if (site.costs) return *site.costs;
  auto& costs = site.costs.emplace(Site::Costs{});
  costs.room_taken = book_room_taken(*site.book, service);
  for (const auto& resident : site.residents) {
    const auto model = unit_model(resident.unit);
    if (!book_holds(*site.book, model)) costs.load += load_time(service, *site.book, model);
    costs.load += running_a_holder(resident) * static_cast<double>(input_.bound / running_part);
  }
  return costs;
}

PlaceSearch::Sites& PlaceSearch::sites_of(const std::string& service) {
  const auto [found, fresh] = sites_.try_emplace(service);
  if (!fresh) return found->second;
  const auto& options = input_.paths.services.at(service);
  for (const auto& [identity, worker] : plan_.workers) {
    if (input_.work != nullptr) ++input_.work->searched;
    if (worker.service != service) continue;
    const auto& book = input_.books.at(identity);
    if (!book_stuck(input_, book)) found->second.emplace(identity, gather(options, worker, book));
  }
  return found->second;
}

void PlaceSearch::changed(const std::string& identity) {
  const auto& worker = plan_.workers.at(identity);
  const auto sites = sites_.find(worker.service);
  if (sites == sites_.end()) return;
  const auto site = sites->second.find(identity);
  if (site == sites->second.end()) return;
  site->second = gather(input_.paths.services.at(worker.service), worker, input_.books.at(identity));
}

std::int64_t PlaceSearch::free_room(const std::string& service) {
  const auto& options = input_.paths.services.at(service);
  std::int64_t most = 0;
  for (const auto& [identity, worker] : plan_.workers) {
    if (input_.work != nullptr) ++input_.work->searched;
    if (worker.service != service || book_stuck(input_, input_.books.at(identity))) continue;
    auto free = options.room_mb;
    for (const auto& model : worker.models) free -= model_weights(options, model);
    most = std::max(most, free);
  }
  return most;
}

std::int64_t& PlaceSearch::spare_of(const std::string& unit) {
  const auto [found, fresh] = spare_.try_emplace(unit, 0);
  if (fresh) found->second = spare_holders(plan_, input_, unit);
  return found->second;
}

void PlaceSearch::gave_way(const std::string& unit) { --spare_of(unit); }

double PlaceSearch::running_a_holder(const Resident& resident) const {
  const auto holders = std::max<std::size_t>(1, planned_holders(plan_, resident.unit).size());
  return static_cast<double>(resident.wants->demand.running) / static_cast<double>(holders);
}

/// True while callers that are owed the model may still be served: it loads, is there for a short while, or was asked
/// for lately.
bool PlaceSearch::turn_ahead(const Site& site, const Resident& resident) const {
  const auto& asks = resident.wants->asks;
  if (!asks_owed(asks, input_.bound, input_.now)) return false;
  const auto model = unit_model(resident.unit);
  const auto& order = site.book->order;
  if (order && order->order.load && order->order.model == model) return true;
  const auto ready = site.book->ready_since.find(model);
  if (ready != site.book->ready_since.end() && input_.now - ready->second < input_.bound / turn_least_part) return true;
  return !book_holds(*site.book, model) && input_.now - *asks.last_asked < input_.bound;
}

bool PlaceSearch::may_ever_give_way(const Site& site, const Resident& resident) {
  if (!input_.demand_known || resident.cooling || wants_wait(*resident.wants, input_)) return false;
  if (refusals_active(site.book->refused_unloads, unit_model(resident.unit), input_.now)) return false;
  if (resident.wants->demand.running > 0) return spare_of(resident.unit) > 0;
  return wants_quiet(*resident.wants, input_.now) >= input_.bound / least_quiet_part && !turn_ahead(site, resident);
}

bool PlaceSearch::all_stay(Site& site) {
  if (!site.all_stay)
    site.all_stay = std::ranges::none_of(site.residents,
                                         [&](const Resident& resident) { return may_ever_give_way(site, resident); });
  return *site.all_stay;
}

bool PlaceSearch::may_give_way(const Site& site, const Resident& resident, const UnitWants& taker) {
  if (!may_ever_give_way(site, resident)) return false;
  const bool in_use = wants_wait(taker, input_) || taker.demand.running > 0;
  if (resident.wants->demand.running > 0) return in_use;
  const auto needed =
      std::max(input_.bound / least_quiet_part, (input_.bound - wants_age(taker, input_)) / wanted_quiet_part);
  const auto own = in_use ? 0 : wants_quiet(taker, input_.now);
  const auto quiet = wants_quiet(*resident.wants, input_.now);
  return quiet >= needed && quiet / quieter >= own;
}

std::optional<std::vector<const PlaceSearch::Resident*>> PlaceSearch::victims_at(const Site& site,
                                                                                 const PathService& service,
                                                                                 std::int64_t weights,
                                                                                 const UnitWants& taker) {
  auto lacking = site.planned_weights + weights - service.room_mb;
  std::vector<const Resident*> victims;
  if (lacking <= 0) return victims;
  std::vector<std::pair<Moment, const Resident*>> quiet;
  for (const auto& resident : site.residents)
    if (may_give_way(site, resident, taker)) quiet.emplace_back(-wants_quiet(*resident.wants, input_.now), &resident);
  std::ranges::stable_sort(quiet, {}, &std::pair<Moment, const Resident*>::first);
  for (const auto& [rank, resident] : quiet) {
    if (lacking <= 0) break;
    victims.push_back(resident);
    lacking -= resident->weights;
  }
  if (lacking > 0) return std::nullopt;
  return victims;
}

std::optional<Place> PlaceSearch::best(const std::string& unit, GiveWay give_way) {
  const auto& service = *unit_service(input_.paths, unit);
  const auto model = unit_model(unit);
  const auto weights = model_weights(service, model);
  const auto& taker = plan_wants(input_, unit);
  const auto localities = localities_of(input_, planned_holders(plan_, unit));
  const auto bound = static_cast<double>(input_.bound);
  std::optional<Place> best;
  for (auto& [identity, site] : sites_of(service.name)) {
    if (input_.work != nullptr) ++input_.work->searched;
    const bool from_disk = site.book->had.contains(model) || book_holds(*site.book, model);
    const bool evict = give_way == GiveWay::anywhere || (give_way == GiveWay::for_disk && from_disk);
    const bool room = site.planned_weights + weights <= service.room_mb;
    if (!room && (!evict || all_stay(site))) continue;
    if (site.planned->models.contains(model)) continue;
    if (refusals_active(site.book->refused_loads, model, input_.now)) continue;
    const auto victims = victims_at(site, service, weights, taker);
    if (!victims) continue;
    double cost = 0;
    if (!book_holds(*site.book, model)) {
      const auto& costs = costs_of(site, service);
      cost = load_time(service, *site.book, model) + costs.load;
      if (costs.room_taken + weights > service.room_mb) cost += static_cast<double>(input_.bound / unload_part);
      for (const auto* victim : *victims) {
        const auto quiet = static_cast<double>(wants_quiet(*victim->wants, input_.now));
        cost += victim->load_time * bound / (bound + quiet);
      }
      if (const auto near = localities.find(site.book->entry.locality()); near != localities.end())
        cost += static_cast<double>(near->second) * static_cast<double>(input_.bound / zone_part);
    }
    if (best && cost >= best->cost) continue;
    best = Place{identity, {}, cost};
    for (const auto* victim : *victims) best->victims.push_back(victim->unit);
  }
  return best;
}

}  // namespace weldsail
