#pragma once
#include <cstdint>

namespace weldsail {

/// Work done by this process so far. It is counted, not timed, so that a test gives the same verdict on any machine.
struct WorkCount {
  /// Bytes given to SHA-256.
  std::uint64_t hashed = 0;
  /// Bytes allocated; 0 in a build without AddressSanitizer, which alone can count them.
  std::uint64_t allocated = 0;
};

WorkCount work_so_far();

/// What a piece of work adds to the counts.
template <class Work>
WorkCount count_work(Work&& work) {
  const auto before = work_so_far();
  work();
  const auto after = work_so_far();
  return {after.hashed - before.hashed, after.allocated - before.allocated};
}

}  // namespace weldsail
