#pragma once
#include "core/consensus/register.hpp"

namespace weldsail {

/// A proposal of a value; where it is large, with the delta that makes it from `former`, the value under `base`.
Proposal make_proposal(std::uint64_t version, std::string value, const std::string& former, AcceptedTag base);
/// Sends the proposal to the core's disks that haven't granted it: the delta to those that have accepted its base, else
/// the whole value.
void send_proposal(RegisterState& state, const MemberState& member, const wire::Core& core, Moment now,
                   Effects& effects);
/// Takes note of what a disk that takes deltas has accepted.
void proposal_accepted(RegisterState& state, const wire::Envelope& envelope);
/// Takes the answer of a disk that has something else than the delta's base, and sends it the whole value.
void proposal_lacks(RegisterState& state, const MemberState& member, const wire::Envelope& envelope, Effects& effects);

}  // namespace weldsail
