#include "core/consensus/departure.hpp"

#include <algorithm>

namespace weldsail {
namespace {

bool leaving(const MemberState& member, std::uint64_t disk) {
  const auto* entry = find_disk(member, disk);
  return entry != nullptr && entry->leaving();
}

/// A process that starts knows its cluster a little later; it counts as a spare already.
bool spare_in_sight(const MemberState& member, const wire::Core& core) {
  return std::ranges::any_of(live_members(member, Program::control), [&](const wire::Member* entry) {
    return entry->disk() != 0 && !entry->leaving() && core_seat(core, entry->disk()) == 0 &&
           (entry->cluster() == 0 || entry->cluster() == core.cluster());
  });
}

/// True when the core has a majority once this process, and each leaving one of a lower disk number, has ended: so
/// processes that are told to leave at once end one after another. With only leaving ones there is nobody to wait for.
bool majority_remains(const MemberState& member, const wire::Core& core) {
  std::set<std::uint64_t> remaining;
  bool any_stays = false;
  for (const auto disk : core_members(core)) {
    if (disk == member.self.disk() || !member_disk_live(member, disk)) continue;
    const bool leaves = leaving(member, disk);
    any_stays = any_stays || !leaves;
    if (!leaves || disk > member.self.disk()) remaining.insert(disk);
  }
  return !any_stays || core_majority(core, remaining);
}

}  // namespace

void departure_begin(DepartureState& state, MemberState& member, Moment now) {
  state.deadline = now + state.within;
  member.self.set_leaving(true);
  member_announce(member);
}

bool departure_due(const DepartureState& state, const MemberState& member, const wire::Core& core, Moment now) {
  if (!state.deadline) return false;
  if (now >= *state.deadline) return true;
  if (!core.formed() || member.self.disk() == 0 || core_seat(core, member.self.disk()) == 0) return true;
  // Others that were told at the same moment are heard of within a beat.
  if (now - (*state.deadline - state.within) < member_beat(member)) return false;
  if (core.next_size() > 0 || spare_in_sight(member, core)) return false;
  return majority_remains(member, core);
}

}  // namespace weldsail
