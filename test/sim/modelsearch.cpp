#include "sim/modelsearch.hpp"

#include <algorithm>
#include <chrono>
#include <unordered_set>

namespace weldsail::sim::model {
namespace {

using Clock = std::chrono::steady_clock;

double seconds_since(Clock::time_point begun) { return std::chrono::duration<double>(Clock::now() - begun).count(); }

/// How a state was first reached.
struct Link {
  std::size_t parent = 0;
  Action action;
};

struct Frontier {
  std::size_t number = 0;
  ModelWorld world;
};

Trace trace_to(const std::vector<Link>& links, std::size_t number) {
  Trace trace;
  for (; number != 0; number = links[number].parent) trace.push_back(links[number].action);
  std::ranges::reverse(trace);
  return trace;
}

/// Weights of the kinds of action in a walk, in the order of ActionKind.
constexpr std::array<std::uint64_t, action_kinds> walk_weights{300, 150, 12, 30, 150, 4,  4, 2, 1,
                                                               40,  3,   10, 6,  20,  14, 5, 6, 12};

const Action& choose(const std::vector<Action>& actions, Chance& chance) {
  std::array<std::uint64_t, action_kinds> present{};
  std::array<std::uint64_t, action_kinds> count{};
  std::uint64_t sum = 0;
  for (const auto& action : actions) {
    const auto kind = static_cast<std::size_t>(action.kind);
    if (++count[kind] > 1) continue;
    present[kind] = walk_weights[kind];
    sum += present[kind];
  }
  auto left = chance.below(sum);
  std::size_t kind = 0;
  while (left >= present[kind]) left -= present[kind++];
  auto place = chance.below(count[kind]);
  for (const auto& action : actions) {
    if (static_cast<std::size_t>(action.kind) != kind) continue;
    if (place-- == 0) return action;
  }
  return actions.front();
}

}  // namespace

SearchResult search_states(const ModelWorld& root, const SearchLimits& limits) {
  const auto begun = Clock::now();
  SearchResult result;
  std::unordered_set<std::uint64_t> visited{root.digest()};
  std::vector<Link> links(1);
  std::vector<Frontier> level{{0, root}};
  while (!level.empty() && result.depth < limits.depth && result.fault.empty()) {
    std::vector<Frontier> next;
    for (auto& [number, world] : level) {
      for (const auto& action : world.enabled()) {
        auto after = world;
        after.perform(action);
        ++result.transitions;
        if (!visited.insert(after.digest()).second) continue;
        links.push_back({number, action});
        if (!after.fault().empty()) {
          result.fault = after.fault();
          result.trace = trace_to(links, links.size() - 1);
          break;
        }
        next.push_back({links.size() - 1, std::move(after)});
      }
      if (!result.fault.empty() || visited.size() >= limits.states) break;
      world = root;
    }
    const bool whole = result.fault.empty() && visited.size() < limits.states;
    if (whole) ++result.depth;
    if (!whole) break;
    level = std::move(next);
  }
  result.exhausted = level.empty();
  result.states = visited.size();
  result.seconds = seconds_since(begun);
  return result;
}

SearchResult walk_states(const ModelWorld& root, Chance& chance, std::size_t steps) {
  const auto begun = Clock::now();
  SearchResult result;
  auto world = root;
  while (result.trace.size() < steps && result.fault.empty()) {
    const auto actions = world.enabled();
    if (actions.empty()) break;
    const auto action = choose(actions, chance);
    world.perform(action);
    result.trace.push_back(action);
    result.fault = world.fault();
  }
  result.transitions = result.states = result.depth = result.trace.size();
  result.seconds = seconds_since(begun);
  return result;
}

void settle(ModelWorld& world) {
  for (bool moved = true; moved && world.fault().empty();) {
    moved = false;
    for (const auto& action : world.enabled()) {
      if (action.kind != ActionKind::deliver && action.kind != ActionKind::sync) continue;
      world.perform(action);
      moved = true;
      break;
    }
  }
}

}  // namespace weldsail::sim::model
