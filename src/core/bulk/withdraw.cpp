#include "core/bulk/withdraw.hpp"

#include "core/bulk/topic.hpp"

namespace weldsail {

bool bulk_withdraw_operation(BulkState& state, std::uint64_t node, std::uint64_t request) {
  const auto found = state.lane.peers.find(node);
  if (found == state.lane.peers.end()) return true;
  auto& queue = found->second.queue;
  const auto topic = operate_topic(request);
  std::erase_if(queue, [&](const BulkMessage& message) { return message.number == 0 && message.topic == topic; });
  if (queue.empty()) state.lane.peers.erase(found);
  return !lane_holds(state.lane, node, topic);
}

}  // namespace weldsail
