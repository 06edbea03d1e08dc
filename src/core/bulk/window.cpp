#include "core/bulk/window.hpp"

#include <algorithm>

namespace weldsail {
namespace {

/// A part counts as under way until its asker asks again, or for this part of the bound.
constexpr Moment parts_per_bound = 30;

}  // namespace

void window_take(SendWindow& window, BulkUse use, std::uint64_t node, std::size_t bytes, Moment now) {
  window.peers[{use, node}] = {bytes, now};
}

void window_release(SendWindow& window, BulkUse use, std::uint64_t node) { window.peers.erase({use, node}); }

void window_expire(SendWindow& window, BulkUse use, Moment sent) {
  std::erase_if(window.peers, [&](const auto& item) { return item.first.first == use && item.second.sent <= sent; });
}

void window_expire_parts(SendWindow& window, Moment bound, Moment now) {
  window_expire(window, BulkUse::part, now - bound / parts_per_bound);
}

std::size_t window_bytes(const SendWindow& window) {
  std::size_t bytes = 0;
  for (const auto& [peer, under_way] : window.peers) bytes += under_way.bytes;
  return bytes;
}

std::size_t window_bytes(const SendWindow& window, BulkUse use) {
  std::size_t bytes = 0;
  for (const auto& [peer, under_way] : window.peers)
    if (peer.first == use) bytes += under_way.bytes;
  return bytes;
}

std::size_t window_peers(const SendWindow& window, BulkUse use) {
  return static_cast<std::size_t>(
      std::ranges::count_if(window.peers, [&](const auto& item) { return item.first.first == use; }));
}

}  // namespace weldsail
