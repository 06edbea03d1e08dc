#pragma once
#include <deque>

#include "core/placement/worker.hpp"

namespace weldsail {

/// A worker at which an ordered load may still begin.
struct DoubtfulPull {
  std::string instance;
  Moment since = 0;
  Moment asked = 0;
  std::optional<Moment> unlisted_since;
};

/// A pull that has begun, at this moment at the latest.
struct RecentPull {
  Moment latest = 0;
  bool doubtful = false;
};

/// What is known of pulls from the store: when the last have begun, and which may still begin.
struct PullState {
  Moment bound = 3000;
  Moment next = 0;
  std::deque<RecentPull> recent;
  std::map<std::string, DoubtfulPull> doubts;
};

/// Begins a term: every pull that a former holder had announced may still begin.
void pulls_begin(PullState& state, const wire::Placement& adopted, Moment now);
/// True when one more pull may begin now: with it, all that may fall into one second are no more than the rate.
bool pulls_allow(const PullState& state, std::size_t open, double loads_per_s, Moment now);
/// A pull was ordered, or the pace changes: the next has its distance from now.
void pulls_made(PullState& state, double loads_per_s, Moment now);
/// A pull that was ordered then has begun by now.
void pulls_begun(PullState& state, Moment ordered, double loads_per_s, Moment now);
/// The worker can't begin a doubtful pull any more; it may have begun up to now.
void pulls_settle(PullState& state, const std::string& address, Moment now);
/// Settles doubts that a view or the platform's list disproves.
void pulls_watch(PullState& state, const WorkerWatch& watch, const std::set<std::string>& listed, Moment now);

}  // namespace weldsail
