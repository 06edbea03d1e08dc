#include <algorithm>

#include "core/placement/plan.hpp"

namespace weldsail {
namespace {

using Adapter = std::pair<std::string, std::string>;

/// How much callers of the service's models wish for each adapter.
std::map<Adapter, double> wishes_of(const PlanInput& input, const PathService& service) {
  std::map<Adapter, double> wishes;
  const auto add = [&](const std::string& unit) {
    const auto found = input.wants.find(unit);
    if (found == input.wants.end() || unit_service(input.paths, unit) != &service) return;
    for (const auto& [adapter, weight] : found->second.adapters) wishes[{unit_model(unit), adapter}] = weight;
  };
  if (input.wished != nullptr)
    std::ranges::for_each(*input.wished, add);
  else
    for (const auto& [unit, wants] : input.wants) add(unit);
  return wishes;
}

bool known_adapter(const PathService& service, const Adapter& adapter) {
  const auto found = service.models.find(adapter.first);
  return found != service.models.end() && found->second.adapters > 0;
}

/// The adapter whose place is taken first: the least wished for.
std::optional<Adapter> least_wished(const PlannedWorker& worker, const std::map<Adapter, double>& wishes) {
  std::optional<std::pair<double, Adapter>> least;
  for (const auto& adapter : worker.adapters) {
    const auto wish = wishes.find(adapter);
    const std::pair rank{wish == wishes.end() ? 0.0 : wish->second, adapter};
    if (!least || rank < *least) least = rank;
  }
  return least ? std::optional(least->second) : std::nullopt;
}

struct AdapterPlace {
  std::string identity;
  std::optional<Adapter> victim;
  std::tuple<bool, double, bool, std::size_t> rank;
};

void place_adapter(HolderPlan& plan, const PlanInput& input, const PathService& service, const Adapter& adapter,
                   const std::map<Adapter, double>& wishes) {
  std::optional<AdapterPlace> best;
  for (const auto& identity : planned_holders(plan, unit_name(service.name, adapter.first))) {
    const auto& worker = plan.workers.at(identity);
    if (input.work != nullptr) ++input.work->workers;
    if (worker.adapters.contains(adapter)) return;
    const auto& book = input.books.at(identity);
    if (!book_holds(book, adapter.first) || book_stuck(input, book)) continue;
    const bool full = worker.adapters.size() >= service.adapter_places;
    const auto victim = full ? least_wished(worker, wishes) : std::nullopt;
    if (full && !victim) continue;
    const auto lost = victim && wishes.contains(*victim) ? wishes.at(*victim) : 0.0;
    if (full && lost * 2 > wishes.at(adapter)) continue;
    const bool loading = book.order && book.order->order.adapter.empty();
    AdapterPlace place{identity, victim, {full, lost, loading, worker.adapters.size()}};
    if (!best || place.rank < best->rank) best = std::move(place);
  }
  if (!best) return;
  auto& worker = plan.workers.at(best->identity);
  if (best->victim) worker.adapters.erase(*best->victim);
  worker.adapters.insert(adapter);
  plan_touch_worker(plan, best->identity);
}

}  // namespace

void plan_adapters(HolderPlan& plan, const PlanInput& input) {
  for (const auto& [name, service] : input.paths.services) {
    if (service.adapter_places == 0) continue;
    const auto wishes = wishes_of(input, service);
    std::vector<std::pair<double, Adapter>> order;
    for (const auto& [adapter, wish] : wishes)
      if (known_adapter(service, adapter)) order.emplace_back(-wish, adapter);
    std::ranges::sort(order);
    for (const auto& [wish, adapter] : order) place_adapter(plan, input, service, adapter, wishes);
  }
}

}  // namespace weldsail
