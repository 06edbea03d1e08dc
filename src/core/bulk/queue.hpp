#pragma once
#include <deque>
#include <string>

#include "core/bulk/topic.hpp"

namespace weldsail {

/// A large message that waits for its turn or is under way.
struct BulkMessage {
  /// What it is about; see `MessageTopic`.
  MessageTopic topic;
  BulkPriority priority = BulkPriority::ordinary;
  /// The serialized envelope.
  std::string bytes;
  bool may_wait = false;
  /// When it was queued; for a view of the fleet, as of when it tells.
  Moment as_of = 0;
  /// Set by the lane when the first piece is sent; 0 until then.
  std::uint64_t number = 0;
};

/// The large messages to one life of a process; the first may be under way, one piece at a time. Behind that one,
/// urgent messages stand before ordinary ones.
struct BulkPeer {
  std::string address;
  std::deque<BulkMessage> queue;
  /// Kept with each change of the queue: its bytes, and how many of its messages are urgent.
  std::size_t bytes = 0;
  std::size_t urgent = 0;
  /// Urgent messages that were sent since the last ordinary one.
  std::size_t urgent_in_a_row = 0;
  /// Bytes of the first message that the peer has acknowledged.
  std::size_t acknowledged = 0;
  /// Bytes of the first message that have been sent at least once.
  std::size_t sent_bytes = 0;
  /// A piece has been sent whose acknowledgement is awaited, for so long.
  bool awaiting = false;
  Moment sent = 0;
  Moment patience = 0;
  /// Times that the piece after `acknowledged` was sent.
  std::uint64_t tries = 0;
};

/// Urgent while an urgent message waits: an ordinary one that is under way before it has to be got over with.
BulkPriority peer_priority(const BulkPeer& peer);
/// True while a message of the topic waits, or is under way with bytes that haven't been sent.
bool peer_has_unsent(const BulkPeer& peer, const std::string& topic);
/// True when the same bytes wait or are under way; they count as of the newest moment from then on.
bool peer_join_same(BulkPeer& peer, const BulkMessage& message);
/// Bytes of the messages that the newer one makes needless and that haven't begun.
std::size_t peer_needless_bytes(const BulkPeer& peer, const BulkMessage& newer);
/// Drops messages that the newer one makes needless and that haven't begun; tells how many.
std::size_t peer_supersede(BulkPeer& peer, const BulkMessage& newer);
/// Drops messages of the topic under lower epochs, also the one that is under way; tells how many.
std::size_t peer_abandon(BulkPeer& peer, const MessageTopic& topic);
/// Drops messages of the topic that haven't begun.
void peer_withdraw(BulkPeer& peer, const std::string& topic);
/// Adds a message behind those of its priority.
void peer_put(BulkPeer& peer, BulkMessage message);
/// The place of the message of which a piece is sent next: an ordinary one has its turn after a few urgent ones.
std::size_t peer_next(const BulkPeer& peer);
/// Makes a message the first one.
void peer_bring_forward(BulkPeer& peer, std::size_t place);
/// Drops the first message.
void peer_end_first(BulkPeer& peer);

}  // namespace weldsail
