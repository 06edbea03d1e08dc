#include "core/control.hpp"

#include <algorithm>

#include "core/json.hpp"

namespace weldsail {
namespace {

constexpr std::uint64_t learned_tokens = 3ULL << 40U;
const std::string learned_prefix = "learned/";

StewardContext steward_context(ControlState& state, Moment now) {
  static const ConfigDocument none;
  return {state.member, state.formation.core, state.document ? *state.document : none, state.owners[placement_key],
          state.numbers, now};
}

void use_document(ControlState& state) {
  const auto found = state.news.values.find(config_key);
  if (found == state.news.values.end() || found->second.version() == state.document_version) return;
  wire::ConfigValue value;
  if (!value.ParseFromString(found->second.value())) return;
  auto read = read_config(value.document());
  if (!read.faults.empty()) return;
  state.document = std::move(read.document);
  state.document_version = found->second.version();
}

void learn(ControlState& state, const wire::RegisterValue& value, Effects& effects) {
  if (!news_learn(state.news, state.member, state.formation.core, value, effects)) return;
  note(effects, "news.learned", {{"key", value.key()}, {"version", std::to_string(value.version())}});
  if (state.options.has_disk)
    effects.push_back(Persist{learned_tokens, {{learned_prefix + value.key(), value.SerializeAsString()}}});
  use_document(state);
}

void publish(ControlState& state, const RegisterState& owner, Effects& effects) {
  if (owner.version == 0) return;
  wire::RegisterValue value;
  value.set_key(owner.key);
  value.set_epoch(owner.epoch);
  value.set_version(owner.version);
  value.set_value(owner.value);
  learn(state, value, effects);
  for (const auto* entry : live_members(state.member, Program::control)) {
    if (entry->node() == state.member.self.node()) continue;
    auto envelope = member_envelope(state.member, entry->node());
    *envelope.mutable_news()->add_values() = value;
    *envelope.mutable_news()->mutable_core() = state.formation.core;
    effects.push_back(SendMessage{entry->address(), std::move(envelope)});
  }
}

void on_held(ControlState& state, RegisterState& owner, Moment now, Effects& effects) {
  duty_claim(state.member, state.owners);
  publish(state, owner, effects);
  if (owner.key == config_key) config_held(state.config_duty, owner);
  if (owner.key == placement_key) steward_begin(state.steward, steward_context(state, now), effects);
}

void on_committed(ControlState& state, RegisterState& owner, Effects& effects) {
  publish(state, owner, effects);
  if (owner.key == config_key) config_committed(state.config_duty, state.member, owner, effects);
  if (owner.key != placement_key) return;
  steward_committed(state.steward, owner);
  if (state.drain_under_way) operate_answer(state.member, *state.drain_under_way, 200, R"({"outcome":"accepted"})", effects);
  state.drain_under_way.reset();
}

void on_lost(ControlState& state, const RegisterState& owner, Effects& effects) {
  duty_claim(state.member, state.owners);
  if (owner.key == config_key) config_lost(state.config_duty, state.member, effects);
  if (owner.key != placement_key) return;
  steward_end(state.steward, effects);
  if (state.drain_under_way) operate_refuse(state.member, *state.drain_under_way, 504, "owner_lost", "unknown", {}, effects);
  state.drain_under_way.reset();
  for (const auto& item : state.drains) operate_refuse(state.member, item.first, 503, "owner_lost", "refused", {}, effects);
  state.drains.clear();
}

void signal(ControlState& state, RegisterState& owner, RegisterSignal what, Moment now, Effects& effects) {
  if (what == RegisterSignal::held) on_held(state, owner, now, effects);
  if (what == RegisterSignal::committed) on_committed(state, owner, effects);
  if (what == RegisterSignal::lost) on_lost(state, owner, effects);
}

void operate(ControlState& state, const Asker& asker, const wire::Operate& operation, Moment now, Effects& effects) {
  if (operate_local(state.member, operation, control_status_text(state, now), asker, effects)) return;
  const auto key = operate_key(operation.path());
  if (!key) {
    operate_refuse(state.member, asker, 404, "no_such_path", "refused", {}, effects);
    return;
  }
  if (state.owners[*key].phase != OwnerPhase::holding) {
    if (asker.node == 0)
      operate_forward(state.operate, state.member, operation, *key, asker.request, now, effects);
    else
      operate_refuse(state.member, asker, 503, "not_owner", "refused", operation.change(), effects);
    return;
  }
  if (*key == config_key)
    config_take(state.config_duty, {asker, operation, now});
  else
    control_operate_placement(state, asker, operation, now, effects);
}

void on_start(ControlState& state, const Started& event, Moment now, Effects& effects) {
  state.random = event.random;
  acceptor_start(state.acceptor, event.records);
  vote_start(state.vote, event.records, now);
  const auto disk = formation_start(state.formation, event.records, event.random, state.options.has_disk, effects);
  member_start(state.member, event.random, disk, now);
  if (state.formation.phase == CorePhase::formed) state.member.self.set_cluster(state.formation.core.cluster());
  for (const auto& [name, bytes] : event.records) {
    wire::RegisterValue value;
    if (name.starts_with(learned_prefix) && value.ParseFromString(bytes))
      news_learn(state.news, state.member, state.formation.core, value, effects);
  }
  use_document(state);
}

void on_message(ControlState& state, const wire::Envelope& envelope, Moment now, Effects& effects) {
  const auto own = state.member.self.cluster();
  if (own != 0 && envelope.cluster() != 0 && own != envelope.cluster()) return;
  if (envelope.to() != 0 && envelope.to() != state.member.self.node()) return;
  acceptor_receive(state.acceptor, state.member, envelope, effects);
  if (envelope.has_claim() && state.options.has_disk)
    vote_receive(state.vote, state.member, envelope, now, effects);
  if (envelope.has_prepare() && envelope.from() != state.member.self.node())
    duty_tried(state.duty, envelope.prepare().key(), now);
  if (envelope.has_ping()) {
    const auto known = news_known(state.news);
    member_receive(state.member, envelope, known, now, effects);
    news_heard(state.news, state.member, envelope, effects);
  }
  if (envelope.has_form()) formation_receive(state.formation, state.member, envelope, effects);
  if (envelope.has_news_ask()) news_asked(state.news, state.member, state.formation.core, envelope, effects);
  if (envelope.has_news()) {
    state.news.asked.erase(envelope.from());
    formation_learn(state.formation, state.member, envelope.news().core(), effects);
    for (const auto& value : envelope.news().values()) learn(state, value, effects);
  }
  if (envelope.has_operate())
    operate(state, {envelope.operate().request(), envelope.from(), envelope.address()}, envelope.operate(), now, effects);
  if (envelope.has_operated()) operate_answered(state.operate, envelope, effects);
  if (envelope.has_counter_report() && state.steward.term != 0) {
    demand_receive(state.steward.demand, envelope, now);
    for (const auto& backlog : envelope.counter_report().backlogs())
      if (backlog.waiting() > 0) state.steward.next_decision = std::min(state.steward.next_decision, now);
  }
  const auto key = envelope.has_promise()    ? envelope.promise().key()
                   : envelope.has_accepted() ? envelope.accepted().key()
                   : envelope.has_checked()  ? envelope.checked().key()
                                             : std::string();
  const auto owner = state.owners.find(key);
  if (owner == state.owners.end()) return;
  signal(state, owner->second,
         register_receive(owner->second, state.member, state.formation.core, envelope, now, effects), now, effects);
}

void give_drain(ControlState& state, Moment now, Effects& effects) {
  auto& owner = state.owners[placement_key];
  if (state.drains.empty() || owner.phase != OwnerPhase::holding || owner.proposal) return;
  const auto [asker, wanted] = state.drains.front();
  state.drains.pop_front();
  const auto next = steward_drain(state.steward, wanted.first, wanted.second);
  register_propose(owner, state.member, state.formation.core, next.SerializeAsString(), now, effects);
  state.drain_under_way = asker;
}

void on_tick(ControlState& state, const Ticked& event, Moment now, Effects& effects) {
  state.random = event.random;
  const auto known = news_known(state.news);
  member_tick(state.member, known, now, effects);
  formation_tick(state.formation, state.member, event.random, now, effects);
  for (auto& [key, owner] : state.owners) {
    signal(state, owner, register_tick(owner, state.member, state.formation.core, now, effects), now, effects);
    if (owner.phase == OwnerPhase::idle &&
        duty_wanted(state.duty, state.member, state.formation.core, owner, now))
      register_prepare(owner, state.member, state.formation.core, now, effects);
  }
  vote_tick(state.vote, now, effects);
  news_tick(state.news, state.member, now, effects);
  operate_tick(state.operate, state.member, now, effects);
  config_tick(state.config_duty, state.member, state.formation.core, state.owners[config_key], now, effects);
  give_drain(state, now, effects);
  if (state.document) steward_tick(state.steward, steward_context(state, now), effects);
  if (state.leave_due != 0 && now >= state.leave_due) effects.push_back(Depart{});
}

void on_leave(ControlState& state, Moment now, Effects& effects) {
  if (state.member.leaving) return;
  for (auto& [key, owner] : state.owners) {
    if (owner.phase == OwnerPhase::idle) continue;
    register_release(owner, now, effects);
    on_lost(state, owner, effects);
  }
  member_leave(state.member, news_known(state.news), effects);
  state.leave_due = now + member_beat(state.member);
}

}  // namespace

ControlState make_control(const ControlOptions& options) {
  ControlState state;
  state.options = options;
  state.member.options = options.member;
  state.member.options.program = Program::control;
  const auto bound = options.member.bound;
  state.formation.core_size = options.core_size;
  state.duty.bound = state.vote.bound = state.news.bound = state.operate.bound = state.steward.bound = bound;
  state.steward.platform.address = options.platform;
  state.steward.platform.pace = options.platform_pace;
  for (const auto* key : {config_key, placement_key}) {
    state.owners[key].key = key;
    state.owners[key].bound = bound;
  }
  return state;
}

Effects reduce(ControlState& state, const Event& event, Moment now) {
  Effects effects;
  if (const auto* started = std::get_if<Started>(&event)) on_start(state, *started, now, effects);
  if (const auto* ticked = std::get_if<Ticked>(&event)) on_tick(state, *ticked, now, effects);
  if (const auto* message = std::get_if<MessageArrived>(&event)) on_message(state, message->envelope, now, effects);
  if (const auto* request = std::get_if<RequestArrived>(&event)) {
    const Asker asker{request->request, 0, {}};
    if (operate_path(request->path))
      operate(state, asker, operate_read(*request, state.random), now, effects);
    else
      operate_refuse(state.member, asker, 404, "no_such_path", "not_run", {}, effects);
  }
  if (const auto* persisted = std::get_if<Persisted>(&event)) {
    acceptor_persisted(state.acceptor, state.member, *persisted, effects);
    vote_persisted(state.vote, state.member, *persisted, effects);
    formation_persisted(state.formation, state.member, *persisted, effects);
  }
  if (std::holds_alternative<Leaving>(event)) on_leave(state, now, effects);
  steward_pipe(state.steward, event, now, effects);
  return effects;
}

}  // namespace weldsail
