#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire.pb.h"

namespace weldsail {

/// Values up to this size are sent whole, in place of a delta.
inline constexpr std::size_t delta_least = 16U << 10U;

/// How `target` is made from `base`. Both are cut into blocks at places that their content decides, so that a delta is
/// about as large as what was changed, wherever that stands.
wire::Delta make_delta(std::string_view base, std::string_view target);
/// What a delta makes of its base; nothing when it doesn't fit this base or the result isn't what it was made for.
std::optional<std::string> apply_delta(std::string_view base, const wire::Delta& delta);
/// What deltas make of a base, one after another; only the last result is made and compared with its hash, so that a
/// long chain costs about as much as its last link. Nothing for no deltas.
std::optional<std::string> apply_deltas(std::string_view base, const std::vector<const wire::Delta*>& deltas);

}  // namespace weldsail
