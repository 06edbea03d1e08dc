#pragma once
#include "core/membership/member.hpp"

namespace weldsail {

/// What a ping is for.
enum class PingKind {
  /// To a member that this node watches.
  watch,
  /// To any member, for rumours and versions.
  wander,
  /// To an address without knowing who is there; carries the own entry.
  stranger,
  /// Tells the own entry only.
  farewell
};

/// Makes the entry of a node spread with the next pings.
void gossip_spread(MemberState& state, std::uint64_t node);
/// A ping that is to be answered, except for a farewell.
wire::Envelope gossip_ping(MemberState& state, std::uint64_t target, PingKind kind,
                           const std::vector<wire::Known>& known, Moment now);
/// Answers a ping where it asks for one, with all members where one side may lack some.
void gossip_answer(MemberState& state, const wire::Envelope& envelope, const std::vector<wire::Known>& known,
                   Moment now, Effects& effects);

}  // namespace weldsail
