#pragma once
#include <optional>

#include "core/placement/plan.hpp"

namespace weldsail {

/// Requests of one data node for one adapter.
struct AdapterBacklog {
  std::string adapter;
  std::uint64_t waiting = 0;
  std::uint64_t running = 0;
  bool operator==(const AdapterBacklog&) const = default;
};

/// What one data node last told of one unit's callers.
struct NodeBacklog {
  std::string unit;
  std::uint64_t waiting = 0;
  std::uint64_t running = 0;
  double prompt_tokens = 0;
  double generation_tokens = 0;
  /// Arrival of the longest waiting request, where one waits.
  Moment waits_since = 0;
  /// Adapters that requests wait for or run with.
  std::vector<AdapterBacklog> adapters;
};

/// A data node's last report.
struct NodeWants {
  Moment heard = 0;
  /// The node's own number of the newest report; 0 where it doesn't number them.
  std::uint64_t number = 0;
  /// The number up to which all that changed there is known; 0 for none.
  std::uint64_t known = 0;
  /// It has told of all its units, not of some alone, since it was last forgotten.
  bool complete = false;
  /// Sorted by unit.
  std::vector<NodeBacklog> backlogs;
};

/// Parts of a unit's wants that can't be kept as sums, by data node.
struct UnitSources {
  std::map<std::uint64_t, Moment> waits_since;
};

/// What all callers ask for, kept up to date report by report: a report costs its own length, not that of the fleet.
struct WantsIndex {
  /// A report that is older than this counts no more, in milliseconds.
  Moment bound = 3000;
  WantsByUnit units;
  /// Requests that wait, of all units.
  std::uint64_t waiting = 0;
  /// Units with waiting or running requests.
  std::set<std::string> active;
  /// Units that are owed to callers, or were until nobody went on asking, and adapters likewise or that requests wait
  /// for.
  std::set<std::string> unserved;
  std::set<AdapterKey> asked_adapters;
  std::map<std::string, UnitSources> sources;
  std::map<std::uint64_t, NodeWants> nodes;
  /// Backlogs that were compared with the node's former report.
  std::uint64_t visited = 0;
};

/// Takes a data node's report in place of its former one, unless it is an older one that waited under way; true when a
/// unit has begun to wait or a new adapter is wished for.
bool wants_take(WantsIndex& index, std::uint64_t node, const wire::CounterReport& report, Moment now);
/// Forgets what nodes told that haven't reported within the bound.
void wants_expire(WantsIndex& index, Moment now);
/// Number of the node's newest report with which all that it has told is known; 0 where it has to tell all.
std::uint64_t wants_known(const WantsIndex& index, std::uint64_t node);
/// True when the node has reported within the bound, and all of its units are known.
bool wants_heard(const WantsIndex& index, std::uint64_t node, Moment now);

}  // namespace weldsail
