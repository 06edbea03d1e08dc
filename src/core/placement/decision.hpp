#pragma once
#include "core/placement/steward.hpp"

namespace weldsail {

/// What a fit is made from, at this moment.
FitInput fit_input(const StewardState& state, const StewardContext& context);
/// Brings the placement's units in line with the configuration.
void align_units(wire::Placement& placement, const std::set<std::string>& units);
/// Brings the placement's workers in line with the platform's list and their status.
void align_workers(wire::Placement& placement, const StewardState& state);
/// Settles every unit and, in a pass or for cold held work, moves its vector.
void decide_units(StewardState& state, wire::Placement& next, const FitInput& input, const DemandPass* pass,
                  const StewardContext& context, Effects& effects);

}  // namespace weldsail
