#pragma once
#include "core/placement/plan.hpp"
#include "core/placement/scaler.hpp"

namespace weldsail {

/// Clocks and history of a unit that run only while this node holds the duty.
struct CountClocks {
  std::optional<Moment> pending_since;
  std::optional<Moment> cooling_since;
  UnitHistory history;
  std::string reason;
};

/// Clocks by unit.
using CountClocksByUnit = std::map<std::string, CountClocks>;

/// Scaler values of a deployment: windows and pauses as ratios to its contact bound, targets from its routes.
ScalerOptions count_options(const Limits& limits, const PathConfig& paths, const PathService& service);
/// Ends what has been taken up, rolls growth back that wasn't, restores a count whose retirement came to nothing.
void counts_settle(HolderPlan& plan, CountClocksByUnit& clocks, std::vector<std::string>& aborted,
                   const PlanInput& input, const Limits& limits, Effects& effects);
/// One pass over what all data nodes counted: each unit's count moves toward the sum of its two demands.
void counts_pass(HolderPlan& plan, CountClocksByUnit& clocks, const DemandPass& pass, const PlanInput& input,
                 const Limits& limits, Effects& effects);
/// Workers that the two demands ask for together, before pacing.
PhaseAdvice count_advise(const UnitHistory& history, const UnitStanding& standing, const ScalerOptions& options,
                         Moment now);

}  // namespace weldsail
