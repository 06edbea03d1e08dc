#include "core/placement/placing.hpp"

#include <algorithm>

namespace weldsail {
namespace {

/// Ratios to the contact bound.
constexpr Moment lists_per_ten_bounds = 33;
constexpr Moment decisions_per_bound = 75;
constexpr Moment restless_decisions_per_bound = 6;
constexpr Moment passes_per_bound = 3;
constexpr Moment urgent_passes_per_bound = 6;
constexpr Moment confirmed_part = 6;
constexpr Moment orders_due_part = 10;
constexpr Moment unserved_part = 4;
constexpr double spare_loads = 2;

bool holds(const PlacingState& state, const PlacingContext& context) {
  return state.term != 0 && context.owner.phase == OwnerPhase::holding && state.term == context.owner.epoch;
}

/// A confirmation this fresh, or no order leaves: the next holder counts on it.
bool may_order(const PlacingState& state, const PlacingContext& context) {
  return register_may_act(context.owner, context.now) && context.now >= state.command.orders_from &&
         context.now - context.owner.confirmed <= state.bound / confirmed_part;
}

PlanInput plan_input(const PlacingState& state, const PlacingContext& context,
                     const std::map<std::string, UnitWants>& wants) {
  const auto live = live_members(context.member, Program::data);
  const auto told = std::ranges::count_if(live, [&](const wire::Member* node) {
    const auto found = state.demand.backlogs.find(node->node());
    return found != state.demand.backlogs.end() && context.now - found->second.heard <= state.bound;
  });
  const bool known = told > 0 && static_cast<std::size_t>(told) * 2 >= live.size();
  const bool spare = state.command.store.ready >= spare_loads;
  return {*context.paths, state.command.books, state.committed, wants, state.bound, known, spare, context.now};
}

void propose(PlacingState& state, const HolderPlan& plan, const PlacingContext& context, Effects& effects) {
  auto next = state.committed;
  write_plan(plan, next);
  if (next.SerializeAsString() == state.committed.SerializeAsString()) return;
  next.set_decision(next.decision() + 1);
  next.set_term(state.term);
  register_propose(context.owner, context.member, context.core, next.SerializeAsString(), context.now, effects);
}

/// The next pass comes soon.
void hurry(PlacingState& state) {
  state.next_pass = std::min(state.next_pass, state.last_pass + state.bound / urgent_passes_per_bound);
}

void decide(PlacingState& state, const PlacingContext& context, Effects& effects) {
  const auto wants = placing_wants(state, context.now);
  const auto input = plan_input(state, context, wants);
  auto plan = state.plan;
  plan_align(plan, input);
  counts_settle(plan, state.clocks, state.command.aborted, input, context.limits, effects);
  if (demand_ready(state.demand, context.now)) {
    const auto pass = demand_close(state.demand, 64, {}, context.now);
    counts_pass(plan, state.clocks, pass, input, context.limits, effects);
  }
  plan_models(plan, input, effects);
  plan_adapters(plan, input);
  propose(state, plan, context, effects);
  for (const auto& [unit, want] : wants) {
    const auto* service = unit_service(*context.paths, unit);
    const auto count = state.plan.counts.find(unit);
    if (service != nullptr && count != state.plan.counts.end() &&
        count_for_running(want.demand, *service) > count->second.count())
      hurry(state);
    if (want.demand.waiting == 0 || want.demand.oldest < state.bound / unserved_part) continue;
    hurry(state);
    for (const auto& identity : planned_holders(state.plan, unit))
      if (const auto book = state.command.books.find(identity); book != state.command.books.end())
        command_probe(state.command, book->second,
                      {*context.paths, context.dialect, context.limits, context.numbers, context.now}, effects);
  }
}

void show(PlacingState& state, const PlacingContext& context, Effects& effects) {
  if (!state.unseen || !state.list.known || context.paths == nullptr) return;
  state.unseen = false;
  const std::map<std::string, UnitWants> none;
  fleet_set(state.fleet, placing_view(state, plan_input(state, context, none)), state.list.asked, context.member,
            context.now, effects);
}

void take_list(PlacingState& state, const PlacingContext& context, Effects& effects) {
  state.unsettled |= command_list(state.command, state.list.workers, state.list.asked, effects);
  state.unseen = true;
  if (context.paths == nullptr)
    fleet_set(state.fleet, state.list.workers, state.list.asked, context.member, context.now, effects);
  const auto version = state.fleet.version;
  show(state, context, effects);
  if (state.fleet.version == version) fleet_beat(state.fleet, context.member, context.now, effects);
}

}  // namespace

void placing_begin(PlacingState& state, const PlacingContext& context, Effects& effects) {
  placing_end(state, effects);
  const auto bound = state.bound;
  state = {};
  state.bound = state.fleet.bound = state.demand.bound = bound;
  state.term = context.owner.epoch;
  state.list.pace = context.limits.contact * 10 / lists_per_ten_bounds;
  fleet_begin(state.fleet, state.term);
  const bool first = context.owner.best_epoch == 0;
  const auto apart = context.limits.lease + bound / confirmed_part + 2 * context.limits.contact / orders_due_part;
  const auto from = std::max(context.now, context.owner.former_until + apart);
  command_begin(state.command, state.term, "node-" + std::to_string(context.member.self.node()),
                first ? context.now : from, context.now);
  state.next_pass = context.now;
  state.unsettled = true;
  state.committed.ParseFromString(context.owner.value);
  state.plan = read_plan(state.committed);
  note(effects, "placing.begin", {{"term", std::to_string(state.term)}});
}

void placing_committed(PlacingState& state, const PlacingContext& context, Effects& effects) {
  if (!holds(state, context)) return;
  state.committed.ParseFromString(context.owner.value);
  state.plan = read_plan(state.committed);
  state.unseen = true;
  show(state, context, effects);
}

void placing_tick(PlacingState& state, const PlacingContext& context, Effects& effects) {
  if (!holds(state, context)) return;
  list_tick(state.list, context.limits, context.dialect, context.numbers, context.now, effects);
  fleet_tick(state.fleet, context.member, context.now, effects);
  if (context.paths == nullptr || !state.list.known) return;
  store_rate(state.command.store, *context.paths, context.limits, context.now);
  if (context.now >= state.next_pass && !state.demand.open) {
    state.last_pass = context.now;
    state.next_pass = context.now + state.bound * 2 / passes_per_bound;
    demand_ask(state.demand, context.member, context.now, effects);
  }
  if (command_tick(state.command, {*context.paths, context.dialect, context.limits, context.numbers, context.now},
                   effects))
    state.unseen = true;
  state.unsettled |= demand_ready(state.demand, context.now);
  const auto pace = state.bound / (state.unsettled ? decisions_per_bound : restless_decisions_per_bound);
  if (!context.owner.proposal && context.now >= state.next_decision + pace) {
    state.next_decision = context.now;
    state.unsettled = false;
    decide(state, context, effects);
  }
  if (may_order(state, context)) placing_enact(state, context, effects);
  show(state, context, effects);
}

void placing_pipe(PlacingState& state, const PlacingContext& context, const Event& event, Effects& effects) {
  if (!holds(state, context)) return;
  if (list_pipe(state.list, context.limits, context.dialect, context.numbers, event, context.now, effects))
    take_list(state, context, effects);
  if (context.paths == nullptr) return;
  const CommandContext command{*context.paths, context.dialect, context.limits, context.numbers, context.now};
  if (!command_pipe(state.command, event, command, effects)) return;
  state.unsettled = state.unseen = true;
  if (may_order(state, context)) placing_enact(state, context, effects);
  show(state, context, effects);
}

void placing_message(PlacingState& state, const PlacingContext& context, const wire::Envelope& envelope,
                     Effects& effects) {
  if (!holds(state, context)) return;
  if (envelope.has_fleet_ask()) fleet_asked(state.fleet, envelope, context.member, context.now, effects);
  if (!envelope.has_counter_report()) return;
  demand_receive(state.demand, envelope, context.now);
  for (const auto& backlog : envelope.counter_report().backlogs()) {
    const bool used = backlog.waiting() > 0 || backlog.running() > 0;
    auto& last = state.last_used[backlog.unit()];
    last = std::max(last, used ? context.now : context.now - static_cast<Moment>(backlog.quiet_ms()));
    state.unsettled |= backlog.waiting() > 0;
  }
}

void placing_end(PlacingState& state, Effects& effects) {
  list_end(state.list, effects);
  command_end(state.command, effects);
  state.term = 0;
}

}  // namespace weldsail
