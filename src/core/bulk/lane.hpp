#pragma once
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "core/bulk/window.hpp"

namespace weldsail {

/// A large message that waits for its turn or is under way.
struct BulkMessage {
  /// What it is about; see `MessageTopic`.
  std::string topic;
  bool supersedes = false;
  /// The serialized envelope.
  std::string bytes;
  bool may_wait = false;
  Moment queued = 0;
  /// Set by the lane when the first piece is sent; 0 until then.
  std::uint64_t number = 0;
};

/// The large messages to one life of a process; the first is under way, one piece at a time.
struct BulkPeer {
  std::string address;
  std::deque<BulkMessage> queue;
  /// Bytes of the queue, kept with each change of it.
  std::size_t bytes = 0;
  /// Bytes of the first message that the peer has acknowledged.
  std::size_t acknowledged = 0;
  /// A piece has been sent whose acknowledgement is awaited, for so long.
  bool awaiting = false;
  Moment sent = 0;
  Moment patience = 0;
  /// Times that the piece after `acknowledged` was sent.
  std::uint64_t tries = 0;
};

/// What a lane counts from the start of the process.
struct LaneCounters {
  std::uint64_t pieces_sent = 0;
  std::uint64_t pieces_repeated = 0;
  std::uint64_t messages_sent = 0;
  /// Messages that weren't queued, as the same one waited already, or that a later one made needless.
  std::uint64_t duplicates = 0;
  std::uint64_t superseded = 0;
  /// Messages that were dropped: the peer was dead or silent, or too much waited.
  std::uint64_t given_up = 0;
  /// Broken invariants; must stay 0.
  std::uint64_t violations = 0;
  /// Peers and messages that were looked at.
  std::uint64_t visits = 0;
};

/// Large messages on their way to other processes, in pieces.
struct LaneState {
  Moment bound = 3000;
  std::map<std::uint64_t, BulkPeer> peers;
  /// Kept with each change of `peers`: their messages and bytes, those that may be sent a piece, and by when the
  /// acknowledgements of the others are due.
  std::size_t messages = 0;
  std::size_t bytes = 0;
  std::set<std::uint64_t> ready;
  std::set<std::pair<Moment, std::uint64_t>> due;
  std::uint64_t next_number = 1;
  /// The peer that was served last.
  std::uint64_t turn = 0;
  LaneCounters counters;
};

/// A piece that is to be sent.
struct PieceToSend {
  std::uint64_t node = 0;
  std::string address;
  wire::BulkPiece piece;
};

/// Queues a message to a peer, unless the same one waits or is under way.
void lane_put(LaneState& state, std::uint64_t node, const std::string& address, BulkMessage message);
/// True while a message of the topic waits for the peer or is under way to it.
bool lane_holds(const LaneState& state, std::uint64_t node, const std::string& topic);
void lane_acknowledged(LaneState& state, SendWindow& window, std::uint64_t node,
                       const wire::BulkAcknowledged& acknowledged, Moment now);
/// Peers whose acknowledgement is overdue. Their pieces don't count as under way any more, and are sent again; a peer
/// that has been silent for too many of them is given up.
std::vector<std::uint64_t> lane_expire(LaneState& state, SendWindow& window, Moment now);
/// Drops all that waits for a peer.
void lane_give_up(LaneState& state, SendWindow& window, std::uint64_t node);
/// The pieces that the window has room for, peers in turn; none for peers of which an acknowledgement is awaited.
std::vector<PieceToSend> lane_send(LaneState& state, SendWindow& window, Moment now);

std::size_t lane_messages(const LaneState& state);
std::size_t lane_bytes(const LaneState& state);

}  // namespace weldsail
