#include "core/placement/roomahead.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "core/placement/crowd.hpp"
#include "core/placement/places.hpp"

namespace weldsail {
namespace {

/// Room is made for loads that the store can begin within this part of the bound.
constexpr Moment made_ahead_part = 6;
constexpr double milliseconds = 1000;

/// True when a load isn't ordered for a while, as it was refused.
bool load_rests(const PlanInput& input, const WorkerBook& book, const std::string& unit) {
  if (refusals_active(book.refused_loads, unit_model(unit), input.now)) return true;
  return input.refused_units != nullptr && refusals_active(*input.refused_units, unit, input.now);
}

/// The worker's planned loads that wait for the store: it isn't busy with another load, and answers.
void add_pending(PendingLoads& pending, const HolderPlan& plan, const PlanInput& input, const PlannedWorker& worker,
                 const WorkerBook& book) {
  if (book_stuck(input, book) || (book.order && book.order->order.load)) return;
  for (const auto& model : worker.models) {
    const auto unit = unit_name(worker.service, model);
    if (from_store(book, model) && !load_rests(input, book, unit)) pending.add(presses(plan, input, unit));
  }
}

}  // namespace

bool presses(const HolderPlan& plan, const PlanInput& input, const std::string& unit) {
  return unit_waits(input, unit) || unit_crowded(plan, input, unit);
}

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

PendingLoads pending_loads(const HolderPlan& plan, const PlanInput& input) {
  PendingLoads pending;
  const auto visit = [&](const std::string& identity) {
    if (input.work != nullptr) ++input.work->workers;
    const auto worker = plan.workers.find(identity);
    if (worker != plan.workers.end()) add_pending(pending, plan, input, worker->second, input.books.at(identity));
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

}  // namespace weldsail
