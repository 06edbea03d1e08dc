#include "core/configuration/fetch.hpp"
#include "core/data.hpp"

/// What a data node may do under the configuration in force, and what a newer one may forbid.
namespace weldsail {
namespace {

/// Pauses until a caller comes back to a newer configuration: a part of the bound for requests by host and path, a
/// fixed time for those that name their tenant.
constexpr Moment newer_parts = 6;
constexpr Moment newer_pause = 1000;
/// Clocks run within a hundredth of real time, and a proof's age is told by two of them.
constexpr Moment clock_error_parts = 50;

}  // namespace

bool configuration_newer_known(const DataState& state) {
  return fetch_behind(state.news) || state.memo.wanted > state.memo.version;
}

bool configuration_proved(const DataState& state, Moment arrived) {
  const auto adopt = state.options.limits.adopt;
  return state.current_as_of && *state.current_as_of >= arrived - (adopt - adopt / clock_error_parts);
}

bool configuration_outdated(const DataState& state, Moment arrived, Moment now) {
  return memo_late(state.memo, now) || (configuration_newer_known(state) && !configuration_proved(state, arrived));
}

Refusal refuse_unplaced(DataState& state, int status, const char* reason, Moment arrived, Moment now,
                        Effects& effects) {
  const bool newer = configuration_newer_known(state);
  const bool proved = configuration_proved(state, arrived);
  if (!newer && !proved) ++state.unproved_refusals[status];
  note(effects, "request.unplaced",
       {{"reason", reason},
        {"version", std::to_string(state.document_version)},
        {"known", std::to_string(fetch_known_version(state.news))},
        {"proof_age_ms", state.current_as_of ? std::to_string(now - *state.current_as_of) : "none"},
        {"waited_ms", std::to_string(now - arrived)}});
  if (!newer && proved) return {status, reason, 0};
  const auto bound = state.options.member.bound;
  const auto pause = state.options.dialect != nullptr ? bound / newer_parts : newer_pause;
  return {503, newer ? "newer_configuration" : "configuration_unproved", pause};
}

}  // namespace weldsail
