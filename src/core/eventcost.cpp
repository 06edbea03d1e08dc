#include "core/eventcost.hpp"

#include <algorithm>
#include <vector>

namespace weldsail {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

}  // namespace

EventCosts costs_since(const EventCosts& before, const EventCosts& now) {
  EventCosts result;
  for (const auto& [kind, cost] : now) {
    const auto found = before.find(kind);
    const auto former = found == before.end() ? EventCost{} : found->second;
    result[kind] = {cost.events - former.events, cost.time - former.time};
  }
  return result;
}

std::string costs_text(const EventCosts& costs, std::size_t most) {
  std::vector<const EventCosts::value_type*> order;
  for (const auto& item : costs)
    if (item.second.events > 0) order.push_back(&item);
  std::ranges::stable_sort(order, std::ranges::greater{}, [](const auto* item) { return item->second.time; });
  std::string text;
  for (const auto* item : order) {
    if (most-- == 0) break;
    if (!text.empty()) text += ' ';
    text += item->first + ':' + std::to_string(item->second.events) + ':' +
            std::to_string(duration_cast<milliseconds>(item->second.time).count());
  }
  return text;
}

}  // namespace weldsail
