#include "core/consensus/proposal.hpp"

#include "core/delta.hpp"

namespace weldsail {
namespace {

/// True for a process that takes deltas and has the proposal's base, or will have it with what was sent to it before.
bool has_base(const RegisterState& state, const wire::Member& entry) {
  const auto& proposal = *state.proposal;
  if (!proposal.delta || proposal.lacking.contains(entry.disk())) return false;
  const auto accepted = state.accepted_at.find(entry.disk());
  if (accepted == state.accepted_at.end() || accepted->second.node != entry.node()) return false;
  return accepted->second.tag == proposal.base || accepted->second.tag == AcceptedTag{state.epoch, proposal.version};
}

void presume_accepted(RegisterState& state, const wire::Member& entry) {
  const auto accepted = state.accepted_at.find(entry.disk());
  if (accepted != state.accepted_at.end() && accepted->second.node == entry.node())
    accepted->second.tag = {state.epoch, state.proposal->version};
}

wire::Envelope proposal_envelope(const RegisterState& state, const MemberState& member, std::uint64_t node,
                                 bool as_delta) {
  auto envelope = member_envelope(member, node);
  auto* accept = envelope.mutable_accept();
  accept->set_key(state.key);
  accept->set_epoch(state.epoch);
  accept->set_version(state.proposal->version);
  if (!as_delta) {
    accept->set_value(state.proposal->value);
    return envelope;
  }
  *accept->mutable_delta() = *state.proposal->delta;
  accept->set_base_epoch(state.proposal->base.first);
  accept->set_base_version(state.proposal->base.second);
  return envelope;
}

}  // namespace

Proposal make_proposal(std::uint64_t version, std::string value, const std::string& former, AcceptedTag base) {
  Proposal proposal{version, std::move(value), {}, 0};
  if (proposal.value.size() <= delta_least || former.empty()) return proposal;
  auto delta = make_delta(former, proposal.value);
  if (delta.ByteSizeLong() < proposal.value.size()) proposal.delta = std::move(delta);
  proposal.base = base;
  return proposal;
}

void send_proposal(RegisterState& state, const MemberState& member, const wire::Core& core, Moment now,
                   Effects& effects) {
  state.proposal->sent = now;
  for (const auto disk : core_members(core)) {
    const auto* entry = find_disk(member, disk);
    if (entry == nullptr || state.proposal->granted.contains(disk)) continue;
    auto envelope = proposal_envelope(state, member, entry->node(), has_base(state, *entry));
    effects.push_back(SendMessage{entry->address(), std::move(envelope)});
    presume_accepted(state, *entry);
  }
}

void proposal_accepted(RegisterState& state, const wire::Envelope& envelope) {
  auto& accepted = state.accepted_at[envelope.disk()];
  const AcceptedTag tag{envelope.accepted().epoch(), envelope.accepted().version()};
  // An answer to an earlier proposal says nothing of those that were sent since.
  if (accepted.node == envelope.from() && accepted.tag.first == tag.first && accepted.tag.second > tag.second) return;
  accepted = {envelope.from(), tag};
}

void proposal_lacks(RegisterState& state, const MemberState& member, const wire::Envelope& envelope, Effects& effects) {
  if (envelope.accepted().version() != state.proposal->version) return;
  if (!state.proposal->lacking.insert(envelope.disk()).second) return;
  auto whole = proposal_envelope(state, member, envelope.from(), false);
  effects.push_back(SendMessage{envelope.address(), std::move(whole)});
}

}  // namespace weldsail
