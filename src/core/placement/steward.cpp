#include "core/placement/decision.hpp"

#include <algorithm>

namespace weldsail {
namespace {

constexpr Moment decisions_per_bound = 6;
constexpr Moment orders_per_bound = 30;

void propose(StewardState& state, wire::Placement next, const StewardContext& context, Effects& effects) {
  next.set_decision(state.committed.decision());
  next.set_term(state.committed.term());
  if (next.SerializeAsString() == state.committed.SerializeAsString()) return;
  next.set_decision(state.committed.decision() + 1);
  next.set_term(state.term);
  std::erase_if(state.orders.announced, [&](const std::string& worker) {
    return std::ranges::none_of(next.pulls(), [&](const wire::Pull& pull) { return pull.worker() == worker; });
  });
  register_propose(context.owner, context.member, context.core, next.SerializeAsString(), context.now, effects);
}

std::map<std::string, std::string> phases_by_worker(const wire::Placement& placement) {
  std::map<std::string, std::string> phases;
  for (const auto& record : placement.workers()) phases[record.address()] = record.phase();
  return phases;
}

void decide(StewardState& state, const StewardContext& context, Effects& effects) {
  if (context.owner.phase != OwnerPhase::holding || context.owner.proposal) return;
  std::optional<DemandPass> pass;
  if (demand_ready(state.demand, context.now))
    pass = demand_close(state.demand, static_cast<std::uint64_t>(context.document.scaler.sample_limit),
                        phases_by_worker(state.committed), context.now);
  auto next = state.committed;
  align_units(next, config_units(context.document));
  align_workers(next, state);
  const auto input = fit_input(state, context);
  decide_units(state, next, input, pass ? &*pass : nullptr, context, effects);
  placer_fit(next, input);
  if (placer_evict(next, input, effects)) placer_fit(next, input);
  orders_announce(state.orders, next, input);
  propose(state, std::move(next), context, effects);
}

}  // namespace

void steward_begin(StewardState& state, const StewardContext& context, Effects& effects) {
  steward_end(state, effects);
  StewardState fresh;
  fresh.bound = state.bound;
  fresh.term = context.owner.epoch;
  fresh.watch.bound = fresh.demand.bound = fresh.orders.bound = state.bound;
  fresh.platform.address = state.platform.address;
  fresh.platform.pace = state.platform.pace;
  fresh.platform.next_ask = context.now + state.platform.pace * (context.owner.version > 0 ? 1 : 0);
  state = std::move(fresh);
  state.next_pass = context.now;
  steward_committed(state, context.owner);
  orders_begin(state.orders, state.term, state.committed, context.now);
  std::map<std::string, std::string> services;
  for (const auto& record : state.committed.workers()) services[record.address()] = record.service();
  watch_set(state.watch, services, effects);
  for (const auto& record : state.committed.units()) {
    auto& clocks = state.clocks[record.unit()];
    if (record.pending()) clocks.pending_since = context.now;
    if (record.cooling()) clocks.cooling_since = context.now;
    if (record.grown()) clocks.decode_grown = context.now;
  }
  note(effects, "steward.begin", {{"term", std::to_string(state.term)}});
}

void steward_committed(StewardState& state, const RegisterState& owner) {
  state.committed.ParseFromString(owner.value);
  state.orders.announced.clear();
  for (const auto& pull : state.committed.pulls()) state.orders.announced.insert(pull.worker());
}

void steward_tick(StewardState& state, const StewardContext& context, Effects& effects) {
  if (context.owner.phase != OwnerPhase::holding || state.term != context.owner.epoch) return;
  watch_tick(state.watch, context.numbers, context.now, effects);
  if (!register_may_act(context.owner, context.now)) return;
  platform_tick(state.platform, context.numbers, context.now, effects);
  if (context.now >= state.next_pass && !state.demand.open) {
    state.next_pass = context.now + static_cast<Moment>(context.document.scaler.interval_s * 1000);
    demand_ask(state.demand, context.member, {}, context.now, effects);
  }
  if (context.now >= state.next_decision) {
    state.next_decision = context.now + state.bound / decisions_per_bound;
    decide(state, context, effects);
  }
  if (context.now < state.next_orders) return;
  state.next_orders = context.now + state.bound / orders_per_bound;
  const auto input = fit_input(state, context);
  if (orders_tick(state.orders, state.committed, input, context.numbers, effects)) state.next_decision = context.now;
}

void steward_pipe(StewardState& state, const Event& event, Moment now, Effects& effects) {
  if (platform_pipe(state.platform, event, now, effects)) watch_set(state.watch, state.platform.services, effects);
  if (const auto heard = watch_pipe(state.watch, event, effects))
    orders_heard(state.orders, state.watch.views.at(*heard));
  if (const auto ended = orders_pipe(state.orders, event, now, effects))
    if (const auto view = state.watch.views.find(*ended); view != state.watch.views.end()) view->second.hurried = true;
}

void steward_end(StewardState& state, Effects& effects) {
  for (const auto& [pipe, address] : state.watch.pipes) effects.push_back(CancelPipe{pipe});
  if (state.platform.pipe != 0) effects.push_back(CancelPipe{state.platform.pipe});
  state.watch.pipes.clear();
  state.watch.views.clear();
  state.platform.pipe = 0;
  state.term = 0;
}

wire::Placement steward_drain(const wire::Placement& committed, std::uint64_t term, const std::string& name,
                              bool drained) {
  auto next = committed;
  auto* names = next.mutable_drained();
  names->erase(std::remove(names->begin(), names->end(), name), names->end());
  if (drained) next.add_drained(name);
  next.set_decision(next.decision() + 1);
  next.set_term(term);
  return next;
}

}  // namespace weldsail
