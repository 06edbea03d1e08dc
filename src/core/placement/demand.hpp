#pragma once
#include <functional>

#include "core/membership/member.hpp"
#include "core/placement/placer.hpp"

namespace weldsail {

/// True where the data node's report with the given number is newer; one without a number is taken as now.
bool report_overtaken(const wire::CounterReport& report, std::uint64_t newest);

/// A report and when it came in.
struct HeardReport {
  Moment heard = 0;
  wire::CounterReport report;
  /// The highest number that a report of the same data node has had.
  std::uint64_t number = 0;
};

/// One data node's counters as they were told last.
struct CounterBaseline {
  /// Number of the report that brought them up to date; 0 where the node doesn't number them.
  std::uint64_t number = 0;
  /// It didn't answer the last ask: what it counted since isn't of one pass.
  bool missed = false;
  std::map<std::string, wire::Counter> counters;
};

/// Counters of the routing nodes as the duty holder collects them.
struct DemandState {
  Moment bound = 3000;
  std::map<std::uint64_t, CounterBaseline> baselines;
  std::map<std::uint64_t, wire::CounterReport> reports;
  std::map<std::uint64_t, HeardReport> backlogs;
  std::set<std::uint64_t> expected;
  std::uint64_t round = 0;
  Moment asked = 0;
  Moment last_pass = 0;
  bool open = false;
};

/// Samples of a pass by unit; `incomplete` says why shrinking must wait, when it must.
struct DemandPass {
  std::map<std::string, UnitSample> samples;
  bool complete = true;
  bool measured = true;
  Moment from = 0;
  Moment until = 0;
};

/// Tells the number of a data node's newest report whose backlogs are known, or 0.
using KnownBacklogs = std::function<std::uint64_t(std::uint64_t node)>;
/// Asks every routing node for its counters, or for what has changed where it is said what is known.
void demand_ask(DemandState& state, const MemberState& member, const KnownBacklogs& known, Moment now,
                Effects& effects);
/// Takes a report of counters or of backlogs.
void demand_receive(DemandState& state, const wire::Envelope& envelope, Moment now);
/// Takes a report's counters alone, where it answers the ask that is open.
void demand_take_counters(DemandState& state, const wire::Envelope& envelope);
/// True when all have answered or the time to answer is over.
bool demand_ready(const DemandState& state, Moment now);
/// Deltas since the last pass; the counters become the new baseline.
DemandPass demand_close(DemandState& state, std::uint64_t sample_limit,
                        const std::map<std::string, std::string>& phases, Moment now);
/// What callers wait for, by unit; quiet only where every live routing node says so.
std::map<std::string, UnitDemand> demand_by_unit(const DemandState& state, const MemberState& member,
                                                 const std::set<std::string>& units, Moment now);

}  // namespace weldsail
