#include "core/controlparts.hpp"

#include <algorithm>

#include "core/configuration/pathduty.hpp"
#include "core/configuration/serve.hpp"
#include "core/json.hpp"
#include "core/operations/metrics.hpp"

namespace weldsail {
namespace {

StewardContext steward_context(ControlState& state, Moment now) {
  static const ConfigDocument none;
  return {state.member,
          state.formation.core,
          state.document ? *state.document : none,
          state.owners[placement_key],
          state.numbers,
          now};
}

void publish(ControlState& state, const RegisterState& owner, Moment now, Effects& effects) {
  if (owner.version == 0) return;
  wire::RegisterValue value;
  value.set_key(owner.key);
  value.set_epoch(owner.epoch);
  value.set_version(owner.version);
  value.set_value(owner.value);
  control_learn(state, value, now, effects);
  if (owner.key == config_key) news_prove_current(state.news, owner.confirmed);
  for (const auto* entry : live_members(state.member, Program::control)) {
    if (entry->node() == state.member.self.node()) continue;
    auto envelope = member_envelope(state.member, entry->node());
    serve_value(state.news, value, entry->release() >= release_with_parts, *envelope.mutable_news());
    *envelope.mutable_news()->mutable_core() = state.formation.core;
    news_write_age(state.news, 0, now, *envelope.mutable_news());
    effects.push_back(SendMessage{entry->address(), std::move(envelope)});
  }
}

void on_held(ControlState& state, RegisterState& owner, Moment now, Effects& effects) {
  duty_claim(state.member, state.owners);
  publish(state, owner, now, effects);
  if (owner.key == config_key) config_held(state.config_duty, owner);
  if (owner.key != placement_key) return;
  if (state.options.dialect != nullptr)
    placing_begin(state.placing, control_placing(state, now), effects);
  else
    steward_begin(state.steward, steward_context(state, now), effects);
}

void on_committed(ControlState& state, RegisterState& owner, Moment now, Effects& effects) {
  publish(state, owner, now, effects);
  if (owner.key == config_key) config_committed(state.config_duty, state.member, owner, effects);
  if (owner.key == core_key) control_core_done(state, true, effects);
  if (owner.key != placement_key) return;
  if (state.options.dialect != nullptr)
    placing_committed(state.placing, control_placing(state, now), effects);
  else
    steward_committed(state.steward, owner);
  if (state.drain_under_way)
    operate_answer(state.member, *state.drain_under_way, 200, R"({"outcome":"accepted"})", effects);
  state.drain_under_way.reset();
}

void on_lost(ControlState& state, const RegisterState& owner, Effects& effects) {
  duty_claim(state.member, state.owners);
  if (owner.key == config_key) config_lost(state.config_duty, state.member, effects);
  if (owner.key == core_key) control_core_done(state, false, effects);
  if (owner.key != placement_key) return;
  steward_end(state.steward, effects);
  placing_end(state.placing, effects);
  if (state.drain_under_way)
    operate_refuse(state.member, *state.drain_under_way, 504, "owner_lost", "unknown", {}, effects);
  state.drain_under_way.reset();
  for (const auto& item : state.drains)
    operate_refuse(state.member, item.asker, 503, "owner_lost", "refused", {}, effects);
  state.drains.clear();
}

void give_up(ControlState& state, RegisterState& owner, Moment now, Effects& effects) {
  register_release(owner, now, effects);
  on_lost(state, owner, effects);
}

void on_start(ControlState& state, const Started& event, Moment now, Effects& effects) {
  state.random = event.random;
  state.duty.started = now;
  acceptor_start(state.acceptor, event.records, now);
  for (auto& [key, owner] : state.owners)
    if (const auto copy = state.acceptor.copies.find(key); copy != state.acceptor.copies.end())
      owner.seen_epoch = copy->second.promised;
  vote_start(state.vote, event.records, now);
  const auto disk = formation_start(state.formation, event.records, event.random, state.options.has_disk, effects);
  member_start(state.member, event.random, disk, now);
  if (state.formation.phase == CorePhase::formed) {
    state.member.self.set_cluster(state.formation.core.cluster());
    state.member.core_tag = core_tag(state.formation.core);
    control_take_core(state, effects);
  }
  contacts_start(state.contacts, state.member, event.records);
  for (const auto& [name, bytes] : event.records) {
    wire::RegisterValue value;
    if (name.starts_with(control_learned) && value.ParseFromString(bytes)) control_learn(state, value, now, effects);
  }
  control_use_document(state);
}

void give_drain(ControlState& state, Moment now, Effects& effects) {
  auto& owner = state.owners[placement_key];
  if (state.drains.empty() || owner.phase != OwnerPhase::holding || owner.proposal) return;
  const auto job = state.drains.front();
  state.drains.pop_front();
  wire::Placement committed;
  committed.ParseFromString(owner.value);
  const auto next = steward_drain(committed, owner.epoch, job.name, job.drained);
  register_propose(owner, state.member, state.formation.core, next.SerializeAsString(), now, effects);
  state.drain_under_way = job.asker;
}

/// Says farewell once the seat is handed over, and ends a beat later.
void depart(ControlState& state, Moment now, Effects& effects) {
  if (state.member.leaving) {
    if (now >= state.leave_due) effects.push_back(Depart{});
    return;
  }
  if (!departure_due(state.departure, state.member, state.formation.core, now)) return;
  member_leave(state.member, news_known(state.news), effects);
  state.leave_due = now + member_beat(state.member);
}

/// An owner's confirmed round proves that the committed value, which it has published, was the newest.
void prove_as_owner(ControlState& state) {
  const auto& owner = state.owners[config_key];
  if (owner.phase == OwnerPhase::holding) news_prove_current(state.news, owner.confirmed);
}

void on_tick(ControlState& state, const Ticked& event, Moment now, Effects& effects) {
  state.random = event.random;
  state.tick_took = event.took;
  const auto known = news_known(state.news);
  if (now - state.member.last_tick > 2 * member_beat(state.member)) acceptor_woke(state.acceptor, now);
  member_tick(state.member, known, now, effects);
  if (state.options.has_disk) contacts_tick(state.contacts, state.member, state.formation.core, now, effects);
  formation_tick(state.formation, state.member, event.random, now, effects);
  for (auto& [key, owner] : state.owners) {
    control_signal(state, owner, register_tick(owner, state.member, state.formation.core, now, effects), now, effects);
    if (owner.phase != OwnerPhase::idle && !owner.proposal &&
        duty_excluded(state.duty, state.member, state.formation.core))
      give_up(state, owner, now, effects);
    if (owner.phase == OwnerPhase::idle &&
        duty_wanted(state.duty, state.member, state.formation.core, owner, state.acceptor, now))
      register_prepare(owner, state.member, state.formation.core, state.acceptor, now, effects);
  }
  repair_lead(state.repair, state.member, state.formation, state.owners[core_key], now, effects);
  repair_copy(state.repair, state.member, state.formation, now, effects);
  shortage_tick(state.shortage, state.member, state.formation, now, effects);
  vote_tick(state.vote, now, effects);
  prove_as_owner(state);
  currency_tick(state.currency, state.news, state.member, state.formation.core, now, effects);
  news_tick(state.news, state.member, now, effects);
  operate_tick(state.operate, state.bulk, state.member, now, effects);
  config_tick(state.config_duty, state.member, state.formation.core, state.owners[config_key], now, effects);
  give_drain(state, now, effects);
  control_give_core(state, now, effects);
  recover_tick(state.recover, control_recovery(state, now), effects);
  if (state.options.dialect != nullptr) {
    placing_tick(state.placing, control_placing(state, now), effects);
    relay_tick(state.relay, control_relay(state, now), effects);
  }
  if (state.document) steward_tick(state.steward, steward_context(state, now), effects);
  depart(state, now, effects);
}

void on_leave(ControlState& state, Moment now, Effects& effects) {
  if (state.departure.deadline) return;
  for (auto& [key, owner] : state.owners)
    if (owner.phase != OwnerPhase::idle) give_up(state, owner, now, effects);
  departure_begin(state.departure, state.member, now);
  depart(state, now, effects);
}

}  // namespace

PlacingContext control_placing(ControlState& state, Moment now) {
  return {state.member,           state.formation.core,        state.paths ? &*state.paths : nullptr,
          state.document_version, state.owners[placement_key], state.numbers,
          *state.options.dialect, state.options.limits,        now,
          state.tick_took};
}

RelayContext control_relay(ControlState& state, Moment now) {
  return {state.member, state.numbers, *state.options.dialect, state.options.limits, now};
}

void control_signal(ControlState& state, RegisterState& owner, RegisterSignal what, Moment now, Effects& effects) {
  if (what == RegisterSignal::held) on_held(state, owner, now, effects);
  if (what == RegisterSignal::committed) on_committed(state, owner, now, effects);
  if (what == RegisterSignal::lost) on_lost(state, owner, effects);
}

namespace {

void take_event(ControlState& state, const Event& event, Moment now, Effects& effects) {
  if (const auto* started = std::get_if<Started>(&event)) on_start(state, *started, now, effects);
  if (const auto* ticked = std::get_if<Ticked>(&event)) on_tick(state, *ticked, now, effects);
  if (const auto* message = std::get_if<MessageArrived>(&event))
    control_message(state, message->envelope, now, effects);
  if (const auto* request = std::get_if<RequestArrived>(&event)) {
    const Asker asker{request->request, 0, {}};
    const auto* dialect = state.options.dialect;
    if (metrics_asked(*request))
      metrics_answer(
          *request, [&] { return control_metrics_text(state, now); }, effects);
    else if (const auto call = dialect == nullptr ? std::nullopt : dialect->read_config_call(*request))
      control_operate(state, asker, path_operation(*call, *request), now, effects);
    else if (!operate_readable(*request))
      operate_refuse(state.member, asker, 400, "malformed", "refused", {}, effects);
    else if (operate_path(request->path))
      control_operate(state, asker, operate_read(*request, state.random), now, effects);
    else
      operate_refuse(state.member, asker, 404, "no_such_path", "not_run", {}, effects);
  }
  if (const auto* gone = std::get_if<RequestGone>(&event)) operate_gone(state.operate, gone->request);
  if (const auto* persisted = std::get_if<Persisted>(&event)) {
    acceptor_persisted(state.acceptor, state.member, *persisted, effects);
    vote_persisted(state.vote, state.member, *persisted, effects);
    repair_persisted(state.repair, state.member, *persisted);
    formation_persisted(state.formation, state.member, *persisted, effects);
    recover_persisted(state.recover, control_recovery(state, now), *persisted, effects);
  }
  if (std::holds_alternative<Leaving>(event)) on_leave(state, now, effects);
  if (const auto* observed = std::get_if<TransportObserved>(&event)) state.transport = observed->figures;
  steward_pipe(state.steward, event, now, effects);
  if (state.options.dialect == nullptr) return;
  placing_pipe(state.placing, control_placing(state, now), event, effects);
  relay_pipe(state.relay, control_relay(state, now), event, effects);
}

}  // namespace

Effects reduce(ControlState& state, const Event& event, Moment now) {
  Effects effects;
  take_event(state, event, now, effects);
  bulk_send(state.bulk, state.news.delivery.window, state.member, now, effects);
  return effects;
}

}  // namespace weldsail
