#pragma once
#include "core/configuration/config.hpp"
#include "core/placement/scaler.hpp"
#include "core/placement/worker.hpp"

namespace weldsail {

/// What the placer knows of a unit's callers.
struct UnitDemand {
  std::uint64_t waiting = 0;
  std::uint64_t running = 0;
  Moment oldest = 0;
  Moment quiet = 0;
  double prompt_tokens = 0;
  double generation_tokens = 0;
  std::vector<std::string> adapters;
};

/// All that a fit is made from.
struct FitInput {
  const ConfigDocument* document = nullptr;
  const WorkerWatch* watch = nullptr;
  std::map<std::string, UnitDemand> demand;
  std::map<std::string, std::set<std::string>> ordered;
  Moment now = 0;
};

/// Room that is taken or promised on a worker, in megabytes; a model counts until its worker says that it's gone.
std::int64_t room_taken(const FitInput& input, const wire::WorkerRecord& record);
/// True when the operator or the worker itself has it drained.
bool worker_drained(const wire::Placement& placement, const wire::WorkerRecord& record);
/// Assigns workers to the vectors, moving as little as possible.
void placer_fit(wire::Placement& placement, const FitInput& input);
/// Brings idle units to rest where held requests lack room; true when one was.
bool placer_evict(wire::Placement& placement, const FitInput& input, Effects& effects);
/// The unit's record, made when it isn't there.
wire::UnitRecord& unit_record(wire::Placement& placement, const std::string& unit);
/// Workers of a phase that the placement gives to a unit.
std::int64_t assigned_count(const wire::Placement& placement, const std::string& unit, const std::string& phase);
/// Ready workers of each phase among those assigned to a unit.
PhaseVector ready_count(const wire::Placement& placement, const WorkerWatch& watch, const std::string& unit,
                        Moment now);
bool holds_unit(const wire::WorkerRecord& record, const std::string& unit);

}  // namespace weldsail
