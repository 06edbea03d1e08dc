#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/eventcost.hpp"

namespace weldsail {

/// Messages of one kind that went one way.
struct KindTraffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

/// Traffic by the number of the body's field in the envelope.
using TrafficByKind = std::map<int, KindTraffic>;

/// What the shell counts of a process's connections, from the start of the process.
struct TransportFigures {
  TrafficByKind sent;
  TrafficByKind received;
  /// Messages that weren't sent, for want of a connection or of room in its queue.
  std::uint64_t messages_dropped = 0;
  /// Connections to other processes, and the bytes that wait for them: all together, and at the longest queue.
  std::uint64_t links = 0;
  std::uint64_t queued_bytes = 0;
  std::uint64_t longest_queue_bytes = 0;
  /// Open connections of callers and operators.
  std::uint64_t caller_connections = 0;
  /// Memory that requests of callers and operators take, what it may come to, and requests refused for want of it.
  std::uint64_t body_bytes = 0;
  std::uint64_t body_bytes_limit = 0;
  std::uint64_t bodies_refused = 0;
  /// Events that wait for the reducer.
  std::uint64_t waiting_events = 0;
  /// Milliseconds for which the oldest of them has waited.
  std::uint64_t waiting_ms = 0;
  /// Messages that were dropped as too many events waited.
  std::uint64_t events_dropped = 0;
  /// Reports of data nodes that newer ones replaced before they were taken.
  std::uint64_t reports_replaced = 0;
  /// Waits of workers' answers for the thread, by the buckets of `wait_buckets`, and their sum in milliseconds.
  std::vector<std::uint64_t> answer_waits;
  std::int64_t answer_waits_sum = 0;
  /// Time of the process's thread by kind of event; reading and writing connections are `read` and `write`.
  EventCosts costs;
};

/// Counts one message.
inline void count_message(TrafficByKind& traffic, int kind, std::uint64_t bytes) {
  auto& counted = traffic[kind];
  ++counted.messages;
  counted.bytes += bytes;
}

/// Traffic since an earlier reading of the same counters.
TrafficByKind traffic_since(const TrafficByKind& before, const TrafficByKind& now);
/// The kinds with the most bytes as `kind:messages:kilobytes`, at most so many, the largest first.
std::string traffic_text(const TrafficByKind& traffic, std::size_t most);

/// Name of the kind of a message by the number of its body's field; "other" where it isn't known.
const char* message_kind_name(int kind);

}  // namespace weldsail
