#include "core/claim.hpp"

namespace weldsail {
namespace {

void send_claim(const ClaimState& claim, const MemberState& member, const wire::Core& core, bool release,
                Effects& effects) {
  for (const auto disk : core_members(core)) {
    const auto* entry = find_disk(member, disk);
    if (entry == nullptr) continue;
    auto envelope = member_envelope(member, entry->node());
    envelope.mutable_claim()->set_key(claim.key);
    envelope.mutable_claim()->set_claimer(claim.claimer);
    envelope.mutable_claim()->set_release(release);
    effects.push_back(SendMessage{entry->address(), std::move(envelope)});
  }
}

}  // namespace

void claim_begin(ClaimState& claim, const MemberState& member, const wire::Core& core, Moment now, Effects& effects) {
  claim.begun = claim.sent = now;
  if (!core.formed()) claim.phase = ClaimPhase::unmade;
  send_claim(claim, member, core, false, effects);
}

void claim_receive(ClaimState& claim, const wire::Core& core, const wire::Envelope& envelope) {
  const auto& answer = envelope.claimed();
  if (claim.phase != ClaimPhase::asking || answer.key() != claim.key || answer.claimer() != claim.claimer) return;
  if (core_seat(core, envelope.disk()) == 0) return;
  (answer.granted() ? claim.granted : claim.refused).insert(envelope.disk());
  if (core_majority(core, claim.granted)) claim.phase = ClaimPhase::granted;
  auto left = core_members(core);
  for (const auto disk : claim.refused) left.erase(disk);
  if (!core_majority(core, left)) claim.phase = ClaimPhase::taken;
}

void claim_tick(ClaimState& claim, const MemberState& member, const wire::Core& core, Moment bound, Moment now,
                Effects& effects) {
  if (claim.phase != ClaimPhase::asking) return;
  if (now - claim.begun >= bound / 3) {
    claim.phase = claim.refused.empty() ? ClaimPhase::unmade : ClaimPhase::taken;
    return;
  }
  if (now - claim.sent < bound / 8) return;
  claim.sent = now;
  send_claim(claim, member, core, false, effects);
}

void claim_release(const ClaimState& claim, const MemberState& member, const wire::Core& core, Effects& effects) {
  send_claim(claim, member, core, true, effects);
}

}  // namespace weldsail
