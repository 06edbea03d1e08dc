#include "core/placement/store.hpp"

#include <algorithm>

namespace weldsail {
namespace {

/// Loads that may begin in a window beyond the rate (users' rule of the ceiling).
constexpr double beyond_rate = 3;
constexpr double milliseconds = 1000;

double margin(const StoreShare& share, const Limits& limits) {
  const auto window = static_cast<double>(limits.ceiling_window) / milliseconds;
  return std::max(0.0, (limits.ceiling_overshoot - 1) * share.loads_per_s * window) + beyond_rate;
}

/// Loads that may be saved up. The other half of the margin is for loads in doubt.
double burst(const StoreShare& share, const Limits& limits) { return margin(share, limits) / 2; }

void fill(StoreShare& share, const Limits& limits, Moment now) {
  const auto passed = static_cast<double>(std::max<Moment>(0, now - share.filled)) / milliseconds;
  const auto most = burst(share, limits);
  const auto saved = share.ready + passed * share.loads_per_s;
  if (share.wanted) share.forgone += std::max(0.0, saved - most);
  share.ready = std::min(most, saved);
  share.filled = now;
}

}  // namespace

void store_begin(StoreShare& share, Moment now) { share = {.loads_per_s = share.loads_per_s, .filled = now}; }

void store_rate(StoreShare& share, const PathConfig& paths, const Limits& limits, Moment now) {
  double rate = 0;
  for (const auto& [name, service] : paths.services)
    if (service.loads_per_s > 0) rate = rate > 0 ? std::min(rate, service.loads_per_s) : service.loads_per_s;
  fill(share, limits, now);
  share.loads_per_s = rate;
}

bool store_allows(StoreShare& share, const Limits& limits, std::size_t doubtful, Moment now) {
  fill(share, limits, now);
  const auto spare = margin(share, limits) - burst(share, limits);
  return share.ready >= 1 + std::max(0.0, static_cast<double>(doubtful) - std::max(0.0, spare - 1));
}

void store_take(StoreShare& share) { share.ready -= 1; }

}  // namespace weldsail
