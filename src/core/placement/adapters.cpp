#include <algorithm>

#include "core/placement/crowd.hpp"
#include "core/placement/line.hpp"
#include "core/placement/plan.hpp"

namespace weldsail {
namespace {

using Adapter = std::pair<std::string, std::string>;

/// Ratios to the bound: an adapter in use leaves its place to one that has been owed for the first of these times, and
/// one that callers wait for to one that has been owed for the second time and for the third longer than itself.
constexpr Moment in_use_part = 4;
constexpr Moment awaited_part = 1;
constexpr Moment longer_part = 4;

/// An adapter that callers wait for, or are expected back for.
struct Wish {
  Moment age = 0;
  std::string unit;
  std::string adapter;
  const AdapterWants* wants = nullptr;
};

/// Why an adapter's place may be taken, the best reason first.
enum class Leaves { idle, in_use, awaited };

struct Victim {
  Leaves leaves = Leaves::idle;
  Moment last_asked = 0;
  Adapter adapter;
};

struct AdapterPlace {
  std::string identity;
  std::optional<Victim> victim;
  std::tuple<bool, Leaves, Moment, bool, std::size_t> rank;
};

const AdapterWants& adapter_wants(const PlanInput& input, const std::string& unit, const std::string& adapter) {
  static const AdapterWants none;
  const auto& adapters = plan_wants(input, unit).adapters;
  const auto found = adapters.find(adapter);
  return found == adapters.end() ? none : found->second;
}

/// Adapters of configured models that callers wait for, those owed for the longest first.
std::vector<Wish> wishes_of(const PlanInput& input) {
  std::vector<Wish> wishes;
  const auto add = [&](const std::string& unit, const std::string& adapter) {
    const auto* service = unit_service(input.paths, unit);
    if (service == nullptr || service->adapter_places == 0) return;
    const auto model = service->models.find(unit_model(unit));
    const auto& wants = adapter_wants(input, unit, adapter);
    if (model == service->models.end() || model->second.adapters == 0 || !adapter_waits(wants, input)) return;
    wishes.push_back({adapter_age(wants, input), unit, adapter, &wants});
  };
  if (input.asked_adapters != nullptr) {
    for (const auto& [unit, adapter] : *input.asked_adapters) add(unit, adapter);
  } else {
    for (const auto& [unit, wants] : input.wants)
      for (const auto& [adapter, asked] : wants.adapters) add(unit, adapter);
  }
  std::ranges::stable_sort(wishes, std::greater<>(), &Wish::age);
  return wishes;
}

/// How the adapter may leave its place to the wish, if it may.
std::optional<Leaves> leaves_to(const PlanInput& input, const AdapterWants& wants, const Wish& wish, bool first) {
  const bool waits = adapter_waits(wants, input);
  if (!waits && wants.running == 0) return Leaves::idle;
  if (!first) return std::nullopt;
  if (!waits) return wish.age >= input.bound / in_use_part ? std::optional(Leaves::in_use) : std::nullopt;
  const bool longer = wish.age >= adapter_age(wants, input) + input.bound / longer_part;
  return longer && wish.age >= input.bound / awaited_part ? std::optional(Leaves::awaited) : std::nullopt;
}

/// The adapter whose place is taken first: the least lately asked for among those that may leave.
std::optional<Victim> victim_at(const PlannedWorker& worker, const PlanInput& input, const Wish& wish, bool first) {
  std::optional<Victim> best;
  for (const auto& adapter : worker.adapters) {
    const auto& wants = adapter_wants(input, unit_name(worker.service, adapter.first), adapter.second);
    const auto leaves = leaves_to(input, wants, wish, first);
    if (!leaves) continue;
    const auto asked = wants.asks.last_asked.value_or(0);
    if (best && std::pair(best->leaves, best->last_asked) <= std::pair(*leaves, asked)) continue;
    best = Victim{*leaves, asked, adapter};
  }
  return best;
}

/// Holders that the adapter's requests call for.
std::size_t copies_needed(const Wish& wish, const PathService& service) {
  UnitDemand demand;
  demand.running = wish.wants->running + wish.wants->waiting;
  return static_cast<std::size_t>(std::max<std::int64_t>(1, count_for_running(demand, service)));
}

void place_adapter(HolderPlan& plan, const PlanInput& input, const Wish& wish) {
  const auto& service = *unit_service(input.paths, wish.unit);
  const Adapter adapter{unit_model(wish.unit), wish.adapter};
  const auto& holders = planned_holders(plan, wish.unit);
  const auto copies = static_cast<std::size_t>(std::ranges::count_if(
      holders, [&](const auto& identity) { return plan.workers.at(identity).adapters.contains(adapter); }));
  if (copies >= copies_needed(wish, service)) return;
  std::optional<AdapterPlace> best;
  for (const auto& identity : holders) {
    const auto& worker = plan.workers.at(identity);
    if (input.work != nullptr) ++input.work->workers;
    const auto& book = input.books.at(identity);
    if (worker.adapters.contains(adapter) || !book_holds(book, adapter.first) || book_stuck(input, book)) continue;
    const bool full = worker.adapters.size() >= service.adapter_places;
    const auto victim = full ? victim_at(worker, input, wish, copies == 0) : std::nullopt;
    if (full && !victim) continue;
    const bool loading = book.order && book.order->order.adapter.empty();
    AdapterPlace place{identity,
                       victim,
                       {full, victim ? victim->leaves : Leaves::idle, victim ? victim->last_asked : 0, loading,
                        worker.adapters.size()}};
    if (!best || place.rank < best->rank) best = std::move(place);
  }
  if (!best) return;
  auto& worker = plan.workers.at(best->identity);
  if (best->victim) worker.adapters.erase(best->victim->adapter);
  worker.adapters.insert(adapter);
  plan_touch_worker(plan, best->identity);
}

}  // namespace

void plan_adapters(HolderPlan& plan, const PlanInput& input) {
  for (const auto& wish : wishes_of(input)) place_adapter(plan, input, wish);
}

}  // namespace weldsail
