#pragma once
#include "core/consensus/register.hpp"
#include "core/placement/demand.hpp"
#include "core/placement/orders.hpp"
#include "core/placement/workerlist.hpp"

namespace weldsail {

/// Clocks of a unit that run only while this node holds the duty.
struct UnitClocks {
  std::optional<Moment> pending_since;
  std::optional<Moment> cooling_since;
  std::optional<Moment> decode_grown;
  UnitHistory history;
  std::string reason;
};

/// The scaler-and-placer duty's state; it is begun anew with each term.
struct StewardState {
  Moment bound = 3000;
  std::uint64_t term = 0;
  WorkerWatch watch;
  PlatformState platform;
  DemandState demand;
  OrderState orders;
  std::map<std::string, UnitClocks> clocks;
  wire::Placement committed;
  Moment next_pass = 0;
  Moment next_decision = 0;
  Moment next_orders = 0;
};

/// What the duty needs from the rest of the node.
struct StewardContext {
  const MemberState& member;
  const wire::Core& core;
  const ConfigDocument& document;
  RegisterState& owner;
  PipeNumbers& numbers;
  Moment now;
};

/// Begins a term on the value that was adopted.
void steward_begin(StewardState& state, const StewardContext& context, Effects& effects);
/// Takes a committed value of the own term.
void steward_committed(StewardState& state, const RegisterState& owner);
void steward_tick(StewardState& state, const StewardContext& context, Effects& effects);
void steward_pipe(StewardState& state, const Event& event, Moment now, Effects& effects);
/// Drops all pipes when the duty is lost.
void steward_end(StewardState& state, Effects& effects);
/// Marks or unmarks something as drained with the next decision; the value to propose.
wire::Placement steward_drain(const wire::Placement& committed, std::uint64_t term, const std::string& name,
                              bool drained);

/// Raises and lowers flags and vectors of one unit for a pass; true when growth was rolled back.
bool steward_settle(StewardState& state, wire::UnitRecord& record, const PhaseVector& ready, bool gone,
                    const ScalerOptions& options, Moment now, Effects& effects);

}  // namespace weldsail
