#include "core/bulk/bulk.hpp"

#include <algorithm>

#include "core/json.hpp"

namespace weldsail {
namespace {

/// True for a message that is sent in pieces. Parts of values are pulled: each asker has one under way already.
bool is_bulk(const LaneState& lane, const MemberState& member, const wire::Envelope& envelope) {
  if (envelope.has_value_part()) return false;
  const auto peer = member.others.find(envelope.to());
  if (peer == member.others.end() || peer->second.entry.release() < release_with_pieces) return false;
  if (envelope.ByteSizeLong() > piece_most) return true;
  return !lane.peers.empty() && lane_holds(lane, envelope.to(), message_topic(envelope).name);
}

/// A view of the fleet is queued without its age and as of the moment from which that counts: views of the same content
/// are the same bytes, and the receiver adds the time since then.
BulkMessage fleet_message(const wire::Envelope& envelope, Moment now) {
  auto ageless = envelope;
  ageless.mutable_fleet()->clear_age_ms();
  const auto as_of = now - static_cast<Moment>(envelope.fleet().age_ms());
  return {message_topic(envelope), message_priority(envelope), ageless.SerializeAsString(), false, as_of};
}

BulkMessage bulk_message(const wire::Envelope& envelope, Moment now) {
  if (envelope.has_fleet()) return fleet_message(envelope, now);
  const bool may_wait = envelope.has_counter_report() || envelope.has_fleet_ask();
  return {message_topic(envelope), message_priority(envelope), envelope.SerializeAsString(), may_wait, now};
}

void take_large(LaneState& lane, SendWindow& window, const MemberState& member, Moment now, Effects& effects) {
  std::erase_if(effects, [&](const Effect& effect) {
    const auto* message = std::get_if<SendMessage>(&effect);
    if (message == nullptr) return false;
    if (!lane.peers.empty()) lane_abandon(lane, window, message->envelope.to(), message_topic(message->envelope));
    if (!is_bulk(lane, member, message->envelope)) return false;
    lane_put(lane, message->envelope.to(), message->address, bulk_message(message->envelope, now));
    return true;
  });
}

void give_up_dead(LaneState& lane, SendWindow& window, const MemberState& member, Moment now, Effects& effects) {
  const auto given_up = lane.counters.given_up;
  for (const auto node : lane_expire(lane, window, now))
    if (!member_live(member, node)) lane_give_up(lane, window, node);
  if (lane.counters.given_up > given_up)
    note(effects, "bulk.given_up", {{"messages", std::to_string(lane.counters.given_up - given_up)}});
}

/// Adds the time in which a message waited at its sender to the age that it tells.
void add_waiting(wire::Envelope& envelope, std::uint64_t waited) {
  if (envelope.has_fleet()) envelope.mutable_fleet()->set_age_ms(envelope.fleet().age_ms() + waited);
}

}  // namespace

void bulk_configure(BulkState& state, Moment bound) { state.lane.bound = state.assembly.bound = bound; }

std::optional<wire::Envelope> bulk_receive(BulkState& state, SendWindow& window, const MemberState& member,
                                           const wire::Envelope& envelope, Moment now, Effects& effects) {
  if (envelope.to() != member.self.node()) return std::nullopt;
  if (envelope.has_bulk_acknowledged())
    lane_acknowledged(state.lane, window, envelope.from(), envelope.bulk_acknowledged(), now);
  if (!envelope.has_bulk_piece()) return std::nullopt;
  auto taken = assembly_take(state.assembly, envelope.from(), envelope.bulk_piece(), now);
  auto answer = member_envelope(member, envelope.from());
  *answer.mutable_bulk_acknowledged() = std::move(taken.answer);
  effects.push_back(SendMessage{envelope.address(), std::move(answer)});
  if (!taken.whole) return std::nullopt;
  wire::Envelope whole;
  if (!whole.ParseFromString(*taken.whole) || whole.from() != envelope.from()) return std::nullopt;
  if (whole.has_bulk_piece() || whole.has_bulk_acknowledged()) return std::nullopt;
  add_waiting(whole, envelope.bulk_piece().waited_ms());
  return whole;
}

void bulk_send(BulkState& state, SendWindow& window, const MemberState& member, Moment now, Effects& effects) {
  take_large(state.lane, window, member, now, effects);
  assembly_expire(state.assembly, now);
  if (state.lane.peers.empty()) return;
  window_expire_parts(window, state.lane.bound, now);
  give_up_dead(state.lane, window, member, now, effects);
  const auto violations = state.lane.counters.violations;
  for (auto& item : lane_send(state.lane, window, now)) {
    auto envelope = member_envelope(member, item.node);
    *envelope.mutable_bulk_piece() = std::move(item.piece);
    effects.push_back(SendMessage{std::move(item.address), std::move(envelope)});
  }
  if (state.lane.counters.violations > violations)
    note(effects, "invariant.violated", {{"invariant", "bytes under way never exceed the window"}}, true);
}

bool bulk_has_unsent_operation(const BulkState& state, std::uint64_t node, std::uint64_t request) {
  return lane_has_unsent(state.lane, node, operate_topic(request));
}

void write_bulk(const BulkState& state, JsonText& text) {
  const auto& counters = state.lane.counters;
  text.number("bulk_messages", lane_messages(state.lane))
      .number("bulk_bytes", lane_bytes(state.lane))
      .number("bulk_messages_sent", counters.messages_sent)
      .number("bulk_pieces_sent", counters.pieces_sent)
      .number("bulk_pieces_repeated", counters.pieces_repeated)
      .number("bulk_superseded", counters.superseded)
      .number("bulk_given_up", counters.given_up)
      .number("bulk_assembled_bytes", assembly_bytes(state.assembly))
      .number("bulk_assemblies_dropped", state.assembly.dropped);
}

}  // namespace weldsail
