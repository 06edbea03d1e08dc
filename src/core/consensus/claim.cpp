#include "core/consensus/claim.hpp"

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

bool claim_lost(const ClaimState& claim, const wire::Core& core, bool patient) {
  std::map<std::string, std::set<std::uint64_t>> rivals;
  std::set<std::uint64_t> unheard = core_members(core);
  for (const auto disk : claim.granted) unheard.erase(disk);
  for (const auto& [disk, holder] : claim.refused) unheard.erase(disk);
  for (const auto& [disk, holder] : claim.refused) rivals[holder].insert(disk);
  bool smallest = true;
  for (const auto& [holder, disks] : rivals) {
    if (core_majority(core, disks)) return true;
    if (holder < claim.claimer) smallest = false;
  }
  return (unheard.empty() || !patient) && !smallest;
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
  if (answer.granted()) {
    claim.granted.insert(envelope.disk());
    claim.refused.erase(envelope.disk());
  } else if (!claim.granted.contains(envelope.disk())) {
    claim.refused[envelope.disk()] = answer.holder();
  }
  if (core_majority(core, claim.granted)) {
    claim.phase = ClaimPhase::granted;
    return;
  }
  if (claim_lost(claim, core, true)) claim.phase = ClaimPhase::taken;
}

void claim_tick(ClaimState& claim, const MemberState& member, const wire::Core& core, Moment bound, Moment now,
                Effects& effects) {
  if (claim.phase != ClaimPhase::asking) return;
  if (now - claim.begun >= bound / 3) {
    claim.phase = claim.refused.empty() ? ClaimPhase::unmade : ClaimPhase::taken;
    return;
  }
  if (now - claim.begun >= bound / 6 && claim_lost(claim, core, false)) {
    claim.phase = ClaimPhase::taken;
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
