#include "core/placement/plan.hpp"

#include <algorithm>

namespace weldsail {
namespace {

/// An order that has no end after this many bounds isn't waited for.
constexpr Moment stuck_bounds = 3;

void adopt(HolderPlan& plan, const PathService& service, const WorkerBook& book) {
  auto& planned = plan.workers[book.entry.identity()];
  planned.service = service.name;
  planned.address = book.entry.address();
  for (const auto& [model, adapters] : book.held) {
    if (!service.models.contains(model)) continue;
    plan_hold(plan, book.entry.identity(), model);
    for (const auto& adapter : adapters) planned.adapters.emplace(model, adapter);
    const auto unit = unit_name(service.name, model);
    const auto holders = static_cast<std::uint32_t>(planned_holders(plan, unit).size());
    plan_count(plan, unit, std::max(plan.counts[unit].count(), holders));
  }
  plan_touch_worker(plan, book.entry.identity());
}

bool forget_unknown_models(PlannedWorker& planned, const PathService& service) {
  const auto gone = std::erase_if(planned.models, [&](const auto& model) { return !service.models.contains(model); });
  std::erase_if(planned.adapters, [&](const auto& item) { return !planned.models.contains(item.first); });
  return gone > 0;
}

}  // namespace

bool count_unsettled(const wire::HolderCount& count) { return count.pending() || count.retiring() || count.cooling(); }

HolderPlan read_plan(const wire::Placement& placement) {
  HolderPlan plan;
  for (const auto& count : placement.counts()) plan.counts[unit_name(count.service(), count.model())] = count;
  for (const auto& item : placement.plans()) {
    auto& worker = plan.workers[item.identity()];
    worker.address = item.address();
    worker.service = item.service();
    worker.models = {item.models().begin(), item.models().end()};
    for (const auto& name : item.adapters()) {
      const auto split = name.rfind('/');
      if (split != std::string::npos) worker.adapters.emplace(name.substr(0, split), name.substr(split + 1));
    }
  }
  return plan;
}

void write_plan_count(const wire::HolderCount& count, wire::Placement& placement) {
  if (count.count() > 0 || count_unsettled(count)) *placement.add_counts() = count;
}

void write_plan_worker(const std::string& identity, const PlannedWorker& worker, wire::Placement& placement) {
  auto* item = placement.add_plans();
  item->set_identity(identity);
  item->set_address(worker.address);
  item->set_service(worker.service);
  for (const auto& model : worker.models) item->add_models(model);
  for (const auto& [model, adapter] : worker.adapters) item->add_adapters(model + "/" + adapter);
}

void write_plan(const HolderPlan& plan, wire::Placement& placement) {
  placement.clear_counts();
  placement.clear_plans();
  for (const auto& [unit, count] : plan.counts) write_plan_count(count, placement);
  for (const auto& [identity, worker] : plan.workers) write_plan_worker(identity, worker, placement);
}

std::map<std::string, std::pair<std::string, std::string>> path_units(const PathConfig& paths) {
  std::map<std::string, std::pair<std::string, std::string>> units;
  for (const auto& [name, service] : paths.services)
    for (const auto& [model, options] : service.models) units[unit_name(name, model)] = {name, model};
  return units;
}

const PathService* unit_service(const PathConfig& paths, const std::string& unit) {
  const auto found = paths.services.find(unit_cell(unit));
  return found == paths.services.end() || !found->second.models.contains(unit_model(unit)) ? nullptr : &found->second;
}

bool book_usable(const PlanInput& input, const WorkerBook& book) {
  if (book.entry.draining()) return false;
  return std::ranges::none_of(input.committed.drained(), [&](const std::string& name) {
    return name == "worker:" + book.entry.address() || name == "locality:" + book.entry.locality();
  });
}

bool book_stuck(const PlanInput& input, const WorkerBook& book) {
  if (book.failures > 0) return true;
  return book.order && (book.order->doubtful || input.now - book.order->sent > stuck_bounds * input.bound);
}

Moment wants_oldest(const UnitWants& wants, Moment now) {
  return wants.waits_since ? now - *wants.waits_since : wants.demand.oldest;
}

Moment wants_quiet(const UnitWants& wants, Moment now) {
  return wants.last_used ? now - *wants.last_used : wants.demand.quiet;
}

std::int64_t ready_holders(const HolderPlan& plan, const PlanInput& input, const std::string& unit) {
  return std::ranges::count_if(planned_holders(plan, unit), [&](const std::string& identity) {
    const auto book = input.books.find(identity);
    return book != input.books.end() && book_holds(book->second, unit_model(unit)) && !book_stuck(input, book->second);
  });
}

bool held_beyond_plan(const HolderPlan& plan, const PlanInput& input, const std::string& unit) {
  const auto service = unit_cell(unit);
  const auto model = unit_model(unit);
  const auto beyond = [&](const std::string& identity) {
    if (input.work != nullptr) ++input.work->workers;
    const auto worker = plan.workers.find(identity);
    return worker != plan.workers.end() && worker->second.service == service &&
           !worker->second.models.contains(model) && book_holds(input.books.at(identity), model);
  };
  if (input.open_work != nullptr) return std::ranges::any_of(*input.open_work, beyond);
  return std::ranges::any_of(plan.workers, [&](const auto& item) { return beyond(item.first); });
}

void plan_align(HolderPlan& plan, const PlanInput& input) {
  for (auto count = plan.counts.begin(); count != plan.counts.end();) {
    const auto current = count++;
    if (unit_service(input.paths, current->first) != nullptr) continue;
    plan.touched_units.insert(current->first);
    plan.counts.erase(current);
  }
  for (auto worker = plan.workers.begin(); worker != plan.workers.end();) {
    const auto current = worker++;
    const auto book = input.books.find(current->first);
    const auto service = input.paths.services.find(current->second.service);
    const bool stays =
        book != input.books.end() && book_usable(input, book->second) && service != input.paths.services.end();
    if (stays && !forget_unknown_models(current->second, service->second)) continue;
    plan.touched_workers.insert(current->first);
    if (!stays) plan.workers.erase(current);
  }
  plan_reindex(plan);
  for (const auto& [identity, book] : input.books) {
    const auto service = input.paths.services.find(book.entry.service());
    if (service == input.paths.services.end() || service->second.models.empty()) continue;
    if (!plan.workers.contains(identity) && book_usable(input, book)) adopt(plan, service->second, book);
  }
  for (const auto& [unit, parts] : path_units(input.paths)) {
    const auto [count, fresh] = plan.counts.try_emplace(unit);
    if (!fresh && count->second.service() == parts.first) continue;
    count->second.set_service(parts.first);
    count->second.set_model(parts.second);
    plan_touch_unit(plan, unit);
  }
}

}  // namespace weldsail
