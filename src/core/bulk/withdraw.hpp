#pragma once
#include "core/bulk/bulk.hpp"

namespace weldsail {

/// Takes an operator's request that is carried to the owner out of the lane unless it has begun; true where nothing of
/// it is under way any more.
bool bulk_withdraw_operation(BulkState& state, std::uint64_t node, std::uint64_t request);

}  // namespace weldsail
