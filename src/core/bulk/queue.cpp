#include "core/bulk/queue.hpp"

#include <algorithm>

namespace weldsail {
namespace {

void uncount(BulkPeer& peer, const BulkMessage& message) {
  peer.bytes -= message.bytes.size();
  if (message.priority == BulkPriority::urgent) --peer.urgent;
}

/// The next message begins at its first byte.
void reset_progress(BulkPeer& peer) {
  peer.acknowledged = 0;
  peer.sent_bytes = 0;
  peer.awaiting = false;
  peer.tries = 0;
}

/// True while the first message is under way.
bool has_begun(const BulkPeer& peer) { return !peer.queue.empty() && peer.queue.front().number != 0; }

/// True for a message that the newer one makes needless; a late one under a lower epoch makes none so.
bool is_needless(const BulkMessage& message, const BulkMessage& newer) {
  if (newer.topic.name.empty() || !newer.topic.supersedes) return false;
  return message.number == 0 && message.topic.name == newer.topic.name && message.topic.epoch <= newer.topic.epoch;
}

}  // namespace

BulkPriority peer_priority(const BulkPeer& peer) {
  return peer.urgent > 0 ? BulkPriority::urgent : BulkPriority::ordinary;
}

bool peer_has_unsent(const BulkPeer& peer, const std::string& topic) {
  const auto found =
      std::ranges::find_if(peer.queue, [&](const BulkMessage& message) { return message.topic.name == topic; });
  return found != peer.queue.end() && (found->number == 0 || peer.sent_bytes < found->bytes.size());
}

bool peer_join_same(BulkPeer& peer, const BulkMessage& message) {
  const auto found = std::ranges::find(peer.queue, message.bytes, &BulkMessage::bytes);
  if (found == peer.queue.end()) return false;
  found->as_of = std::max(found->as_of, message.as_of);
  return true;
}

std::size_t peer_needless_bytes(const BulkPeer& peer, const BulkMessage& newer) {
  std::size_t bytes = 0;
  for (const auto& message : peer.queue) bytes += is_needless(message, newer) ? message.bytes.size() : 0;
  return bytes;
}

std::size_t peer_supersede(BulkPeer& peer, const BulkMessage& newer) {
  return std::erase_if(peer.queue, [&](const BulkMessage& message) {
    if (!is_needless(message, newer)) return false;
    uncount(peer, message);
    return true;
  });
}

std::size_t peer_abandon(BulkPeer& peer, const MessageTopic& topic) {
  const auto needless = [&](const BulkMessage& message) {
    return message.topic.name == topic.name && message.topic.epoch < topic.epoch;
  };
  if (has_begun(peer) && needless(peer.queue.front())) {
    // It has had its turn, or one abandoned after another would keep ordinary messages from theirs.
    ++peer.urgent_in_a_row;
    reset_progress(peer);
  }
  return std::erase_if(peer.queue, [&](const BulkMessage& message) {
    if (!needless(message)) return false;
    uncount(peer, message);
    return true;
  });
}

void peer_withdraw(BulkPeer& peer, const std::string& topic) {
  std::erase_if(peer.queue, [&](const BulkMessage& message) {
    if (message.number != 0 || message.topic.name != topic) return false;
    uncount(peer, message);
    return true;
  });
}

void peer_put(BulkPeer& peer, BulkMessage message) {
  const bool urgent = message.priority == BulkPriority::urgent;
  const bool behind_ordinary = has_begun(peer) && peer.queue.front().priority == BulkPriority::ordinary;
  const auto place = urgent ? peer.urgent + (behind_ordinary ? 1 : 0) : peer.queue.size();
  peer.bytes += message.bytes.size();
  if (urgent) ++peer.urgent;
  peer.queue.insert(peer.queue.begin() + static_cast<std::ptrdiff_t>(place), std::move(message));
}

std::size_t peer_next(const BulkPeer& peer) {
  const bool ordinary_waits = peer.urgent < peer.queue.size();
  if (has_begun(peer) || !ordinary_waits || peer.urgent_in_a_row < urgent_in_a_row_most) return 0;
  return peer.urgent;
}

void peer_bring_forward(BulkPeer& peer, std::size_t place) {
  const auto next = peer.queue.begin() + static_cast<std::ptrdiff_t>(place);
  std::rotate(peer.queue.begin(), next, next + 1);
}

void peer_end_first(BulkPeer& peer) {
  const auto& message = peer.queue.front();
  peer.urgent_in_a_row = message.priority == BulkPriority::urgent ? peer.urgent_in_a_row + 1 : 0;
  uncount(peer, message);
  peer.queue.pop_front();
  reset_progress(peer);
}

}  // namespace weldsail
