#pragma once
#include <array>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "core/bulk/queue.hpp"
#include "core/bulk/window.hpp"

namespace weldsail {

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

/// The peers of one priority.
struct LanePeers {
  std::size_t count = 0;
  /// Those that may be sent a piece.
  std::set<std::uint64_t> ready;
  /// The peer that was served last.
  std::uint64_t turn = 0;
};

/// Large messages on their way to other processes, in pieces.
struct LaneState {
  Moment bound = 3000;
  std::map<std::uint64_t, BulkPeer> peers;
  /// Kept with each change of `peers`: their messages and bytes, the peers of each priority, and by when the
  /// acknowledgements that are awaited are due.
  std::size_t messages = 0;
  std::size_t bytes = 0;
  std::array<LanePeers, bulk_priorities> classes;
  std::set<std::pair<Moment, std::uint64_t>> due;
  std::uint64_t next_number = 1;
  /// Urgent pieces that were sent since the last ordinary one.
  std::size_t urgent_in_a_row = 0;
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
/// Drops messages to a peer that one under a higher epoch makes needless, also the one that is under way.
void lane_abandon(LaneState& state, SendWindow& window, std::uint64_t node, const MessageTopic& newer);
/// Drops messages of the topic to a peer that haven't begun.
void lane_withdraw(LaneState& state, std::uint64_t node, const std::string& topic);
/// True while a message of the topic waits for the peer or is under way to it.
bool lane_holds(const LaneState& state, std::uint64_t node, const std::string& topic);
/// True while bytes of a message of the topic haven't been sent to the peer yet.
bool lane_has_unsent(const LaneState& state, std::uint64_t node, const std::string& topic);
void lane_acknowledged(LaneState& state, SendWindow& window, std::uint64_t node,
                       const wire::BulkAcknowledged& acknowledged, Moment now);
/// Peers whose acknowledgement is overdue. Their pieces don't count as under way any more, and are sent again; a peer
/// that has been silent for too many of them is given up.
std::vector<std::uint64_t> lane_expire(LaneState& state, SendWindow& window, Moment now);
/// Drops all that waits for a peer.
void lane_give_up(LaneState& state, SendWindow& window, std::uint64_t node);
/// The pieces that the window has room for, urgent ones first, peers in turn; none for peers of which an
/// acknowledgement is awaited.
std::vector<PieceToSend> lane_send(LaneState& state, SendWindow& window, Moment now);

std::size_t lane_messages(const LaneState& state);
std::size_t lane_bytes(const LaneState& state);

}  // namespace weldsail
