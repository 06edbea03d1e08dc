#pragma once
#include "core/consensus/duty.hpp"
#include "core/consensus/formation.hpp"
#include "core/consensus/vote.hpp"

namespace weldsail {

/// The repair part: replaces lost core disks and fills new ones from those that were told first.
struct RepairState {
  Moment bound = 3000;
  /// Disks that the core grows to once spares are there; 0 for no growth.
  std::uint32_t target = 0;
  /// Absence after which a spare takes a disk's place, at once where it sits at the same address; 0 for five bounds.
  Moment replace_after = 0;
  CoreTag committed{0, 0};
  std::map<std::uint64_t, Moment> missing_since;
  std::set<std::uint64_t> copied_from;
  CoreTag copying{0, 0};
  Moment asked = 0;
  std::map<std::uint64_t, CoreTag> waiting;
  std::uint64_t next_token = 0;
};

/// Prefix of the tokens that belong to the repair.
inline constexpr std::uint64_t repair_tokens = 5ULL << 40U;

/// Proposes a set without one disk and with another (0 for none); what forbids it, or nothing.
std::string repair_set(const MemberState& member, const FormationState& formation, RegisterState& owner,
                       std::uint64_t let_go, std::uint64_t take_in, Moment now, Effects& effects);
/// The holder of the core's key: begins, ends or takes back a change of the set.
void repair_lead(RepairState& state, const MemberState& member, const FormationState& formation, RegisterState& owner,
                 Moment now, Effects& effects);
/// A disk that is being taken in: asks the old set for what it holds.
void repair_copy(RepairState& state, const MemberState& member, const FormationState& formation, Moment now,
                 Effects& effects);
/// Takes the newer of what the disks hold; a vote of two claimers counts for nobody.
void repair_merge(AcceptorState& acceptor, VoteState& vote, const wire::CopyAnswer& answer, Moment now);
/// Answers with all that this disk has promised, accepted and voted.
void repair_asked(const AcceptorState& acceptor, const VoteState& vote, const MemberState& member,
                  const wire::Envelope& envelope, Effects& effects);
/// Takes another disk's content; with a majority's the disk is filled and says so once synced.
void repair_answered(RepairState& state, AcceptorState& acceptor, VoteState& vote, const FormationState& formation,
                     const wire::Envelope& envelope, Moment now, Effects& effects);
void repair_persisted(RepairState& state, MemberState& member, const Persisted& event);

}  // namespace weldsail
