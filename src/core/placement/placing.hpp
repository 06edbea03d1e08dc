#pragma once
#include "core/placement/command.hpp"
#include "core/placement/counts.hpp"
#include "core/placement/listing.hpp"
#include "core/placement/view.hpp"

namespace weldsail {

/// The duty of the placement's holder where workers do both phases; it is begun anew with each term.
struct PlacingState {
  Moment bound = 3000;
  std::uint64_t term = 0;
  ListState list;
  FleetKeeper fleet;
  wire::Placement committed;
  /// The committed placement, read.
  HolderPlan plan;
  CommandState command;
  DemandState demand;
  CountClocksByUnit clocks;
  /// When each unit was last in use, as far as data nodes told.
  std::map<std::string, Moment> last_used;
  Moment next_pass = 0;
  Moment last_pass = 0;
  Moment next_decision = 0;
  /// Something has changed that a plan is made from.
  bool unsettled = false;
  /// Something has changed that the view shows.
  bool unseen = false;
};

/// What the duty needs from the rest of the node.
struct PlacingContext {
  const MemberState& member;
  const wire::Core& core;
  /// The configuration in force, or null.
  const PathConfig* paths;
  RegisterState& owner;
  PipeNumbers& numbers;
  const Dialect& dialect;
  const Limits& limits;
  Moment now;
};

/// Begins a term on the value that was adopted.
void placing_begin(PlacingState& state, const PlacingContext& context, Effects& effects);
/// Takes a committed value of the own term.
void placing_committed(PlacingState& state, const PlacingContext& context, Effects& effects);
void placing_tick(PlacingState& state, const PlacingContext& context, Effects& effects);
void placing_pipe(PlacingState& state, const PlacingContext& context, const Event& event, Effects& effects);
/// Takes a data node's ask for the view or its report of counters and backlogs.
void placing_message(PlacingState& state, const PlacingContext& context, const wire::Envelope& envelope,
                     Effects& effects);
/// Gives the orders that the committed plan asks for, the most urgent first.
void placing_enact(PlacingState& state, const PlacingContext& context, Effects& effects);
/// What callers ask for, by unit.
std::map<std::string, UnitWants> placing_wants(const PlacingState& state, Moment now);
/// All workers as data nodes should see them; models that are to go are left out.
std::vector<wire::WorkerEntry> placing_view(PlacingState& state, const PlanInput& input);
/// Documents for operators: workers, counts with their holders, held requests.
std::string placing_workers_text(const PlacingState& state);
std::string placing_text(const PlacingState& state);
std::string placing_holds_text(const PlacingState& state, Moment now);
/// Drops all pipes when the duty is lost.
void placing_end(PlacingState& state, Effects& effects);

}  // namespace weldsail
