#include "core/controlparts.hpp"

namespace weldsail {
namespace {

/// Operators that speak the dialect move on after this part of the bound.
constexpr Moment asks_per_bound = 3;

}  // namespace

ControlState make_control(const ControlOptions& options) {
  ControlState state;
  state.options = options;
  state.member.options = options.member;
  state.member.options.program = Program::control;
  const auto bound = options.member.bound;
  state.formation.core_size = options.founders.empty() ? options.core_size : 0;
  state.formation.founders = options.founders;
  state.repair.target = state.shortage.target = options.core_target;
  state.repair.replace_after = options.replace_after;
  state.departure.within = options.leave_within;
  state.config_duty.dialect = options.dialect;
  state.config_duty.remembered = options.remembered;
  if (options.dialect != nullptr) state.operate.patience = bound / asks_per_bound;
  state.shortage.bound = state.recover.bound = state.duty.bound = state.repair.bound = state.vote.bound =
      state.news.bound = state.currency.bound = state.config_duty.bound = state.operate.bound = state.steward.bound =
          state.placing.bound = bound;
  state.relay = make_relay(bound);
  bulk_configure(state.bulk, bound);
  state.vote.kept = options.claims_kept;
  if (options.dialect != nullptr) state.news.control_only = {placement_key};
  state.steward.platform.address = options.platform;
  state.steward.platform.pace = options.platform_pace;
  for (const auto* key : {config_key, placement_key, core_key}) {
    state.owners[key].key = key;
    state.owners[key].bound = bound;
  }
  return state;
}

}  // namespace weldsail
