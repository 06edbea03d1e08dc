#pragma once
#include "core/consensus/formation.hpp"

namespace weldsail {

/// Tells operators of a core that can't have as many disks as its tolerance of losses needs.
struct ShortageState {
  Moment bound = 3000;
  /// Disks that the core is to have; 0 where that isn't said.
  std::uint32_t target = 0;
  /// Since when fewer live control processes have a disk.
  std::optional<Moment> since;
  bool told = false;
};

/// Notes a shortage of disks that has lasted for two bounds, once until it is over.
void shortage_tick(ShortageState& state, const MemberState& member, const FormationState& formation, Moment now,
                   Effects& effects);

}  // namespace weldsail
