#include "core/bulk/window.hpp"

#include <limits>

namespace weldsail {
namespace {

/// A part counts as under way until its asker asks again, or for this part of the bound.
constexpr Moment parts_per_bound = 30;

SendWindow::Sum& sum_of(SendWindow& window, BulkUse use) { return window.sums.at(static_cast<std::size_t>(use)); }

const SendWindow::Sum& sum_of(const SendWindow& window, BulkUse use) {
  return window.sums.at(static_cast<std::size_t>(use));
}

}  // namespace

void window_take(SendWindow& window, BulkUse use, std::uint64_t node, std::size_t bytes, Moment now) {
  window_release(window, use, node);
  window.peers[{use, node}] = {bytes, now};
  window.by_sent.emplace(use, now, node);
  auto& sum = sum_of(window, use);
  sum.bytes += bytes;
  ++sum.peers;
}

void window_release(SendWindow& window, BulkUse use, std::uint64_t node) {
  ++window.visits;
  const auto found = window.peers.find({use, node});
  if (found == window.peers.end()) return;
  auto& sum = sum_of(window, use);
  sum.bytes -= found->second.bytes;
  --sum.peers;
  window.by_sent.erase({use, found->second.sent, node});
  window.peers.erase(found);
}

void window_expire_parts(SendWindow& window, Moment bound, Moment now) {
  const auto latest = now - bound / parts_per_bound;
  while (true) {
    const auto oldest = window.by_sent.lower_bound({BulkUse::part, std::numeric_limits<Moment>::min(), 0});
    if (oldest == window.by_sent.end()) return;
    const auto [use, sent, node] = *oldest;
    if (use != BulkUse::part || sent > latest) return;
    window_release(window, use, node);
  }
}

std::size_t window_bytes(const SendWindow& window) {
  std::size_t bytes = 0;
  for (const auto& sum : window.sums) bytes += sum.bytes;
  return bytes;
}

std::size_t window_bytes(const SendWindow& window, BulkUse use) { return sum_of(window, use).bytes; }

std::size_t window_peers(const SendWindow& window, BulkUse use) { return sum_of(window, use).peers; }

}  // namespace weldsail
