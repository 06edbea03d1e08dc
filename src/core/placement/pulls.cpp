#include "core/placement/pulls.hpp"

#include <algorithm>
#include <cmath>

namespace weldsail {
namespace {

constexpr double pace_margin = 1.05;
constexpr Moment unlisted_bounds = 20;
constexpr auto window = static_cast<Moment>(1000 * pace_margin);

Moment pull_gap(double loads_per_s) { return static_cast<Moment>(std::ceil(1000 / loads_per_s * pace_margin)) + 1; }

void remember(PullState& state, RecentPull pull) {
  while (!state.recent.empty() && pull.latest - state.recent.front().latest > window) state.recent.pop_front();
  state.recent.push_back(pull);
}

}  // namespace

void pulls_begin(PullState& state, const wire::Placement& adopted, Moment now) {
  state.doubts.clear();
  for (const auto& pull : adopted.pulls()) state.doubts[pull.worker()] = {pull.instance(), now, 0, std::nullopt};
  if (!adopted.announces())
    for (const auto& record : adopted.workers())
      if (record.phase() != phase_name(WorkerPhase::call)) state.doubts[record.address()] = {{}, now, 0, std::nullopt};
  state.recent.clear();
  state.next = 0;
}

bool pulls_allow(const PullState& state, std::size_t open, double loads_per_s, Moment now) {
  const auto unsure = state.doubts.size() + open;
  if (now < state.next) return false;
  std::size_t fresh = 0;
  bool doubtful = unsure > 0;
  for (const auto& pull : state.recent) {
    if (now - pull.latest > window) continue;
    ++fresh;
    doubtful = doubtful || pull.doubtful;
  }
  if (!doubtful) return true;
  return loads_per_s >= 1 && static_cast<double>(fresh + unsure + 1) <= std::floor(loads_per_s);
}

void pulls_made(PullState& state, double loads_per_s, Moment now) {
  state.next = std::max(state.next, now + pull_gap(loads_per_s));
}

void pulls_begun(PullState& state, Moment ordered, double loads_per_s, Moment now) {
  remember(state, {now, now - ordered > pull_gap(loads_per_s) / 2});
  pulls_made(state, loads_per_s, now);
}

void pulls_settle(PullState& state, const std::string& address, Moment now) {
  if (state.doubts.erase(address) != 0) remember(state, {now, true});
}

void pulls_watch(PullState& state, const WorkerWatch& watch, const std::set<std::string>& listed, Moment now) {
  std::vector<std::string> settled;
  for (auto& [address, doubt] : state.doubts) {
    const auto view = watch.views.find(address);
    if (listed.contains(address))
      doubt.unlisted_since.reset();
    else if (!doubt.unlisted_since)
      doubt.unlisted_since = now;
    const bool gone = doubt.unlisted_since && now - *doubt.unlisted_since > unlisted_bounds * state.bound;
    const bool refused = view != watch.views.end() && view->second.refused > doubt.since;
    const bool another = view != watch.views.end() && view->second.status && view->second.heard > doubt.since &&
                         !doubt.instance.empty() && view->second.status->instance != doubt.instance;
    if (gone || refused || another) settled.push_back(address);
  }
  for (const auto& address : settled) pulls_settle(state, address, now);
}

}  // namespace weldsail
