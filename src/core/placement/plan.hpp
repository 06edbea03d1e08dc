#pragma once
#include "core/asks.hpp"
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

/// What is worked out from a plan when it is first asked for, and kept up to date by every change after that.
struct PlanIndex {
  /// Identities by unit, in order.
  std::map<std::string, std::vector<std::string>> holders;
  /// Units that have fewer or more holders than their count says.
  std::set<std::string> uneven;
  /// Units whose last change of count isn't over: pending, retiring or cooling.
  std::set<std::string> unsettled;
};

/// Holder counts by unit, and what each worker is to hold, by identity. Changes go through the functions below.
struct HolderPlan {
  std::map<std::string, wire::HolderCount> counts;
  std::map<std::string, PlannedWorker> workers;
  mutable std::optional<PlanIndex> index;
  /// Units and workers that were changed since the plan was last proposed.
  std::set<std::string> touched_units;
  std::set<std::string> touched_workers;
};

/// What callers ask of one adapter, as far as data nodes tell.
struct AdapterWants {
  std::uint64_t waiting = 0;
  std::uint64_t running = 0;
  AskRecord asks = {};
};

/// Unit and adapter.
using AdapterKey = std::pair<std::string, std::string>;

/// What callers of a unit ask for, as far as data nodes tell.
struct UnitWants {
  /// Its ages are as of the moment at which the two moments below are given; else they are the ages themselves.
  UnitDemand demand;
  /// Arrival of the longest waiting request.
  std::optional<Moment> waits_since = {};
  /// The last moment at which the unit was in use.
  std::optional<Moment> last_used = {};
  AskRecord asks = {};
  /// Adapters that somebody has asked for, or asks for still.
  std::map<std::string, AdapterWants> adapters = {};
};

/// Wants by unit.
using WantsByUnit = std::map<std::string, UnitWants>;

/// Milliseconds for which the longest waiting request has waited, and since the unit was last in use.
Moment wants_oldest(const UnitWants& wants, Moment now);
Moment wants_quiet(const UnitWants& wants, Moment now);

/// What was visited, for tests and figures.
struct PlanWork {
  std::uint64_t decisions = 0;
  /// Units and workers that were looked at because something of them had changed or is open.
  std::uint64_t units = 0;
  std::uint64_t workers = 0;
  /// Entries of the view that were made for such a change, and for a whole list.
  std::uint64_t entries = 0;
  std::uint64_t listed = 0;
  /// Workers and units that were looked at in search of a place for a model, or of free room.
  std::uint64_t searched = 0;
  /// Models that gave way to others, and those of them that hadn't served anybody since they were loaded.
  std::uint64_t displaced = 0;
  /// Times that a unit lacked a holder and wasn't looked at, as the turn's places were given.
  std::uint64_t places_cut = 0;
  std::uint64_t displaced_unserved = 0;
};

/// All that a plan is made from.
struct PlanInput {
  const PathConfig& paths;
  const Books& books;
  const wire::Placement& committed;
  const WantsByUnit& wants;
  Moment bound = 3000;
  /// Most data nodes have told what their callers ask for.
  bool demand_known = false;
  /// The store has loads to spare for what nobody waits for.
  bool store_spare = false;
  Moment now = 0;
  /// Units with waiting or running requests, units that are owed to callers, and adapters that requests wait for or
  /// that are owed; null: any of the wants may be such.
  const std::set<std::string>* active = nullptr;
  const std::set<std::string>* unserved = nullptr;
  const std::set<AdapterKey>* asked_adapters = nullptr;
  /// Workers that may hold something else than the plan says; null: any may.
  const std::set<std::string>* open_work = nullptr;
  /// Units of which a load was refused; null for none.
  const Refusals* refused_units = nullptr;
  /// Counts visits; null for none.
  PlanWork* work = nullptr;
  /// Most units of a service that are given places in one turn; the longest wait goes first.
  std::size_t places_most = 1000000;
  /// Time in which a worker swaps one adapter for another, as observed; 0 where none was swapped yet.
  Moment adapter_swap = 0;
};

/// True while the last change of the count isn't over.
bool count_unsettled(const wire::HolderCount& count);
HolderPlan read_plan(const wire::Placement& placement);
/// Adds a unit's count to a placement's, unless it rests at none.
void write_plan_count(const wire::HolderCount& count, wire::Placement& placement);
/// Adds what a worker is to hold.
void write_plan_worker(const std::string& identity, const PlannedWorker& worker, wire::Placement& placement);
/// Puts the plan in place of the one that the placement has; units of no count are left out, as `plan_align` adds them.
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
/// Sets the count of a unit that the plan has.
void plan_count(HolderPlan& plan, const std::string& unit, std::uint32_t count);
/// Says that a unit's count or its flags were changed, or what a worker is to hold.
void plan_touch_unit(HolderPlan& plan, const std::string& unit);
void plan_touch_worker(HolderPlan& plan, const std::string& identity);
/// Drops what was worked out, after changes made in any other way.
void plan_reindex(HolderPlan& plan);
/// Brings the plan to where the other is, which was changed from it; what was touched there is forgotten there.
void plan_follow(HolderPlan& plan, HolderPlan& other);
/// What is worked out from the plan.
const PlanIndex& plan_index(const HolderPlan& plan);
/// Workers that are to hold the unit, in order.
const std::vector<std::string>& planned_holders(const HolderPlan& plan, const std::string& unit);
/// Of those, the ones that do and that answer.
std::int64_t ready_holders(const HolderPlan& plan, const PlanInput& input, const std::string& unit);

/// True when a worker still holds the unit that isn't to hold it.
bool held_beyond_plan(const HolderPlan& plan, const PlanInput& input, const std::string& unit);

/// Brings workers and units in line with the list and the configuration; what a newcomer holds is adopted.
void plan_align(HolderPlan& plan, const PlanInput& input);
/// A worker that refuses to unload a model keeps it, and what was to come in its place goes elsewhere.
void plan_refused(HolderPlan& plan, const PlanInput& input);
/// Gives held requests without a holder a place, brings holders to their counts, and fills free room.
void plan_models(HolderPlan& plan, const PlanInput& input, Effects& effects);
/// Gives wanted adapters without a holder a place; the least wanted give way.
void plan_adapters(HolderPlan& plan, const PlanInput& input);

}  // namespace weldsail
