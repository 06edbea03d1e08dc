#include <algorithm>

#include "core/data.hpp"

namespace weldsail {
namespace {

constexpr Moment deferred_patience = 2;

struct Waiting {
  std::uint64_t request;
  std::string tenant;
  std::pair<std::string, std::string> group;
  bool yields;
  bool tried_before;
  bool done;
};

std::vector<Waiting> all_waiting(const DataState& state, Moment now) {
  std::vector<Waiting> waiting;
  for (const auto& [name, pool] : state.pools)
    for (const auto request : pool.waiting) {
      const auto& carry = state.carries.at(request);
      const auto patience = (carry.ledger.hold_due - carry.arrived) / deferred_patience;
      const bool yields = carry.route.kind == RouteKind::deferred && now - carry.arrived < patience;
      waiting.push_back(
          {request, carry.tenant, {name, carry.route.adapter}, yields, !carry.ledger.attempts.empty(), false});
    }
  return waiting;
}

}  // namespace

void dispatch(DataState& state, Moment now, Effects& effects) {
  auto waiting = all_waiting(state, now);
  std::set<std::pair<std::string, std::string>> stuck;
  const auto rank = [&](const Waiting& item) { return std::pair(item.yields, state.hold.served[item.tenant]); };
  while (true) {
    Waiting* next = nullptr;
    for (auto& item : waiting)
      if (!item.done && !stuck.contains(item.group) && (next == nullptr || rank(item) < rank(*next))) next = &item;
    if (next == nullptr) return;
    next->done = true;
    carry_move(state, next->request, now, effects);
    const auto& left = state.pools[next->group.first].waiting;
    const bool waits = std::ranges::find(left, next->request) != left.end();
    if (waits && !next->tried_before) stuck.insert(next->group);
  }
}

}  // namespace weldsail
