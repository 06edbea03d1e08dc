#include <algorithm>

#include "core/placement/places.hpp"

namespace weldsail {
namespace {

/// Models that the worker holds beyond its plan, as it refused to unload them.
std::vector<std::string> kept_models(const PlanInput& input, const PlannedWorker& worker, const WorkerBook& book) {
  std::vector<std::string> kept;
  for (const auto& [model, adapters] : book.held)
    if (!worker.models.contains(model) && refusals_active(book.refused_unloads, model, input.now))
      kept.push_back(model);
  return kept;
}

/// Planned models that aren't there leave the worker until the given weights have room.
void make_room(HolderPlan& plan, const std::string& identity, const PathService& service, const WorkerBook& book,
               std::int64_t weights) {
  const auto& worker = plan.workers.at(identity);
  auto lacking = weights - service.room_mb;
  for (const auto& model : worker.models) lacking += model_weights(service, model);
  for (const auto& model : std::set(worker.models)) {
    if (lacking <= 0) return;
    if (book_holds(book, model)) continue;
    plan_leave(plan, identity, model);
    lacking -= model_weights(service, model);
  }
}

void keep_refused(HolderPlan& plan, const PlanInput& input, const std::string& identity) {
  const auto worker = plan.workers.find(identity);
  const auto book = input.books.find(identity);
  if (worker == plan.workers.end() || book == input.books.end()) return;
  const auto service = input.paths.services.find(worker->second.service);
  if (service == input.paths.services.end()) return;
  for (const auto& model : kept_models(input, worker->second, book->second)) {
    const auto unit = unit_name(service->first, model);
    if (!plan.counts.contains(unit)) continue;
    make_room(plan, identity, service->second, book->second, model_weights(service->second, model));
    plan_hold(plan, identity, model);
    const auto holders = static_cast<std::uint32_t>(planned_holders(plan, unit).size());
    plan_count(plan, unit, std::max(plan.counts.at(unit).count(), holders));
  }
}

}  // namespace

void plan_refused(HolderPlan& plan, const PlanInput& input) {
  if (input.open_work == nullptr) {
    for (const auto& [identity, book] : input.books) keep_refused(plan, input, identity);
    return;
  }
  for (const auto& identity : *input.open_work) keep_refused(plan, input, identity);
}

}  // namespace weldsail
