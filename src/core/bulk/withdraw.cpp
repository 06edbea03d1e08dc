#include "core/bulk/withdraw.hpp"

#include "core/bulk/topic.hpp"

namespace weldsail {

bool bulk_withdraw_operation(BulkState& state, std::uint64_t node, std::uint64_t request) {
  const auto topic = operate_topic(request);
  lane_withdraw(state.lane, node, topic);
  return !lane_holds(state.lane, node, topic);
}

}  // namespace weldsail
