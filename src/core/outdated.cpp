#include "core/configuration/fetch.hpp"
#include "core/data.hpp"

namespace weldsail {
namespace {

/// Pauses until a caller comes back to a newer configuration: a part of the bound for requests by host and path, a
/// fixed time for those that name their tenant.
constexpr Moment newer_parts = 6;
constexpr Moment newer_pause = 1000;

}  // namespace

bool configuration_newer_known(const DataState& state) {
  return fetch_behind(state.news) || state.memo.wanted > state.memo.version;
}

bool configuration_outdated(const DataState& state, Moment now) {
  return memo_late(state.memo, now) || fetch_late(state.news, now);
}

Refusal refuse_unplaced(const DataState& state, int status, const char* reason) {
  if (!configuration_newer_known(state)) return {status, reason, 0};
  const auto bound = state.options.member.bound;
  return {503, "newer_configuration", state.options.dialect != nullptr ? bound / newer_parts : newer_pause};
}

}  // namespace weldsail
