#pragma once
#include <string>

#include "core/event.hpp"

namespace weldsail {

/// What a message is about, for the order of messages to one peer. A message is sent after those of its topic that
/// wait already, however small it is: it may build on them.
struct MessageTopic {
  /// Empty for a message that has no such order.
  std::string name;
  /// Says all that those before it said: they needn't be sent any more.
  bool supersedes = false;
};

MessageTopic message_topic(const wire::Envelope& envelope);
/// Topic of an operator's request that is carried to the owner, by the number under which it is carried.
std::string operate_topic(std::uint64_t request);

}  // namespace weldsail
