#pragma once
#include <algorithm>
#include <array>
#include <cstdint>

#include "core/event.hpp"

namespace weldsail {

/// Times counted by buckets with these upper bounds, in milliseconds; one more bucket takes what is longer.
template <const auto& bounds>
struct TimeHistogram {
  std::array<std::uint64_t, bounds.size() + 1> counts{};
  Moment sum = 0;

  void add(Moment time) {
    const auto bucket = std::ranges::lower_bound(bounds, time) - bounds.begin();
    ++counts[static_cast<std::size_t>(bucket)];
    sum += time;
  }
};

}  // namespace weldsail
