#include "core/consensus/shortage.hpp"

#include <algorithm>

namespace weldsail {
namespace {

constexpr Moment told_after_bounds = 2;

std::uint32_t live_disks(const MemberState& member) {
  const auto live = live_members(member, Program::control);
  return static_cast<std::uint32_t>(
      std::ranges::count_if(live, [](const wire::Member* entry) { return entry->disk() != 0; }));
}

}  // namespace

void shortage_tick(ShortageState& state, const MemberState& member, const FormationState& formation, Moment now,
                   Effects& effects) {
  if (state.target == 0) return;
  const auto disks = live_disks(member);
  if (disks >= state.target) {
    state.since.reset();
    state.told = false;
    return;
  }
  if (!state.since) state.since = now;
  if (state.told || now - *state.since < told_after_bounds * state.bound) return;
  state.told = true;
  note(effects, "core.too_few_disks",
       {{"wanted", std::to_string(state.target)},
        {"disks", std::to_string(disks)},
        {"voters", std::to_string(formation.core.formed() ? formation.core.disks_size() : 0)},
        {"founders", std::to_string(formation.founders.size())}},
       true);
}

}  // namespace weldsail
