#pragma once
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "core/event.hpp"

namespace weldsail {

/// Bytes of the largest piece of a message; a message up to this size is sent whole and at once.
inline constexpr std::size_t piece_most = 16U << 10U;
/// Bytes of pieces and of parts of values that one process has unacknowledged over all its peers: what is put behind
/// them on its link waits no longer than these bytes take.
inline constexpr std::size_t window_most = 5 * piece_most;
/// What pieces of messages may have of it.
inline constexpr std::size_t pieces_window_most = 3 * piece_most;

/// What a process sends in bulk: pieces to peers for which no urgent message waits, pieces to the others, and parts of
/// values.
enum class BulkUse : std::uint8_t { piece, urgent_piece, part };
inline constexpr std::size_t bulk_uses = 3;

/// The bulk bytes that each peer hasn't acknowledged yet, by what they are.
struct SendWindow {
  struct UnderWay {
    std::size_t bytes = 0;
    Moment sent = 0;
  };
  /// What is under way of one use.
  struct Sum {
    std::size_t bytes = 0;
    std::size_t peers = 0;
  };
  std::map<std::pair<BulkUse, std::uint64_t>, UnderWay> peers;
  /// Kept with each change of `peers`: the sums, and the order in which the bytes were sent.
  std::array<Sum, bulk_uses> sums;
  std::set<std::tuple<BulkUse, Moment, std::uint64_t>> by_sent;
  /// Entries that were looked at, from the start of the process.
  std::uint64_t visits = 0;
};

void window_take(SendWindow& window, BulkUse use, std::uint64_t node, std::size_t bytes, Moment now);
void window_release(SendWindow& window, BulkUse use, std::uint64_t node);
/// Counts no part of a value any more whose asker has been silent for longer than a next ask takes.
void window_expire_parts(SendWindow& window, Moment bound, Moment now);
std::size_t window_bytes(const SendWindow& window);
std::size_t window_bytes(const SendWindow& window, BulkUse use);
/// Peers that have something of a use under way.
std::size_t window_peers(const SendWindow& window, BulkUse use);

}  // namespace weldsail
