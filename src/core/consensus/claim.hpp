#pragma once
#include <optional>
#include <set>

#include "core/consensus/register.hpp"

namespace weldsail {

/// Where a claim stands.
enum class ClaimPhase { asking, granted, taken, unmade };

/// A key that a request must have before it may run.
struct ClaimState {
  std::string key;
  std::string claimer;
  ClaimPhase phase = ClaimPhase::asking;
  std::set<std::uint64_t> granted;
  std::map<std::uint64_t, std::string> refused;
  Moment begun = 0;
  Moment sent = 0;
};

/// Asks every core disk for its vote.
void claim_begin(ClaimState& claim, const MemberState& member, const wire::Core& core, Moment now, Effects& effects);
void claim_receive(ClaimState& claim, const wire::Core& core, const wire::Envelope& envelope);
/// Asks again once, and ends a claim that finds no majority in a third of the bound.
void claim_tick(ClaimState& claim, const MemberState& member, const wire::Core& core, Moment bound, Moment now,
                Effects& effects);
/// Gives votes back; only for a request that certainly never runs.
void claim_release(const ClaimState& claim, const MemberState& member, const wire::Core& core, Effects& effects);

}  // namespace weldsail
