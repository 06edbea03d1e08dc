#pragma once
#include "core/forwarding/paths/call.hpp"
#include "core/placement/listing.hpp"
#include "core/placement/view.hpp"

namespace weldsail {

/// What a node that leaves did with requests since it was told to.
struct LeavingCounts {
  std::uint64_t taken = 0;
  std::uint64_t refused = 0;
  /// Refused after they were held, as no worker could be had that would finish them in time.
  std::uint64_t refused_held = 0;
  /// Ended without a whole answer, as the node's time was over.
  std::uint64_t cut = 0;
};

/// Requests by host and path in a data node, and what it knows to carry them.
struct PathState {
  std::optional<PathConfig> config;
  PathIndex index;
  KeyIndex keys;
  std::map<std::uint64_t, PathCarry> carries;
  std::map<std::uint64_t, std::uint64_t> pipes;
  std::set<std::uint64_t> waiting;
  /// Requests that came before this node had a configuration, and until when each waits for one.
  std::map<std::uint64_t, std::pair<Moment, RequestArrived>> early;
  FleetKnown fleet;
  ListState list;
  std::map<std::string, WorkerTrack> tracks;
  std::map<std::string, PathBudget> budgets;
  std::map<std::string, UnitUse> units;
  /// Lengths of answers by service, for units of which too few were seen.
  std::map<std::string, LengthsByKind> lengths;
  /// Units that requests have begun to wait for since the last report.
  std::set<std::string> fresh;
  std::map<std::string, UnitCounter> counters;
  KnownReports known_reports;
  /// Workers that were looked at to place requests.
  std::uint64_t considered = 0;
  std::map<std::string, std::uint64_t> outcomes;
  LossesByRoute losses;
  LeavingCounts leaving;
  /// Requests that were answered when they came, without being taken up, by status.
  std::map<int, std::uint64_t> refusals;
  Moment next_watch = 0;
  Moment last_busy = 0;
  /// When this node was told to leave; 0 while it wasn't.
  Moment leave_began = 0;
  /// Requests that came to a leaving node before this are taken by an estimate of their answer's length; later ones
  /// only if their own deadline comes before the node's end.
  Moment estimates_until = 0;
  /// When a leaving node closes the connections that rest; 0: not, or done.
  Moment close_resting_at = 0;
};

}  // namespace weldsail
