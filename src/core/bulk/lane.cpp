#include "core/bulk/lane.hpp"

#include <algorithm>

#include "core/bulk/turn.hpp"

namespace weldsail {
namespace {

/// An acknowledgement may take this part of the bound at first, and twice as long after each that didn't come.
constexpr Moment acknowledgements_per_bound = 20;
constexpr Moment patience_doublings = 3;
/// A live peer is given up after as many unanswered pieces, which is after two bounds.
constexpr std::uint64_t tries_most = 7;
/// Bytes that may wait for one peer, and for all. A message that is alone may be as large as a frame.
constexpr std::size_t peer_most = 8U << 20U;
constexpr std::size_t lane_most = 64U << 20U;
/// Ordinary messages leave a quarter of both to urgent ones.
constexpr std::size_t urgent_reserve_parts = 4;

Moment first_patience(const LaneState& state) { return std::max<Moment>(1, state.bound / acknowledgements_per_bound); }

Moment longest_patience(const LaneState& state) { return first_patience(state) << patience_doublings; }

/// Takes a peer out of the sums and orders before it is changed.
void uncount(LaneState& state, std::uint64_t node, const BulkPeer& peer) {
  if (peer.queue.empty()) return;
  state.messages -= peer.queue.size();
  state.bytes -= peer.bytes;
  auto& peers = class_of(state, peer_priority(peer));
  --peers.count;
  peers.ready.erase(node);
  if (peer.awaiting) state.due.erase({peer.sent + peer.patience, node});
}

/// Counts a peer that has been changed; one without messages is forgotten.
void count(LaneState& state, std::uint64_t node, const BulkPeer& peer) {
  if (peer.queue.empty()) {
    state.peers.erase(node);
    return;
  }
  state.messages += peer.queue.size();
  state.bytes += peer.bytes;
  auto& peers = class_of(state, peer_priority(peer));
  ++peers.count;
  if (peer.awaiting)
    state.due.emplace(peer.sent + peer.patience, node);
  else
    peers.ready.insert(node);
}

/// What messages of a priority may have of a bound.
std::size_t room_for(BulkPriority priority, std::size_t most) {
  return priority == BulkPriority::urgent ? most : most - most / urgent_reserve_parts;
}

/// True where the lane has room for a message to a peer that isn't counted at the moment, in place of those that it
/// makes needless; what is alone always has.
bool fits(const LaneState& state, const BulkPeer& peer, const BulkMessage& message) {
  const auto others = peer.bytes - peer_needless_bytes(peer, message);
  const auto total = state.bytes + others;
  if (total > 0 && total + message.bytes.size() > room_for(message.priority, lane_most)) return false;
  return others == 0 || others + message.bytes.size() <= room_for(message.priority, peer_most);
}

void release_piece(SendWindow& window, std::uint64_t node) {
  window_release(window, BulkUse::piece, node);
  window_release(window, BulkUse::urgent_piece, node);
}

wire::BulkPiece next_piece(LaneState& state, BulkPeer& peer, std::size_t share, Moment now) {
  auto& message = peer.queue.front();
  if (message.number == 0) message.number = state.next_number++;
  wire::BulkPiece piece;
  piece.set_message(message.number);
  piece.set_size(message.bytes.size());
  piece.set_offset(peer.acknowledged);
  piece.set_bytes(message.bytes.substr(peer.acknowledged, share));
  piece.set_may_wait(message.may_wait);
  piece.set_waited_ms(static_cast<std::uint64_t>(std::max<Moment>(0, now - message.as_of)));
  return piece;
}

/// False for an acknowledgement that comes late. A former release doesn't tell which piece it answers.
bool answers_last_piece(const BulkPeer& peer, const wire::BulkAcknowledged& acknowledged) {
  const auto number = peer.queue.front().number;
  if (number == 0 || number != acknowledged.message()) return false;
  return !acknowledged.has_offset() || acknowledged.offset() == peer.acknowledged;
}

PieceToSend send_piece(LaneState& state, SendWindow& window, const NextPiece& next, Moment now) {
  auto& peer = state.peers.at(next.node);
  const bool urgent = next.priority == BulkPriority::urgent;
  window_take(window, urgent ? BulkUse::urgent_piece : BulkUse::piece, next.node, next.bytes, now);
  state.urgent_in_a_row = urgent ? state.urgent_in_a_row + 1 : 0;
  class_of(state, next.priority).turn = next.node;
  uncount(state, next.node, peer);
  peer_bring_forward(peer, peer_next(peer));
  PieceToSend piece{next.node, peer.address, next_piece(state, peer, next.bytes, now)};
  peer.sent_bytes = std::max(peer.sent_bytes, peer.acknowledged + next.bytes);
  peer.awaiting = true;
  peer.sent = now;
  count(state, next.node, peer);
  ++state.counters.pieces_sent;
  if (++peer.tries > 1) ++state.counters.pieces_repeated;
  return piece;
}

}  // namespace

void lane_put(LaneState& state, std::uint64_t node, const std::string& address, BulkMessage message) {
  auto& peer = state.peers[node];
  state.counters.visits += peer.queue.size();
  if (peer_join_same(peer, message)) {
    ++state.counters.duplicates;
    return;
  }
  uncount(state, node, peer);
  if (fits(state, peer, message)) {
    state.counters.superseded += peer_supersede(peer, message);
    peer.address = address;
    if (peer.queue.empty()) peer.patience = first_patience(state);
    peer_put(peer, std::move(message));
  } else {
    ++state.counters.given_up;
  }
  count(state, node, peer);
}

void lane_abandon(LaneState& state, SendWindow& window, std::uint64_t node, const MessageTopic& newer) {
  const auto found = state.peers.find(node);
  if (found == state.peers.end() || newer.epoch == 0) return;
  auto& peer = found->second;
  state.counters.visits += peer.queue.size();
  uncount(state, node, peer);
  const bool awaited = peer.awaiting;
  state.counters.superseded += peer_abandon(peer, newer);
  if (awaited && !peer.awaiting) release_piece(window, node);
  count(state, node, peer);
}

void lane_withdraw(LaneState& state, std::uint64_t node, const std::string& topic) {
  const auto found = state.peers.find(node);
  if (found == state.peers.end()) return;
  state.counters.visits += found->second.queue.size();
  uncount(state, node, found->second);
  peer_withdraw(found->second, topic);
  count(state, node, found->second);
}

bool lane_holds(const LaneState& state, std::uint64_t node, const std::string& topic) {
  const auto found = state.peers.find(node);
  if (found == state.peers.end() || topic.empty()) return false;
  return std::ranges::any_of(found->second.queue,
                             [&](const BulkMessage& message) { return message.topic.name == topic; });
}

bool lane_has_unsent(const LaneState& state, std::uint64_t node, const std::string& topic) {
  const auto found = state.peers.find(node);
  return found != state.peers.end() && peer_has_unsent(found->second, topic);
}

void lane_acknowledged(LaneState& state, SendWindow& window, std::uint64_t node,
                       const wire::BulkAcknowledged& acknowledged, Moment now) {
  const auto found = state.peers.find(node);
  if (found == state.peers.end()) return;
  auto& peer = found->second;
  const auto size = peer.queue.front().bytes.size();
  if (!answers_last_piece(peer, acknowledged)) return;
  const bool further = acknowledged.received() > peer.acknowledged && acknowledged.received() <= size;
  // The receiver has lost some of what it had, and says from where on it needs the message again.
  const bool lost = acknowledged.has_offset() && acknowledged.received() < peer.acknowledged;
  if (!acknowledged.unknown() && !further && !lost) return;
  release_piece(window, node);
  uncount(state, node, peer);
  // What was sent again may be acknowledged for its first sending, which tells no round trip: the patience stays as
  // long as it has become.
  if (further && peer.awaiting && peer.tries == 1)
    peer.patience = std::clamp(2 * (now - peer.sent), first_patience(state), longest_patience(state));
  peer.awaiting = false;
  peer.tries = 0;
  peer.acknowledged = acknowledged.received();
  const bool whole = !acknowledged.unknown() && peer.acknowledged == size;
  if (whole) ++state.counters.messages_sent;
  if (acknowledged.unknown()) ++state.counters.given_up;
  if (whole || acknowledged.unknown()) peer_end_first(peer);
  count(state, node, peer);
}

std::vector<std::uint64_t> lane_expire(LaneState& state, SendWindow& window, Moment now) {
  std::vector<std::uint64_t> overdue;
  while (!state.due.empty() && state.due.begin()->first <= now) {
    ++state.counters.visits;
    const auto node = state.due.begin()->second;
    auto& peer = state.peers.at(node);
    uncount(state, node, peer);
    peer.awaiting = false;
    peer.patience = std::min(2 * peer.patience, longest_patience(state));
    count(state, node, peer);
    release_piece(window, node);
    overdue.push_back(node);
  }
  for (const auto node : overdue)
    if (state.peers.at(node).tries >= tries_most) lane_give_up(state, window, node);
  return overdue;
}

void lane_give_up(LaneState& state, SendWindow& window, std::uint64_t node) {
  const auto found = state.peers.find(node);
  if (found == state.peers.end()) return;
  state.counters.given_up += found->second.queue.size();
  release_piece(window, node);
  uncount(state, node, found->second);
  state.peers.erase(found);
}

std::vector<PieceToSend> lane_send(LaneState& state, SendWindow& window, Moment now) {
  std::vector<PieceToSend> pieces;
  while (const auto next = next_in_turn(state, window)) pieces.push_back(send_piece(state, window, *next, now));
  if (window_pieces(window) > pieces_window_most) ++state.counters.violations;
  return pieces;
}

std::size_t lane_messages(const LaneState& state) { return state.messages; }

std::size_t lane_bytes(const LaneState& state) { return state.bytes; }

}  // namespace weldsail
