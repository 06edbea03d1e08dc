#pragma once
#include "core/placement/book.hpp"

namespace weldsail {

/// What one worker is to hold.
struct PlannedWorker {
  std::string address;
  std::string service;
  std::set<std::string> models;
  /// Model and adapter.
  std::set<std::pair<std::string, std::string>> adapters;
};

/// Holder counts by unit, and what each worker is to hold, by identity.
struct HolderPlan {
  std::map<std::string, wire::HolderCount> counts;
  std::map<std::string, PlannedWorker> workers;
  /// Identities by unit, made when they are first asked for; `plan_hold` and `plan_leave` keep them.
  mutable std::optional<std::map<std::string, std::vector<std::string>>> holders;
};

/// What callers of a unit ask for, as far as data nodes tell.
struct UnitWants {
  UnitDemand demand;
  /// Adapters with the weight of the wish for each, the most wanted first.
  std::vector<std::pair<std::string, double>> adapters;
};

/// All that a plan is made from.
struct PlanInput {
  const PathConfig& paths;
  const Books& books;
  const wire::Placement& committed;
  const std::map<std::string, UnitWants>& wants;
  Moment bound = 3000;
  /// Most data nodes have told what their callers ask for.
  bool demand_known = false;
  /// The store has loads to spare for what nobody waits for.
  bool store_spare = false;
  Moment now = 0;
};

HolderPlan read_plan(const wire::Placement& placement);
/// Puts the plan in place of the one that the placement has.
void write_plan(const HolderPlan& plan, wire::Placement& placement);
/// Units of a configuration's models, as service and model.
std::map<std::string, std::pair<std::string, std::string>> path_units(const PathConfig& paths);
/// The unit's service, or null when the configuration has no such unit.
const PathService* unit_service(const PathConfig& paths, const std::string& unit);
/// True when the worker may be given something: listed, staying, not drained by an operator.
bool book_usable(const PlanInput& input, const WorkerBook& book);
/// True when the worker hasn't answered the last word to it, or keeps an order far beyond its time.
bool book_stuck(const PlanInput& input, const WorkerBook& book);
/// A worker is to hold a model, or to hold it no more with its adapters.
void plan_hold(HolderPlan& plan, const std::string& identity, const std::string& model);
void plan_leave(HolderPlan& plan, const std::string& identity, const std::string& model);
/// Workers that are to hold the unit, in order.
const std::vector<std::string>& planned_holders(const HolderPlan& plan, const std::string& unit);
/// Of those, the ones that do and that answer.
std::int64_t ready_holders(const HolderPlan& plan, const PlanInput& input, const std::string& unit);

/// Brings workers and units in line with the list and the configuration; what a newcomer holds is adopted.
void plan_align(HolderPlan& plan, const PlanInput& input);
/// Gives held requests without a holder a place, brings holders to their counts, and fills free room.
void plan_models(HolderPlan& plan, const PlanInput& input, Effects& effects);
/// Gives wanted adapters without a holder a place; the least wanted give way.
void plan_adapters(HolderPlan& plan, const PlanInput& input);

}  // namespace weldsail
