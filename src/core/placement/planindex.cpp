#include <algorithm>

#include "core/placement/plan.hpp"

namespace weldsail {
namespace {

void keep_member(std::set<std::string>& units, const std::string& unit, bool belongs) {
  if (belongs)
    units.insert(unit);
  else
    units.erase(unit);
}

/// Works out anew in which sets the unit belongs.
void classify(PlanIndex& index, const HolderPlan& plan, const std::string& unit) {
  const auto count = plan.counts.find(unit);
  const auto holders = index.holders.find(unit);
  const auto held = holders == index.holders.end() ? 0 : holders->second.size();
  const bool known = count != plan.counts.end();
  keep_member(index.uneven, unit, known && held != count->second.count());
  keep_member(index.unsettled, unit, known && count_unsettled(count->second));
}

/// Gives the plan's worker what the other plan's has.
void follow_worker(HolderPlan& plan, const std::string& identity, const HolderPlan& other) {
  const auto next = other.workers.find(identity);
  if (const auto own = plan.workers.find(identity); own != plan.workers.end())
    for (const auto& model : std::set(own->second.models))
      if (next == other.workers.end() || !next->second.models.contains(model)) plan_leave(plan, identity, model);
  if (next == other.workers.end()) {
    plan.workers.erase(identity);
    return;
  }
  auto& worker = plan.workers[identity];
  worker.address = next->second.address;
  worker.service = next->second.service;
  for (const auto& model : next->second.models) plan_hold(plan, identity, model);
  worker.adapters = next->second.adapters;
}

}  // namespace

const PlanIndex& plan_index(const HolderPlan& plan) {
  if (plan.index) return *plan.index;
  auto& index = plan.index.emplace();
  for (const auto& [identity, worker] : plan.workers)
    for (const auto& model : worker.models) index.holders[unit_name(worker.service, model)].push_back(identity);
  for (const auto& [unit, count] : plan.counts) classify(index, plan, unit);
  return index;
}

void plan_reindex(HolderPlan& plan) { plan.index.reset(); }

void plan_touch_unit(HolderPlan& plan, const std::string& unit) {
  plan.touched_units.insert(unit);
  if (plan.index) classify(*plan.index, plan, unit);
}

void plan_touch_worker(HolderPlan& plan, const std::string& identity) { plan.touched_workers.insert(identity); }

void plan_count(HolderPlan& plan, const std::string& unit, std::uint32_t count) {
  auto& entry = plan.counts.at(unit);
  if (entry.count() == count) return;
  entry.set_count(count);
  plan_touch_unit(plan, unit);
}

void plan_hold(HolderPlan& plan, const std::string& identity, const std::string& model) {
  auto& worker = plan.workers.at(identity);
  if (!worker.models.insert(model).second) return;
  plan_touch_worker(plan, identity);
  if (!plan.index) return;
  const auto unit = unit_name(worker.service, model);
  auto& holders = plan.index->holders[unit];
  holders.insert(std::ranges::lower_bound(holders, identity), identity);
  classify(*plan.index, plan, unit);
}

void plan_leave(HolderPlan& plan, const std::string& identity, const std::string& model) {
  auto& worker = plan.workers.at(identity);
  std::erase_if(worker.adapters, [&](const auto& item) { return item.first == model; });
  if (worker.models.erase(model) == 0) return;
  plan_touch_worker(plan, identity);
  if (!plan.index) return;
  const auto unit = unit_name(worker.service, model);
  std::erase(plan.index->holders[unit], identity);
  classify(*plan.index, plan, unit);
}

void plan_follow(HolderPlan& plan, HolderPlan& other) {
  for (const auto& unit : other.touched_units) {
    const auto next = other.counts.find(unit);
    if (next == other.counts.end())
      plan.counts.erase(unit);
    else
      plan.counts[unit] = next->second;
    plan_touch_unit(plan, unit);
  }
  for (const auto& identity : other.touched_workers) follow_worker(plan, identity, other);
  plan.touched_units.clear();
  plan.touched_workers.clear();
  other.touched_units.clear();
  other.touched_workers.clear();
}

const std::vector<std::string>& planned_holders(const HolderPlan& plan, const std::string& unit) {
  static const std::vector<std::string> none;
  const auto& holders = plan_index(plan).holders;
  const auto found = holders.find(unit);
  return found == holders.end() ? none : found->second;
}

}  // namespace weldsail
