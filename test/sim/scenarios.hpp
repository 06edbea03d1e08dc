#pragma once
#include <string>
#include <vector>

#include "sim/fleet.hpp"

namespace weldsail::sim {

/// What a scenario found, and figures worth printing.
struct ScenarioResult {
  std::vector<std::string> faults;
  std::vector<std::pair<std::string, double>> figures;
  /// Lines that are worth printing as they are.
  std::vector<std::string> notes = {};
};

/// The configuration as one register under loss, kills, cuts, freezes, stalls and lost writes.
ScenarioResult run_register(std::uint64_t seed);

/// A day with callers, operators and every kind of trouble.
ScenarioResult run_day(std::uint64_t seed);

/// The same at the two users' sizes.
ScenarioResult run_tbilisi(std::uint64_t seed);
ScenarioResult run_kuusela(std::uint64_t seed);
/// The same for a fleet of any plan; callers pause for at most the given time.
ScenarioResult run_day_of(std::uint64_t seed, const FleetPlan& plan, Moment pause_most);

/// Control processes cut off for 20 s: what each answers, and when data nodes have the majority's version in force.
ScenarioResult run_cutoff(std::uint64_t seed);

/// Core machines replaced by empty ones, one after another, until none of the first remains.
ScenarioResult run_replace(std::uint64_t seed);

/// A second loss at each step of a change of the core's set, and right after it; then as many as are tolerated at once.
ScenarioResult run_second_loss(std::uint64_t seed);

/// Holders lost just after a load has gone to a worker that freezes: the store's rate, with two cells on one store.
ScenarioResult run_takeover(std::uint64_t seed);

/// Changes in quick succession and racing while every data node stays reachable: in force within 2 s.
ScenarioResult run_force(std::uint64_t seed);

/// A fleet rolled from the former landing's messages to today's and back, under load.
ScenarioResult run_rollout(std::uint64_t seed);

/// One hard fault by itself: serving compared with the same seed's calm, and tries compared with the traffic.
ScenarioResult run_hard(std::uint64_t seed);

/// Models placed on stand-in workers of a platform by one holder count each, under every kind of trouble.
ScenarioResult run_placing(std::uint64_t seed);

/// Racing changes, repeats and lost answers while the processes that take them come to grief.
ScenarioResult run_one_number(std::uint64_t seed);

/// Bytes and processor time of a change, by routes, changes recorded and the record's layout; any seed gives the same.
ScenarioResult run_change_cost(std::uint64_t seed);

/// One large configuration and small changes after or beside it, in quiet or trouble: bytes sent to each data node and
/// between core processes.
ScenarioResult run_delivery(std::uint64_t seed);

/// Hundreds of changes, whole and amended, while members are down, emptied or frozen and disks slow, full or hung.
ScenarioResult run_long_history(std::uint64_t seed);

/// Random walks of the model checker, far beyond the depth of its exhaustive search.
ScenarioResult run_model(std::uint64_t seed);

/// Routes and keys that come and go while news is late at some nodes, owners are lost and nodes are cut off: what data
/// nodes refuse and run, judged by a plain model of what was acknowledged when.
ScenarioResult run_late_news(std::uint64_t seed);

/// The model checker's exhaustive searches, so many steps deeper than in the tests.
ScenarioResult run_model_search(std::uint64_t deeper);

}  // namespace weldsail::sim
