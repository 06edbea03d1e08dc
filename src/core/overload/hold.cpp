#include "core/overload/hold.hpp"

#include <algorithm>
#include <cmath>

namespace weldsail {
namespace {

constexpr double newest_share = 0.2;
constexpr std::uint64_t seen_least = 8;
constexpr int retry_most = 60;

std::size_t bytes_of(const std::map<std::string, std::size_t>& shares, const std::string& name) {
  const auto found = shares.find(name);
  return found == shares.end() ? 0 : found->second;
}

void take_away(std::map<std::string, std::size_t>& shares, const std::string& name, std::size_t size) {
  const auto found = shares.find(name);
  if (found == shares.end()) return;
  found->second -= std::min(found->second, size);
  if (found->second == 0) shares.erase(found);
}

}  // namespace

bool hold_fits(const HoldState& state, const std::string& pool, const std::string& tenant, std::size_t size) {
  if (state.bytes + size > state.limit) return false;
  const auto free = state.limit - state.bytes;
  return bytes_of(state.pool_bytes, pool) + size <= free && bytes_of(state.tenant_bytes, tenant) + size <= free;
}

void hold_add(HoldState& state, const std::string& pool, const std::string& tenant, std::size_t size) {
  state.bytes += size;
  state.pool_bytes[pool] += size;
  state.tenant_bytes[tenant] += size;
  if (++state.tenant_requests[tenant] == 1) state.served[tenant] = std::max(state.served[tenant], state.turn);
}

void hold_remove(HoldState& state, const std::string& pool, const std::string& tenant, std::size_t size) {
  state.bytes -= std::min(state.bytes, size);
  take_away(state.pool_bytes, pool, size);
  take_away(state.tenant_bytes, tenant, size);
  take_away(state.tenant_requests, tenant, 1);
}

void hold_left(HoldState& state, const std::string& pool, const std::string& tenant, double cost, bool more_wait,
               Moment now) {
  state.turn = std::max(state.turn, state.served[tenant]);
  state.served[tenant] += cost;
  auto& pace = state.paces[pool];
  if (pace.last) {
    const auto interval = static_cast<double>(now - *pace.last);
    pace.interval = pace.seen == 0 ? interval : pace.interval * (1 - newest_share) + interval * newest_share;
    ++pace.seen;
  }
  pace.last = more_wait ? std::optional<Moment>(now) : std::nullopt;
}

std::optional<Moment> hold_wait(const HoldState& state, const std::string& pool, std::size_t length) {
  const auto found = state.paces.find(pool);
  if (found == state.paces.end() || found->second.seen < seen_least) return std::nullopt;
  return static_cast<Moment>(found->second.interval * static_cast<double>(length));
}

int hold_retry(const HoldState& state, const std::string& pool, std::size_t length, std::uint64_t spread) {
  const auto wait = hold_wait(state, pool, length);
  const auto seconds = std::clamp(wait ? static_cast<int>((*wait + 999) / 1000) : 2, 1, retry_most);
  return seconds + static_cast<int>(spread % static_cast<std::uint64_t>(seconds + 1));
}

}  // namespace weldsail
