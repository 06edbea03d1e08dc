#include "core/bulk/lane.hpp"

#include <algorithm>

namespace weldsail {
namespace {

/// An acknowledgement may take this part of the bound at first, and twice as long after each that didn't come.
constexpr Moment acknowledgements_per_bound = 20;
constexpr Moment patience_doublings = 3;
/// A live peer is given up after as many unanswered pieces, which is after two bounds.
constexpr std::uint64_t tries_most = 7;
/// Smallest share of the window, so that pieces aren't all overhead where there are many peers.
constexpr std::size_t piece_least = piece_most / 16;
/// Bytes that may wait for one peer, and for all. A message that is alone may be as large as a frame.
constexpr std::size_t peer_most = 8U << 20U;
constexpr std::size_t lane_most = 64U << 20U;

Moment first_patience(const LaneState& state) { return std::max<Moment>(1, state.bound / acknowledgements_per_bound); }

Moment longest_patience(const LaneState& state) { return first_patience(state) << patience_doublings; }

/// True where the lane has room for a message; what is alone always has.
bool fits(const LaneState& state, std::uint64_t node, std::size_t bytes) {
  if (state.bytes > 0 && state.bytes + bytes > lane_most) return false;
  const auto found = state.peers.find(node);
  return found == state.peers.end() || found->second.bytes + bytes <= peer_most;
}

/// Takes messages that are about to be removed out of the sums.
void uncount(LaneState& state, BulkPeer& peer, std::size_t messages, std::size_t bytes) {
  state.messages -= messages;
  state.bytes -= bytes;
  peer.bytes -= bytes;
}

/// No acknowledgement of the peer is awaited any more: it may be sent a piece.
void end_awaiting(LaneState& state, std::uint64_t node, BulkPeer& peer) {
  if (!peer.awaiting) return;
  peer.awaiting = false;
  state.due.erase({peer.sent + peer.patience, node});
  state.ready.insert(node);
}

void begin_awaiting(LaneState& state, std::uint64_t node, BulkPeer& peer, Moment now) {
  peer.awaiting = true;
  peer.sent = now;
  state.ready.erase(node);
  state.due.emplace(now + peer.patience, node);
}

void forget_peer(LaneState& state, std::uint64_t node) {
  auto& peer = state.peers.at(node);
  end_awaiting(state, node, peer);
  uncount(state, peer, peer.queue.size(), peer.bytes);
  state.ready.erase(node);
  state.peers.erase(node);
}

/// Drops messages that the newer one makes needless and that haven't begun.
void supersede(LaneState& state, BulkPeer& peer, const BulkMessage& newer) {
  if (newer.topic.empty() || !newer.supersedes) return;
  state.counters.superseded += std::erase_if(peer.queue, [&](const BulkMessage& message) {
    ++state.counters.visits;
    if (message.number != 0 || message.topic != newer.topic) return false;
    uncount(state, peer, 1, message.bytes.size());
    return true;
  });
}

bool holds_same(LaneState& state, const BulkPeer& peer, const BulkMessage& newer) {
  return std::ranges::any_of(peer.queue, [&](const BulkMessage& message) {
    ++state.counters.visits;
    return message.bytes == newer.bytes;
  });
}

/// Makes the next message the first one; the peer is forgotten when there is none.
void end_first(LaneState& state, std::uint64_t node) {
  auto& peer = state.peers.at(node);
  end_awaiting(state, node, peer);
  uncount(state, peer, 1, peer.queue.front().bytes.size());
  peer.queue.pop_front();
  peer.acknowledged = 0;
  peer.tries = 0;
  if (peer.queue.empty()) forget_peer(state, node);
}

/// The next ready peer after the one that was served last.
std::uint64_t next_in_turn(const LaneState& state) {
  const auto next = state.ready.upper_bound(state.turn);
  return next == state.ready.end() ? *state.ready.begin() : *next;
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
  piece.set_waited_ms(static_cast<std::uint64_t>(std::max<Moment>(0, now - message.queued)));
  return piece;
}

std::size_t window_limit(const SendWindow& window) {
  const auto parts = window_bytes(window, BulkUse::part);
  return std::clamp(window_most - std::min(window_most, parts), piece_most, pieces_window_most);
}

}  // namespace

void lane_put(LaneState& state, std::uint64_t node, const std::string& address, BulkMessage message) {
  if (const auto found = state.peers.find(node); found != state.peers.end()) {
    if (holds_same(state, found->second, message)) {
      ++state.counters.duplicates;
      return;
    }
    supersede(state, found->second, message);
    if (found->second.queue.empty()) forget_peer(state, node);
  }
  if (!fits(state, node, message.bytes.size())) {
    ++state.counters.given_up;
    return;
  }
  auto& peer = state.peers[node];
  peer.address = address;
  if (peer.queue.empty()) {
    peer.patience = first_patience(state);
    state.ready.insert(node);
  }
  ++state.messages;
  state.bytes += message.bytes.size();
  peer.bytes += message.bytes.size();
  peer.queue.push_back(std::move(message));
}

bool lane_holds(const LaneState& state, std::uint64_t node, const std::string& topic) {
  const auto found = state.peers.find(node);
  if (found == state.peers.end() || topic.empty()) return false;
  return std::ranges::find(found->second.queue, topic, &BulkMessage::topic) != found->second.queue.end();
}

void lane_acknowledged(LaneState& state, SendWindow& window, std::uint64_t node,
                       const wire::BulkAcknowledged& acknowledged, Moment now) {
  const auto found = state.peers.find(node);
  if (found == state.peers.end()) return;
  auto& peer = found->second;
  const auto& message = peer.queue.front();
  if (message.number == 0 || message.number != acknowledged.message()) return;
  if (acknowledged.unknown()) {
    window_release(window, BulkUse::piece, node);
    ++state.counters.given_up;
    return end_first(state, node);
  }
  if (acknowledged.received() <= peer.acknowledged || acknowledged.received() > message.bytes.size()) return;
  window_release(window, BulkUse::piece, node);
  // What was sent again may be acknowledged for its first sending, which tells no round trip: the patience stays as
  // long as it has become.
  const bool tells_round_trip = peer.awaiting && peer.tries == 1;
  end_awaiting(state, node, peer);
  if (tells_round_trip)
    peer.patience = std::clamp(2 * (now - peer.sent), first_patience(state), longest_patience(state));
  peer.acknowledged = acknowledged.received();
  peer.tries = 0;
  if (peer.acknowledged < message.bytes.size()) return;
  ++state.counters.messages_sent;
  end_first(state, node);
}

std::vector<std::uint64_t> lane_expire(LaneState& state, SendWindow& window, Moment now) {
  std::vector<std::uint64_t> overdue;
  while (!state.due.empty() && state.due.begin()->first <= now) {
    ++state.counters.visits;
    const auto node = state.due.begin()->second;
    auto& peer = state.peers.at(node);
    end_awaiting(state, node, peer);
    peer.patience = std::min(2 * peer.patience, longest_patience(state));
    window_release(window, BulkUse::piece, node);
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
  window_release(window, BulkUse::piece, node);
  forget_peer(state, node);
}

std::vector<PieceToSend> lane_send(LaneState& state, SendWindow& window, Moment now) {
  std::vector<PieceToSend> pieces;
  const auto limit = window_limit(window);
  const auto share = std::clamp(limit / std::max<std::size_t>(1, state.peers.size()), piece_least, piece_most);
  while (!state.ready.empty()) {
    ++state.counters.visits;
    const auto node = next_in_turn(state);
    auto& peer = state.peers.at(node);
    const auto bytes = std::min(share, peer.queue.front().bytes.size() - peer.acknowledged);
    if (window_bytes(window, BulkUse::piece) + bytes > limit) break;
    window_take(window, BulkUse::piece, node, bytes, now);
    pieces.push_back({node, peer.address, next_piece(state, peer, share, now)});
    begin_awaiting(state, node, peer, now);
    state.turn = node;
    ++state.counters.pieces_sent;
    if (++peer.tries > 1) ++state.counters.pieces_repeated;
  }
  if (window_bytes(window, BulkUse::piece) > pieces_window_most) ++state.counters.violations;
  return pieces;
}

std::size_t lane_messages(const LaneState& state) { return state.messages; }

std::size_t lane_bytes(const LaneState& state) { return state.bytes; }

}  // namespace weldsail
