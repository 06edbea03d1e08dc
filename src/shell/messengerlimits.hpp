#pragma once
#include <cstddef>
#include <cstdint>

/// Bounds on the connections between processes; times in milliseconds.
namespace weldsail::messenger_limits {

inline constexpr std::size_t queue_most = 8U << 20U;
/// Bytes that may wait on all connections together. Large messages leave the last eighth to small ones.
inline constexpr std::size_t sum_most = 4 * queue_most;
inline constexpr std::size_t large_sum_most = sum_most - sum_most / 8;
inline constexpr std::size_t small_most = 16U << 10U;
inline constexpr std::size_t queue_kept = 16U << 10U;
inline constexpr std::size_t inbound_most = 1024;
inline constexpr std::int64_t stalled_most = 3000;
inline constexpr std::int64_t idle_most = 30000;
inline constexpr std::int64_t silent_most = 120000;
inline constexpr std::int64_t sweep_pause = 250;
inline constexpr int unacknowledged_most = 2000;
inline constexpr std::int64_t framing_kept = 60000;

}  // namespace weldsail::messenger_limits
