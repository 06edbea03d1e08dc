#include "core/data.hpp"

namespace weldsail {

void claim_settle(DataState& state, std::uint64_t request, Moment now, Effects& effects) {
  const auto& claim = *state.carries.at(request).claim;
  if (claim.phase == ClaimPhase::asking) return;
  state.claiming.erase(request);
  if (claim.phase == ClaimPhase::granted) {
    carry_move(state, request, now, effects);
    return;
  }
  claim_release(claim, state.member, state.formation.core, effects);
  const bool taken = claim.phase == ClaimPhase::taken;
  if (taken) {
    ++state.totals.unknown;
    refuse_caller(request, 409, "key_used", "unknown", 0, effects);
  } else {
    ++state.totals.not_run;
    refuse_caller(request, 503, "no_claim", "not_run", 1, effects);
  }
  carry_drop(state, request, now, effects);
}

void claims_receive(DataState& state, const wire::Envelope& envelope, Moment now, Effects& effects) {
  for (const auto request : state.claiming) {
    auto& claim = *state.carries.at(request).claim;
    if (claim.claimer != envelope.claimed().claimer()) continue;
    claim_receive(claim, state.formation.core, envelope);
    claim_settle(state, request, now, effects);
    return;
  }
}

void claims_tick(DataState& state, Moment now, Effects& effects) {
  const auto claiming = state.claiming;
  for (const auto request : claiming) {
    claim_tick(*state.carries.at(request).claim, state.member, state.formation.core, state.options.member.bound, now,
               effects);
    claim_settle(state, request, now, effects);
  }
}

}  // namespace weldsail
