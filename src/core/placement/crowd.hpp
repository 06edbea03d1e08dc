#pragma once
#include "core/placement/plan.hpp"

namespace weldsail {

/// Slots that a worker of the service is taken to have.
double worker_slots(const PathService& service);
/// Holders that the requests running now call for.
std::int64_t count_for_running(const UnitDemand& demand, const PathService& service);
/// Holders that let each adapter in use or in line have a place, or, where there are fewer, let the line of adapters be
/// swapped through their places within the bound.
std::int64_t count_for_adapters(const PlanInput& input, const std::string& unit, const PathService& service);
/// True when the unit's running and waiting requests call for more holders than are ready, and for more than one.
bool unit_crowded(const HolderPlan& plan, const PlanInput& input, const std::string& unit);
/// Holders that the unit may lose while its requests run: the ready ones beyond twice what those requests call for, and
/// none while others wait.
std::int64_t spare_holders(const HolderPlan& plan, const PlanInput& input, const std::string& unit);

}  // namespace weldsail
