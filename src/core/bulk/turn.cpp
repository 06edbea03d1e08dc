#include "core/bulk/turn.hpp"

#include <algorithm>

namespace weldsail {
namespace {

/// Smallest share of the window, so that pieces aren't all overhead where there are many peers.
constexpr std::size_t piece_least = piece_most / 16;
/// Ordinary pieces leave a third of the window to urgent ones, and have a quarter of it while an urgent message waits.
constexpr std::size_t urgent_share = 3;
constexpr std::size_t ordinary_share = 4;

const LanePeers& class_of(const LaneState& state, BulkPriority priority) {
  return state.classes.at(static_cast<std::size_t>(priority));
}

std::size_t window_limit(const SendWindow& window) {
  const auto parts = window_bytes(window, BulkUse::part);
  return std::clamp(window_most - std::min(window_most, parts), piece_most, pieces_window_most);
}

/// The bytes of the window that pieces of a class may have.
std::size_t class_limit(const LaneState& state, const SendWindow& window, BulkPriority priority) {
  const auto limit = window_limit(window);
  if (priority == BulkPriority::urgent) return limit;
  const bool urgent_waits = class_of(state, BulkPriority::urgent).count > 0;
  return urgent_waits ? limit / ordinary_share : limit - limit / urgent_share;
}

/// The next piece of a class, to the ready peer after the one that was served last; none where ordinary pieces have
/// their part of the window already.
std::optional<NextPiece> next_of_class(LaneState& state, const SendWindow& window, BulkPriority priority) {
  const auto& peers = class_of(state, priority);
  if (peers.ready.empty()) return std::nullopt;
  ++state.counters.visits;
  const auto limit = class_limit(state, window, priority);
  const auto share = std::clamp(limit / peers.count, piece_least, piece_most);
  const auto after = peers.ready.upper_bound(peers.turn);
  const auto node = after == peers.ready.end() ? *peers.ready.begin() : *after;
  const auto& peer = state.peers.at(node);
  const auto bytes = std::min(share, peer.queue.at(peer_next(peer)).bytes.size() - peer.acknowledged);
  if (priority == BulkPriority::ordinary && window_bytes(window, BulkUse::piece) + bytes > limit) return std::nullopt;
  return NextPiece{node, bytes, priority};
}

}  // namespace

LanePeers& class_of(LaneState& state, BulkPriority priority) {
  return state.classes.at(static_cast<std::size_t>(priority));
}

std::size_t window_pieces(const SendWindow& window) {
  return window_bytes(window, BulkUse::piece) + window_bytes(window, BulkUse::urgent_piece);
}

std::optional<NextPiece> next_in_turn(LaneState& state, const SendWindow& window) {
  const bool ordinary_first = state.urgent_in_a_row >= urgent_in_a_row_most;
  const auto first = ordinary_first ? BulkPriority::ordinary : BulkPriority::urgent;
  const auto second = ordinary_first ? BulkPriority::urgent : BulkPriority::ordinary;
  auto next = next_of_class(state, window, first);
  if (!next) next = next_of_class(state, window, second);
  if (next && window_pieces(window) + next->bytes > window_limit(window)) return std::nullopt;
  return next;
}

}  // namespace weldsail
