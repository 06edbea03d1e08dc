#pragma once
#include "core/placement/plan.hpp"

namespace weldsail {

/// Wants of a unit; one of which nothing is known counts as never used.
const UnitWants& plan_wants(const PlanInput& input, const std::string& unit);
/// True when requests wait for the unit, or were refused a moment ago so that their callers may be back at any moment.
bool wants_wait(const UnitWants& wants, const PlanInput& input);
bool unit_waits(const PlanInput& input, const std::string& unit);
/// Milliseconds for which those that wait have been owed the unit, over all their tries; 0 where none waits.
Moment wants_age(const UnitWants& wants, const PlanInput& input);
/// The same for an adapter.
bool adapter_waits(const AdapterWants& wants, const PlanInput& input);
Moment adapter_age(const AdapterWants& wants, const PlanInput& input);

}  // namespace weldsail
