#include "core/controlparts.hpp"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

#include <algorithm>

#include "core/configuration/fetch.hpp"
#include "core/configuration/serve.hpp"

namespace weldsail {
namespace {

constexpr std::uint64_t learned_tokens = 3ULL << 40U;

bool votes_under_old_core(const ControlState& state, const wire::Envelope& envelope, Effects& effects) {
  const bool vote = envelope.has_prepare() || envelope.has_accept() || envelope.has_check() ||
                    (envelope.has_claim() && !envelope.claim().release()) || envelope.news_ask().accepted_only();
  if (!vote || CoreTag{envelope.core_epoch(), envelope.core_version()} >= state.member.core_tag) return false;
  auto answer = member_envelope(state.member, envelope.from());
  *answer.mutable_news()->mutable_core() = state.formation.core;
  effects.push_back(SendMessage{envelope.address(), std::move(answer)});
  return true;
}

void take_news_ask(ControlState& state, const wire::Envelope& envelope, Moment now, Effects& effects) {
  const auto& core = state.formation.core;
  if (envelope.news_ask().accepted_only())
    currency_answer(state.acceptor, state.member, envelope, effects);
  else if (envelope.news_ask().first())
    news_answer_first(state.news, state.acceptor, state.member, core, envelope, now, effects);
  else
    news_asked(state.news, state.member, core, envelope, now, effects);
}

/// Names that a committed placement says are drained, without a reading of all that it says of workers and models;
/// none when the bytes are no placement.
std::optional<std::vector<std::string>> read_drained(const std::string& bytes) {
  using google::protobuf::internal::WireFormatLite;
  google::protobuf::io::CodedInputStream stream(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                                static_cast<int>(bytes.size()));
  std::vector<std::string> drained;
  while (const auto tag = stream.ReadTag()) {
    const bool wanted = WireFormatLite::GetTagFieldNumber(tag) == wire::Placement::kDrainedFieldNumber;
    std::string name;
    if (!(wanted ? WireFormatLite::ReadBytes(&stream, &name) : WireFormatLite::SkipField(&stream, tag)))
      return std::nullopt;
    if (wanted) drained.push_back(std::move(name));
  }
  if (!stream.ConsumedEntireMessage()) return std::nullopt;
  return drained;
}

}  // namespace

bool may_wait(const ControlState& state, const Event& event) {
  if (const auto* message = std::get_if<MessageArrived>(&event))
    return message->envelope.has_counter_report() || message->envelope.has_fleet_ask() ||
           message->envelope.bulk_piece().may_wait();
  // What the list says of leaving workers has a bound that all data nodes are held to.
  const auto list = state.placing.list.pipe;
  const auto of_worker = [&](std::uint64_t pipe) { return list == 0 || pipe != list; };
  if (const auto* head = std::get_if<PipeHead>(&event)) return of_worker(head->pipe);
  if (const auto* bytes = std::get_if<PipeBytes>(&event)) return of_worker(bytes->pipe);
  const auto* ended = std::get_if<PipeEnded>(&event);
  return ended != nullptr && of_worker(ended->pipe);
}

void control_use_drains(ControlState& state, const std::vector<std::string>& drained) {
  static const std::string node = "node:";
  state.duty.drained.clear();
  for (const auto& name : drained)
    if (name.starts_with(node)) state.duty.drained.insert(name.substr(node.size()));
}

void control_use_document(ControlState& state) {
  const auto found = state.news.values.find(config_key);
  if (found == state.news.values.end() || found->second.version() == state.document_version) return;
  wire::ConfigValue value;
  if (!value.ParseFromString(found->second.value())) return;
  if (const auto* dialect = state.options.dialect) {
    auto read = dialect->read_config(value.document());
    if (!read.faults.empty()) return;
    state.paths = std::move(read.config);
  } else {
    auto read = read_config(value.document());
    if (!read.faults.empty()) return;
    state.document = std::move(read.document);
  }
  state.document_version = found->second.version();
  member_config(state.member, state.document_version);
}

void control_learn(ControlState& state, const wire::RegisterValue& value, Moment now, Effects& effects) {
  wire::Core core;
  if (value.key() == core_key && core.ParseFromString(value.value())) {
    formation_learn(state.formation, state.member, core, effects);
    state.repair.committed = std::max(state.repair.committed, core_tag(core));
  }
  if (!news_learn(state.news, state.member, state.formation.core, value, now, effects)) return;
  const auto* accepted = acceptor_accepted(state.acceptor, value.key(), value.epoch(), value.version());
  if (accepted != nullptr && *accepted != value.value())
    delivery_violated(state.news.delivery, "an epoch and version name one value", value.key(), value.version(),
                      effects);
  note(effects, "news.learned", {{"key", value.key()}, {"version", std::to_string(value.version())}});
  if (state.options.has_disk)
    effects.push_back(Persist{learned_tokens, {{control_learned + value.key(), value.SerializeAsString()}}});
  control_use_document(state);
  if (value.key() != placement_key) return;
  if (const auto drained = read_drained(value.value())) control_use_drains(state, *drained);
}

namespace {

/// Takes note of a value that another process has. What this disk has accepted under the same epoch and version is that
/// very value, so it needn't be fetched.
void take_offer(ControlState& state, const wire::Envelope& envelope, const wire::Known& offer, Moment now,
                Effects& effects) {
  const auto* accepted = acceptor_accepted(state.acceptor, offer.key(), offer.epoch(), offer.version());
  if (accepted == nullptr) return fetch_offered(state.news, state.member, envelope, offer, now, effects);
  wire::RegisterValue value;
  value.set_key(offer.key());
  value.set_epoch(offer.epoch());
  value.set_version(offer.version());
  value.set_value(*accepted);
  control_learn(state, value, now, effects);
}

}  // namespace

void control_operate(ControlState& state, const Asker& asker, const wire::Operate& operation, Moment now,
                     Effects& effects) {
  if (operation.path() == "/v1/core/recover")
    return recover_ask(state.recover, control_recovery(state, now), asker, operation, effects);
  if (operate_local(state.member, operation, control_status_text(state, now), asker, effects)) return;
  const auto key = operate_key(operation.path());
  if (!key) {
    operate_refuse(state.member, asker, 404, "no_such_path", "refused", {}, effects);
    return;
  }
  if (state.owners[*key].phase != OwnerPhase::holding) {
    if (asker.node == 0)
      operate_forward(state.operate, state.bulk, state.member, operation, *key, asker.request, now, effects);
    else
      operate_refuse(state.member, asker, 503, "not_owner", operate_unheard(operation), operation.change(), effects);
    return;
  }
  if (*key == core_key)
    control_operate_core(state, asker, operation, effects);
  else if (*key == config_key)
    config_take(state.config_duty, {asker, operation, now, {}});
  else
    control_operate_placement(state, asker, operation, now, effects);
}

RecoverContext control_recovery(ControlState& state, Moment now) {
  return {state.member, state.formation, state.acceptor, state.vote, state.news, now};
}

void control_take_core(ControlState& state, Effects& effects) {
  const auto found = state.acceptor.copies.find(core_key);
  wire::Core core;
  if (found == state.acceptor.copies.end() || found->second.version == 0) return;
  if (core.ParseFromString(found->second.value)) formation_learn(state.formation, state.member, core, effects);
}

void control_message(ControlState& state, const wire::Envelope& envelope, Moment now, Effects& effects) {
  const auto own = state.member.self.cluster();
  if (own != 0 && envelope.cluster() != 0 && own != envelope.cluster()) return;
  if (envelope.to() != 0 && envelope.to() != state.member.self.node()) return;
  duty_heard(state.duty, state.formation.core, envelope.disk(), now);
  if (const auto whole = bulk_receive(state.bulk, state.news.delivery.window, state.member, envelope, now, effects))
    return control_message(state, *whole, now, effects);
  if (votes_under_old_core(state, envelope, effects)) return;
  acceptor_receive(state.acceptor, state.member, envelope, now, effects);
  control_take_core(state, effects);
  if (envelope.has_copy_ask()) repair_asked(state.acceptor, state.vote, state.member, envelope, effects);
  if (envelope.has_copy_answer())
    repair_answered(state.repair, state.acceptor, state.vote, state.formation, envelope, now, effects);
  if (envelope.has_copy_answer()) recover_answered(state.recover, control_recovery(state, now), envelope);
  if (envelope.has_claim() && state.options.has_disk) vote_receive(state.vote, state.member, envelope, now, effects);
  if (envelope.has_prepare() && envelope.from() != state.member.self.node())
    duty_tried(state.duty, envelope.prepare().key(), now);
  if (envelope.has_ping()) {
    const auto known = news_known(state.news);
    member_receive(state.member, envelope, known, now, effects);
    for (const auto& item : envelope.ping().known())
      if (item.key() == core_key && item.version() > state.formation.core.version()) state.duty.behind = now;
    news_heard(state.news, state.member, envelope, now, effects);
  }
  if (envelope.has_form()) formation_receive(state.formation, state.member, envelope, effects);
  if (envelope.has_news_ask()) take_news_ask(state, envelope, now, effects);
  if (envelope.has_news()) {
    formation_learn(state.formation, state.member, envelope.news().core(), effects);
    for (const auto& value : envelope.news().values()) control_learn(state, value, now, effects);
    for (const auto& offer : envelope.news().offers()) take_offer(state, envelope, offer, now, effects);
    if (envelope.news().accepted_size() > 0)
      currency_heard(state.currency, state.news, state.formation.core, envelope);
    else
      news_answered(state.news, state.member, envelope, now);
  }
  if (envelope.has_value_part())
    if (const auto value = fetch_part(state.news, state.member, envelope, now, effects))
      control_learn(state, *value, now, effects);
  if (envelope.has_value_ask()) serve_asked(state.news, state.member, envelope, now, effects);
  if (envelope.has_operate())
    control_operate(state, {envelope.operate().request(), envelope.from(), envelope.address()}, envelope.operate(), now,
                    effects);
  if (envelope.has_operated()) operate_answered(state.operate, news_copy(state.news), envelope, effects);
  if (envelope.has_counter_report() && state.steward.term != 0) {
    demand_receive(state.steward.demand, envelope, now);
    for (const auto& backlog : envelope.counter_report().backlogs())
      if (backlog.waiting() > 0) state.steward.next_decision = std::min(state.steward.next_decision, now);
  }
  if (state.options.dialect != nullptr) {
    placing_message(state.placing, control_placing(state, now), envelope, effects);
    if (state.placing.term == 0) relay_message(state.relay, control_relay(state, now), envelope, effects);
  }
  const auto key = envelope.has_promise()    ? envelope.promise().key()
                   : envelope.has_accepted() ? envelope.accepted().key()
                   : envelope.has_checked()  ? envelope.checked().key()
                                             : std::string();
  const auto owner = state.owners.find(key);
  if (owner == state.owners.end()) return;
  control_signal(state, owner->second,
                 register_receive(owner->second, state.member, state.formation.core, envelope, now, effects), now,
                 effects);
}

}  // namespace weldsail
