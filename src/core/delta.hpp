#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "wire.pb.h"

namespace weldsail {

/// Values up to this size are sent whole, in place of a delta.
inline constexpr std::size_t delta_least = 16U << 10U;

/// How `target` is made from `base`. Both are cut into blocks at places that their content decides, so that a delta is
/// about as large as what was changed, wherever that stands.
wire::Delta make_delta(std::string_view base, std::string_view target);
/// What a delta makes of its base; nothing when it doesn't fit this base or the result isn't what it was made for.
std::optional<std::string> apply_delta(std::string_view base, const wire::Delta& delta);

}  // namespace weldsail
