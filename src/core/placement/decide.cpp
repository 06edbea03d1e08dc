#include <algorithm>
#include <tuple>

#include "core/placement/crowd.hpp"
#include "core/placement/placing.hpp"

namespace weldsail {
namespace {

/// Ratios to the contact bound.
constexpr Moment urgent_passes_per_bound = 6;
constexpr Moment unserved_part = 4;
constexpr Moment known_checks_per_bound = 40;
constexpr double spare_loads = 2;
constexpr std::uint64_t samples_most = 64;
/// Units that are given places in one turn; the rest follows with the next.
constexpr std::size_t places_a_turn = 24;

/// The draft becomes what is committed again.
void drop_draft(PlacingState& state) {
  state.draft = state.plan;
  state.draft.touched_units.clear();
  state.draft.touched_workers.clear();
  state.text.clear();
  state.align_due = true;
}

/// True when a touched unit's count is written otherwise than in the committed plan.
bool count_differs(const HolderPlan& plan, const HolderPlan& draft, const std::string& unit) {
  const auto written = [&](const HolderPlan& from) {
    const auto found = from.counts.find(unit);
    const bool kept = found != from.counts.end() && (found->second.count() > 0 || count_unsettled(found->second));
    return kept ? found->second.SerializeAsString() : std::string();
  };
  return written(plan) != written(draft);
}

bool worker_differs(const HolderPlan& plan, const HolderPlan& draft, const std::string& identity) {
  const auto before = plan.workers.find(identity);
  const auto after = draft.workers.find(identity);
  if (before == plan.workers.end() || after == draft.workers.end())
    return (before == plan.workers.end()) != (after == draft.workers.end());
  const auto parts = [](const PlannedWorker& worker) {
    return std::tie(worker.address, worker.service, worker.models, worker.adapters);
  };
  return parts(before->second) != parts(after->second);
}

/// True when the draft isn't what is committed; only what was touched is compared.
bool draft_differs(const HolderPlan& plan, const HolderPlan& draft) {
  return std::ranges::any_of(draft.touched_units, [&](const auto& unit) { return count_differs(plan, draft, unit); }) ||
         std::ranges::any_of(draft.touched_workers,
                             [&](const auto& identity) { return worker_differs(plan, draft, identity); });
}

void propose(PlacingState& state, const PlacingContext& context, Effects& effects) {
  if (state.draft.touched_units.empty() && state.draft.touched_workers.empty()) return;
  if (!draft_differs(state.plan, state.draft)) return plan_follow(state.plan, state.draft);
  wire::Placement next;
  *next.mutable_drained() = state.committed.drained();
  next.set_decision(state.committed.decision() + 1);
  next.set_term(state.term);
  state.proposed = state.text.write(state.draft, next);
  state.next = std::move(next);
  state.proposed_at = context.now;
  if (!register_propose(context.owner, context.member, context.core, state.proposed, context.now, effects))
    drop_draft(state);
}

/// The next pass comes soon.
void hurry(PlacingState& state) {
  state.next_pass = std::min(state.next_pass, state.last_pass + state.bound / urgent_passes_per_bound);
}

/// Calls for a pass where holders are crowded, and for reports of those that leave requests waiting.
void look_after(PlacingState& state, const std::string& unit, const PlacingContext& context, Effects& effects) {
  const auto& want = state.wants.units.at(unit);
  const auto* service = unit_service(*context.paths, unit);
  const auto count = state.plan.counts.find(unit);
  if (service != nullptr && count != state.plan.counts.end() &&
      count_for_running(want.demand, *service) > count->second.count())
    hurry(state);
  if (want.demand.waiting == 0 || wants_oldest(want, context.now) < state.bound / unserved_part) return;
  hurry(state);
  const CommandContext command{*context.paths, context.dialect, context.limits, context.numbers, context.now};
  for (const auto& identity : planned_holders(state.plan, unit))
    if (const auto book = state.command.books.find(identity); book != state.command.books.end())
      command_probe(state.command, book->second, command, effects);
}

/// True when most data nodes have told what their callers ask for. It is asked far more often than it changes.
bool demand_known(PlacingState& state, const PlacingContext& context) {
  if (context.now < state.next_known) return state.demand_known;
  state.next_known = context.now + state.bound / known_checks_per_bound;
  const auto live = live_members(context.member, Program::data);
  const auto told = std::ranges::count_if(
      live, [&](const wire::Member* node) { return wants_heard(state.wants, node->node(), context.now); });
  state.demand_known = told > 0 && static_cast<std::size_t>(told) * 2 >= live.size();
  return state.demand_known;
}

}  // namespace

PlanInput placing_input(PlacingState& state, const PlacingContext& context) {
  const bool known = demand_known(state, context);
  const bool spare = state.command.store.ready >= spare_loads && context.now >= state.next_fill;
  PlanInput input{*context.paths, state.command.books, state.committed, state.wants.units, state.bound, known,
                  spare,          context.now};
  input.active = &state.wants.active;
  input.unserved = &state.wants.unserved;
  input.asked_adapters = &state.wants.asked_adapters;
  input.open_work = &state.open_work;
  input.refused_units = &state.command.refused_units;
  input.work = &state.work;
  input.places_most = places_a_turn;
  input.adapter_swap = command_adapter_swap(state.command);
  return input;
}

void placing_decide(PlacingState& state, const PlacingContext& context, Effects& effects) {
  ++state.work.decisions;
  const auto input = placing_input(state, context);
  auto& draft = state.draft;
  if (state.align_due) {
    plan_align(draft, input);
    state.align_due = false;
    state.next_fill = context.now;
  }
  counts_settle(draft, state.clocks, state.command.aborted, input, context.limits, effects);
  if (demand_ready(state.demand, context.now)) {
    const auto pass = demand_close(state.demand, samples_most, {}, context.now);
    counts_pass(draft, state.clocks, pass, input, context.limits, effects);
  }
  plan_refused(draft, input);
  plan_models(draft, input, effects);
  plan_adapters(draft, input);
  const bool settled = draft.touched_units.empty() && draft.touched_workers.empty();
  // Without a change there is no more free room than now.
  if (input.store_spare && settled) state.next_fill = context.now + state.bound;
  propose(state, context, effects);
  for (const auto& unit : state.wants.active) look_after(state, unit, context, effects);
}

}  // namespace weldsail
