#pragma once
#include "core/eventqueue.hpp"
#include "core/placement/command.hpp"
#include "core/placement/counts.hpp"
#include "core/placement/listing.hpp"
#include "core/placement/overdue.hpp"
#include "core/placement/plantext.hpp"
#include "core/placement/view.hpp"
#include "core/placement/wants.hpp"

namespace weldsail {

/// The duty of the placement's holder where workers do both phases; it is begun anew with each term.
struct PlacingState {
  Moment bound = 3000;
  std::uint64_t term = 0;
  ListState list;
  FleetKeeper fleet;
  /// The committed placement without counts and workers, which `plan` has.
  wire::Placement committed;
  /// The committed placement, read; orders and the view follow from it alone.
  HolderPlan plan;
  /// The same with what has been decided since, which is proposed as a whole.
  HolderPlan draft;
  PlanText text;
  /// The proposal under way, as `committed`, and all its bytes.
  wire::Placement next;
  std::string proposed;
  CommandState command;
  DemandState demand;
  CountClocksByUnit clocks;
  WantsIndex wants;
  OverdueState overdue;
  /// When the proposal under way was made, and how long those that were committed took.
  Moment proposed_at = 0;
  WaitHistogram commits;
  Moment next_pass = 0;
  Moment last_pass = 0;
  Moment next_decision = 0;
  /// The last tick decided; how long its step took is what the next decision waits for.
  bool decided = false;
  Moment decision_took = 0;
  Moment next_show = 0;
  Moment next_fill = 0;
  /// Something has changed that a plan is made from.
  bool unsettled = false;
  /// Workers, the configuration or operators' drains have changed since the draft was brought in line with them.
  bool align_due = true;
  std::uint64_t paths_version = 0;
  /// Workers that may hold something else than the committed plan says.
  std::set<std::string> open_work;
  /// Workers of which the view may show something else than is known.
  std::set<std::string> unseen;
  /// Whose turn it is at the store: loads of crowded units, or all others.
  bool crowded_loads_next = false;
  /// Most data nodes have told what their callers ask for; when that is looked at next.
  bool demand_known = false;
  Moment next_known = 0;
  PlanWork work;
};

/// What the duty needs from the rest of the node.
struct PlacingContext {
  const MemberState& member;
  const wire::Core& core;
  /// The configuration in force, or null.
  const PathConfig* paths;
  /// Version of that configuration.
  std::uint64_t paths_version;
  RegisterState& owner;
  PipeNumbers& numbers;
  const Dialect& dialect;
  const Limits& limits;
  Moment now;
  /// Milliseconds that the process's last tick took.
  Moment tick_took = 0;
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
/// All that a plan is made from, as it is now.
PlanInput placing_input(PlacingState& state, const PlacingContext& context);
/// Changes the draft by what has changed around it, and proposes it.
void placing_decide(PlacingState& state, const PlacingContext& context, Effects& effects);
/// A worker as data nodes should see it; models that are to go are left out.
wire::WorkerEntry placing_entry(const PlacingState& state, WorkerBook& book, const PlanInput& input);
/// Tells data nodes of the workers whose entries have changed.
void placing_show(PlacingState& state, const PlacingContext& context, Effects& effects);
/// Every worker may hold or show something else than before.
void placing_touch_all(PlacingState& state);
/// The same for one worker.
void placing_touch(PlacingState& state, const std::string& identity);
/// Documents for operators: workers, counts with their holders, held requests.
std::string placing_workers_text(const PlacingState& state);
std::string placing_text(const PlacingState& state);
std::string placing_holds_text(const PlacingState& state, Moment now);
/// Drops all pipes when the duty is lost.
void placing_end(PlacingState& state, Effects& effects);

}  // namespace weldsail
