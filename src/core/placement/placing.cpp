#include "core/placement/placing.hpp"

#include <algorithm>

namespace weldsail {
namespace {

/// Ratios to the contact bound.
constexpr Moment lists_per_ten_bounds = 33;
constexpr Moment list_retries_per_pace = 4;
constexpr Moment decisions_per_bound = 75;
constexpr Moment waiting_decisions_per_bound = 30;
constexpr Moment restless_decisions_per_bound = 6;
/// Time between decisions is at least so many times as long as the last one took: the thread has other work, too.
constexpr Moment pauses_per_decision = 4;
constexpr Moment shows_per_bound = 60;
constexpr Moment passes_per_bound = 3;
constexpr Moment confirmed_part = 6;
constexpr Moment orders_due_part = 10;

bool holds(const PlacingState& state, const PlacingContext& context) {
  return state.term != 0 && context.owner.phase == OwnerPhase::holding && state.term == context.owner.epoch;
}

/// A confirmation this fresh, or no order leaves: the next holder counts on it.
bool may_order(const PlacingState& state, const PlacingContext& context) {
  return register_may_act(context.owner, context.now) && context.now >= state.command.orders_from &&
         context.now - context.owner.confirmed <= state.bound / confirmed_part;
}

/// Reads the committed value whole.
void adopt_value(PlacingState& state, const PlacingContext& context) {
  state.committed.ParseFromString(context.owner.value);
  state.draft = state.plan = read_plan(state.committed);
  state.text.clear();
  // The plans have all that it says of counts and workers.
  state.committed.clear_counts();
  state.committed.clear_plans();
  state.align_due = true;
  placing_touch_all(state);
}

/// Time between decisions: shortest when something has changed, longer while only time passes.
Moment decision_pace(const PlacingState& state) {
  if (state.unsettled) return state.bound / decisions_per_bound;
  return state.bound / (state.wants.waiting > 0 ? waiting_decisions_per_bound : restless_decisions_per_bound);
}

void take_list(PlacingState& state, const PlacingContext& context, Effects& effects) {
  const auto change = command_list(state.command, state.list.workers, state.list.asked, effects);
  state.unsettled |= change.workers;
  state.align_due |= change.workers;
  state.open_work.insert(change.holdings.begin(), change.holdings.end());
  for (const auto& [identity, book] : state.command.books) state.unseen.insert(identity);
  for (const auto& known : state.fleet.workers) state.unseen.insert(known.identity());
  if (context.paths == nullptr)
    fleet_set(state.fleet, state.list.workers, state.list.asked, context.member, context.now, effects);
  const auto version = state.fleet.version;
  const auto entries = state.work.entries;
  placing_show(state, context, effects);
  state.work.listed += state.work.entries - entries;
  state.work.entries = entries;
  if (state.fleet.version == version) fleet_beat(state.fleet, context.member, context.now, effects);
}

void take_paths(PlacingState& state, const PlacingContext& context) {
  if (state.paths_version == context.paths_version) return;
  state.paths_version = context.paths_version;
  state.align_due = state.unsettled = true;
  placing_touch_all(state);
}

}  // namespace

void placing_touch(PlacingState& state, const std::string& identity) {
  state.open_work.insert(identity);
  state.unseen.insert(identity);
}

void placing_touch_all(PlacingState& state) {
  for (const auto& [identity, book] : state.command.books) placing_touch(state, identity);
}

void placing_show(PlacingState& state, const PlacingContext& context, Effects& effects) {
  if (state.unseen.empty() || !state.list.known || context.paths == nullptr) return;
  state.next_show = context.now + state.bound / shows_per_bound;
  const auto input = placing_input(state, context);
  std::vector<wire::WorkerEntry> entries;
  std::vector<std::string> gone;
  for (const auto& identity : state.unseen) {
    ++state.work.entries;
    const auto book = state.command.books.find(identity);
    if (book == state.command.books.end())
      gone.push_back(identity);
    else
      entries.push_back(placing_entry(state, book->second, input));
  }
  state.unseen.clear();
  fleet_change(state.fleet, std::move(entries), gone, state.list.asked, context.member, context.now, effects);
}

void placing_begin(PlacingState& state, const PlacingContext& context, Effects& effects) {
  placing_end(state, effects);
  const auto bound = state.bound;
  state = {};
  state.bound = state.fleet.bound = state.demand.bound = state.wants.bound = bound;
  state.term = context.owner.epoch;
  state.list.pace = context.limits.contact * 10 / lists_per_ten_bounds;
  state.list.retry = state.list.pace / list_retries_per_pace;
  fleet_begin(state.fleet, state.term);
  const bool first = context.owner.best_epoch == 0;
  const auto apart = context.limits.lease + bound / confirmed_part + 2 * context.limits.contact / orders_due_part;
  const auto from = std::max(context.now, context.owner.former_until + apart);
  command_begin(state.command, state.term, "node-" + std::to_string(context.member.self.node()),
                first ? context.now : from, context.now);
  state.next_pass = context.now;
  state.unsettled = true;
  adopt_value(state, context);
  note(effects, "placing.begin", {{"term", std::to_string(state.term)}});
}

void placing_committed(PlacingState& state, const PlacingContext& context, Effects& effects) {
  if (!holds(state, context)) return;
  const bool own = !state.proposed.empty() && context.owner.value == state.proposed;
  state.proposed.clear();
  if (!own) return adopt_value(state, context);
  state.commits.add(context.now - state.proposed_at);
  state.committed = std::move(state.next);
  for (const auto& identity : state.draft.touched_workers) placing_touch(state, identity);
  plan_follow(state.plan, state.draft);
  state.next_fill = context.now;
  if (context.now >= state.next_show) placing_show(state, context, effects);
}

void placing_tick(PlacingState& state, const PlacingContext& context, Effects& effects) {
  if (!holds(state, context)) return;
  list_tick(state.list, context.limits, context.dialect, context.numbers, context.now, effects);
  fleet_tick(state.fleet, context.member, context.now, effects);
  if (context.paths == nullptr || !state.list.known) return;
  take_paths(state, context);
  wants_expire(state.wants, context.now);
  store_rate(state.command.store, *context.paths, context.limits, context.now);
  state.command.store.wanted = state.overdue.models > 0;
  overdue_check(state.overdue, state.wants, *context.paths, state.command.store.loads_per_s, context.now, effects);
  if (context.now >= state.next_pass && !state.demand.open) {
    state.last_pass = context.now;
    state.next_pass = context.now + state.bound * 2 / passes_per_bound;
    demand_ask(
        state.demand, context.member, [&](std::uint64_t node) { return wants_known(state.wants, node); }, context.now,
        effects);
  }
  const CommandContext command{*context.paths, context.dialect, context.limits, context.numbers, context.now};
  for (const auto& identity : command_tick(state.command, command, effects)) placing_touch(state, identity);
  state.unsettled |= demand_ready(state.demand, context.now);
  if (std::exchange(state.decided, false)) state.decision_took = context.tick_took;
  const auto pause = std::max(decision_pace(state), pauses_per_decision * state.decision_took);
  if (!context.owner.proposal && context.now >= state.next_decision + pause) {
    state.next_decision = context.now;
    state.decided = true;
    state.unsettled = false;
    placing_decide(state, context, effects);
  }
  if (may_order(state, context)) placing_enact(state, context, effects);
  if (context.now >= state.next_show) placing_show(state, context, effects);
}

void placing_pipe(PlacingState& state, const PlacingContext& context, const Event& event, Effects& effects) {
  if (!holds(state, context)) return;
  if (list_pipe(state.list, context.limits, context.dialect, context.numbers, event, context.now, effects))
    take_list(state, context, effects);
  if (context.paths == nullptr) return;
  const CommandContext command{*context.paths, context.dialect, context.limits, context.numbers, context.now};
  // What follows from it is done at the next tick, for all workers that have answered by then.
  const auto identity = command_pipe(state.command, event, command, effects);
  if (!identity) return;
  placing_touch(state, *identity);
  state.unsettled = true;
}

void placing_message(PlacingState& state, const PlacingContext& context, const wire::Envelope& envelope,
                     Effects& effects) {
  if (!holds(state, context)) return;
  if (envelope.has_fleet_ask()) fleet_asked(state.fleet, envelope, context.member, context.now, effects);
  if (!envelope.has_counter_report()) return;
  demand_take_counters(state.demand, envelope);
  state.unsettled |= wants_take(state.wants, envelope.from(), envelope.counter_report(), context.now);
}

void placing_end(PlacingState& state, Effects& effects) {
  list_end(state.list, effects);
  command_end(state.command, effects);
  state.term = 0;
}

}  // namespace weldsail
