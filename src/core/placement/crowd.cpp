#include "core/placement/crowd.hpp"

#include <algorithm>
#include <cmath>

#include "core/placement/line.hpp"
#include "core/placement/places.hpp"

namespace weldsail {
namespace {

/// Fewest slots of a worker where the configuration doesn't say.
constexpr double least_slots = 8;
/// Running requests that take this share of a holder's slots call for another one.
constexpr double crowded_share = 0.5;
/// A unit keeps this many times the holders that its running requests call for; more may give way.
constexpr std::int64_t surplus_ratio = 2;
/// Adapters that a holder swaps within the bound, until the time of a swap has been observed.
constexpr Moment swaps_per_bound = 10;
/// Adapters that have one place in turn within the bound, as one in use keeps it for a while (adapters.cpp).
constexpr Moment turns_per_bound = 4;

std::int64_t ceiling_of(std::int64_t value, std::int64_t unit) { return (value + unit - 1) / unit; }

}  // namespace

double worker_slots(const PathService& service) { return std::max(least_slots, static_cast<double>(service.slots)); }

std::int64_t count_for_running(const UnitDemand& demand, const PathService& service) {
  const auto slots = worker_slots(service);
  return static_cast<std::int64_t>(std::ceil(static_cast<double>(demand.running) / (slots * crowded_share) - 1e-9));
}

std::int64_t count_for_adapters(const PlanInput& input, const std::string& unit, const PathService& service) {
  if (service.adapter_places == 0) return 0;
  std::int64_t in_line = 0;
  std::int64_t in_use = 0;
  for (const auto& [name, wants] : plan_wants(input, unit).adapters) {
    if (adapter_waits(wants, input))
      ++in_line;
    else if (wants.running > 0)
      ++in_use;
  }
  if (in_line == 0) return 0;
  const auto places = static_cast<std::int64_t>(service.adapter_places);
  const auto swap = input.adapter_swap > 0 ? input.adapter_swap : input.bound / swaps_per_bound;
  const auto kept = input.bound / turns_per_bound;
  const auto at_one = std::max(in_line * swap, ceiling_of(in_line, places) * kept);
  return std::min(ceiling_of(in_line + in_use, places), ceiling_of(at_one, input.bound));
}

bool unit_crowded(const HolderPlan& plan, const PlanInput& input, const std::string& unit) {
  const auto* service = unit_service(input.paths, unit);
  if (service == nullptr) return false;
  auto demand = plan_wants(input, unit).demand;
  demand.running += demand.waiting;
  const auto needed = count_for_running(demand, *service);
  return needed > 1 && needed > ready_holders(plan, input, unit);
}

std::int64_t spare_holders(const HolderPlan& plan, const PlanInput& input, const std::string& unit) {
  const auto* service = unit_service(input.paths, unit);
  const auto& demand = plan_wants(input, unit).demand;
  if (service == nullptr || demand.waiting > 0) return 0;
  const auto needed = std::max<std::int64_t>(1, count_for_running(demand, *service));
  return std::max<std::int64_t>(0, ready_holders(plan, input, unit) - surplus_ratio * needed);
}

}  // namespace weldsail
