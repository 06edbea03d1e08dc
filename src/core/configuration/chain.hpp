#pragma once
#include <optional>

#include "wire.pb.h"

namespace weldsail {

/// The value that a chain leads to from the one here; nothing when it doesn't begin here.
std::optional<wire::RegisterValue> follow_chain(const wire::RegisterValue& own, const wire::ValueChain& chain);

}  // namespace weldsail
