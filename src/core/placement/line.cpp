#include "core/placement/line.hpp"

#include <algorithm>
#include <limits>

namespace weldsail {
namespace {

constexpr Moment never_used = std::numeric_limits<Moment>::max() / 8;
/// A refused caller is back within this part of the bound, as it is told (`path_refuse`).
constexpr Moment back_part = 2;
/// What has been owed for so many bounds is kept in line for a whole bound after each ask.
constexpr Moment long_owed_bounds = 2;

/// True while a caller that was refused is expected back.
bool expected_back(const AskRecord& asks, const PlanInput& input) {
  if (!asks_owed(asks, input.bound, input.now)) return false;
  const bool long_owed = input.now - *asks.unserved_since >= long_owed_bounds * input.bound;
  return input.now - *asks.last_asked <= (long_owed ? input.bound : input.bound / back_part);
}

}  // namespace

const UnitWants& plan_wants(const PlanInput& input, const std::string& unit) {
  static const auto none = [] {
    UnitWants wants;
    wants.demand.quiet = never_used;
    return wants;
  }();
  const auto found = input.wants.find(unit);
  return found == input.wants.end() ? none : found->second;
}

bool wants_wait(const UnitWants& wants, const PlanInput& input) {
  return wants.demand.waiting > 0 || (wants.demand.running == 0 && expected_back(wants.asks, input));
}

bool unit_waits(const PlanInput& input, const std::string& unit) { return wants_wait(plan_wants(input, unit), input); }

Moment wants_age(const UnitWants& wants, const PlanInput& input) {
  if (!wants_wait(wants, input)) return 0;
  const auto held = wants.demand.waiting > 0 ? wants_oldest(wants, input.now) : 0;
  return std::max(held, asks_age(wants.asks, input.bound, input.now));
}

bool adapter_waits(const AdapterWants& wants, const PlanInput& input) {
  return wants.waiting > 0 || (wants.running == 0 && expected_back(wants.asks, input));
}

Moment adapter_age(const AdapterWants& wants, const PlanInput& input) {
  return adapter_waits(wants, input) ? asks_age(wants.asks, input.bound, input.now) : 0;
}

}  // namespace weldsail
