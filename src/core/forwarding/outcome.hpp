#pragma once
#include <expected>
#include <string>
#include <system_error>

namespace weldsail {

/// Why something could not be had.
enum class Breakdown {
  malformed = 1,
  too_large,
  not_found,
  refused,
  disk_corrupt,
  disk_unwritable,
  disk_newer,
  address_unusable,
  pipe_broken,
  past_due,
};

/// Category of `Breakdown` values.
const std::error_category& breakdown_category();
std::error_code make_error_code(Breakdown breakdown);

template <typename Value>
using Outcome = std::expected<Value, std::error_code>;

/// Shorthand for an outcome that broke down.
inline std::unexpected<std::error_code> broke_down(Breakdown breakdown) {
  return std::unexpected(make_error_code(breakdown));
}

}  // namespace weldsail

template <>
struct std::is_error_code_enum<weldsail::Breakdown> : std::true_type {};
