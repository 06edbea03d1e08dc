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
  /// Makes those of the same name under lower epochs needless, those under way too; 0 for a message without an epoch.
  std::uint64_t epoch = 0;
};

/// Classes of large messages: consensus and operators' changes go before answers and before what is told to many.
enum class BulkPriority : std::uint8_t { urgent, ordinary };
inline constexpr std::size_t bulk_priorities = 2;
/// While ordinary messages wait, as many urgent pieces, or urgent messages to one peer, are sent before an ordinary
/// one.
inline constexpr std::size_t urgent_in_a_row_most = 3;

BulkPriority message_priority(const wire::Envelope& envelope);
MessageTopic message_topic(const wire::Envelope& envelope);
/// Topic of an operator's request that is carried to the owner, by the number under which it is carried.
std::string operate_topic(std::uint64_t request);

}  // namespace weldsail
