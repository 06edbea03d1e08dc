#pragma once
#include <optional>

#include "core/bulk/lane.hpp"

namespace weldsail {

/// A piece that may be sent.
struct NextPiece {
  std::uint64_t node = 0;
  std::size_t bytes = 0;
  BulkPriority priority = BulkPriority::ordinary;
};

LanePeers& class_of(LaneState& state, BulkPriority priority);
/// Bytes of pieces of both priorities that are under way.
std::size_t window_pieces(const SendWindow& window);
/// The piece whose turn it is; none while the window has no room for it.
std::optional<NextPiece> next_in_turn(LaneState& state, const SendWindow& window);

}  // namespace weldsail
