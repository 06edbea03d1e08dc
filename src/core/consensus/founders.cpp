#include <algorithm>
#include <sstream>

#include "core/consensus/formation.hpp"

namespace weldsail {

bool formation_may_found(const FormationState& state) { return state.core_size != 0 || !state.founders.empty(); }

std::vector<std::uint64_t> formation_disks(const FormationState& state, const MemberState& member, bool& remembered) {
  if (state.founders.empty()) {
    auto disks = member_blank_disks(member, remembered);
    return disks.size() == state.core_size ? disks : std::vector<std::uint64_t>();
  }
  member_blank_disks(member, remembered);
  std::vector<std::uint64_t> disks;
  std::size_t without_vote = 0;
  for (const auto* entry : live_members(member, Program::control)) {
    if (std::ranges::find(state.founders, entry->address()) == state.founders.end()) continue;
    if (entry->disk() == 0)
      ++without_vote;
    else
      disks.push_back(entry->disk());
  }
  std::ranges::sort(disks);
  // Whether a founder has a disk follows from its settings, so all that see every founder name the same disks.
  const bool all_there = disks.size() + without_vote == state.founders.size();
  return all_there ? disks : std::vector<std::uint64_t>();
}

void formation_keep_founders(FormationState& state, const Records& records, bool fresh, Effects& effects) {
  std::string text;
  for (const auto& founder : state.founders) text += founder + "\n";
  if (fresh && !text.empty()) effects.push_back(Persist{formation_tokens + state.next_token++, {{"founders", text}}});
  const auto kept = records.find("founders");
  if (fresh || kept == records.end()) return;
  state.founders.clear();
  std::istringstream lines(kept->second);
  for (std::string line; std::getline(lines, line);) state.founders.push_back(line);
}

}  // namespace weldsail
