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
    auto& count = plan.counts[unit];
    const auto holders = static_cast<std::uint32_t>(planned_holders(plan, unit).size());
    count.set_count(std::max(count.count(), holders));
  }
}

bool forget_unknown_models(PlannedWorker& planned, const PathService& service) {
  const auto gone = std::erase_if(planned.models, [&](const auto& model) { return !service.models.contains(model); });
  std::erase_if(planned.adapters, [&](const auto& item) { return !planned.models.contains(item.first); });
  return gone > 0;
}

}  // namespace

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

void write_plan(const HolderPlan& plan, wire::Placement& placement) {
  placement.clear_counts();
  placement.clear_plans();
  for (const auto& [unit, count] : plan.counts) *placement.add_counts() = count;
  for (const auto& [identity, worker] : plan.workers) {
    auto* item = placement.add_plans();
    item->set_identity(identity);
    item->set_address(worker.address);
    item->set_service(worker.service);
    for (const auto& model : worker.models) item->add_models(model);
    for (const auto& [model, adapter] : worker.adapters) item->add_adapters(model + "/" + adapter);
  }
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

void plan_hold(HolderPlan& plan, const std::string& identity, const std::string& model) {
  auto& worker = plan.workers.at(identity);
  if (!worker.models.insert(model).second || !plan.holders) return;
  auto& holders = (*plan.holders)[unit_name(worker.service, model)];
  holders.insert(std::ranges::lower_bound(holders, identity), identity);
}

void plan_leave(HolderPlan& plan, const std::string& identity, const std::string& model) {
  auto& worker = plan.workers.at(identity);
  std::erase_if(worker.adapters, [&](const auto& item) { return item.first == model; });
  if (worker.models.erase(model) == 0 || !plan.holders) return;
  std::erase((*plan.holders)[unit_name(worker.service, model)], identity);
}

const std::vector<std::string>& planned_holders(const HolderPlan& plan, const std::string& unit) {
  static const std::vector<std::string> none;
  if (!plan.holders) {
    plan.holders.emplace();
    for (const auto& [identity, worker] : plan.workers)
      for (const auto& model : worker.models) (*plan.holders)[unit_name(worker.service, model)].push_back(identity);
  }
  const auto found = plan.holders->find(unit);
  return found == plan.holders->end() ? none : found->second;
}

std::int64_t ready_holders(const HolderPlan& plan, const PlanInput& input, const std::string& unit) {
  return std::ranges::count_if(planned_holders(plan, unit), [&](const std::string& identity) {
    const auto& book = input.books.at(identity);
    return book_holds(book, unit_model(unit)) && !book_stuck(input, book);
  });
}

void plan_align(HolderPlan& plan, const PlanInput& input) {
  std::erase_if(plan.counts, [&](const auto& item) { return unit_service(input.paths, item.first) == nullptr; });
  const auto gone = std::erase_if(plan.workers, [&](const auto& item) {
    const auto book = input.books.find(item.first);
    return book == input.books.end() || !book_usable(input, book->second) ||
           !input.paths.services.contains(item.second.service);
  });
  bool changed = gone > 0;
  for (auto& [identity, worker] : plan.workers)
    changed |= forget_unknown_models(worker, input.paths.services.at(worker.service));
  if (changed) plan.holders.reset();
  for (const auto& [identity, book] : input.books) {
    const auto service = input.paths.services.find(book.entry.service());
    if (service == input.paths.services.end() || service->second.models.empty()) continue;
    if (!plan.workers.contains(identity) && book_usable(input, book)) adopt(plan, service->second, book);
  }
  for (const auto& [unit, parts] : path_units(input.paths)) {
    plan.counts[unit].set_service(parts.first);
    plan.counts[unit].set_model(parts.second);
  }
}

}  // namespace weldsail
