#pragma once
#include <functional>
#include <map>
#include <string>

#include "core/event.hpp"

namespace weldsail::sim {

/// Bytes that a node's link carries each way in a millisecond; 0 where it has no limit.
struct LinkRates {
  double in = 0;
  double out = 0;
};

enum class LinkSide { in, out };

/// A message that joins the queue of a link.
struct QueuedMessage {
  const std::string& address;
  LinkSide side;
  wire::Envelope::BodyCase body;
  std::size_t bytes;
  /// Bytes that the link carries before this message.
  double in_front;
};

/// Links of limited rate. Each carries one message after another in the order in which they came, so that a large one
/// delays all that follow it.
class Links {
 public:
  /// Limits a node's link from now on.
  void limit(const std::string& address, const LinkRates& rates);
  bool limited(const std::string& address, LinkSide side) const { return queues_.contains({address, side}); }
  /// Adds a message to the queue; the moment at which the link has carried it, which is now where it has no limit.
  Moment carry(const std::string& address, LinkSide side, wire::Envelope::BodyCase body, std::size_t bytes, Moment now);
  /// Drops what waits at a node whose process has ended.
  void clear(const std::string& address);

  /// Called for every message that joins a queue.
  std::function<void(const QueuedMessage&)> queued;

 private:
  struct Queue {
    double rate = 0;
    double free_at = 0;
  };
  std::map<std::pair<std::string, LinkSide>, Queue> queues_;
};

}  // namespace weldsail::sim
