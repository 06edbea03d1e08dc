#include <algorithm>

#include "core/membership/member.hpp"

namespace weldsail {
namespace {

MemberPhase phase_of(const wire::Member& entry) { return static_cast<MemberPhase>(entry.state()); }

}  // namespace

const char* member_state_name(std::uint32_t state) {
  static constexpr const char* names[] = {"unknown", "alive", "suspect", "broken", "left"};
  return names[state < std::size(names) ? state : 0];
}

wire::Envelope member_envelope(const MemberState& state, std::uint64_t target) {
  wire::Envelope envelope;
  envelope.set_release(wire_release);
  envelope.set_cluster(state.self.cluster());
  envelope.set_from(state.self.node());
  envelope.set_to(target);
  envelope.set_address(state.self.address());
  envelope.set_disk(state.self.disk());
  envelope.set_core_epoch(state.core_tag.first);
  envelope.set_core_version(state.core_tag.second);
  return envelope;
}

void member_send(const MemberState& state, std::uint64_t node, wire::Envelope envelope, Effects& effects) {
  if (node == state.self.node()) {
    effects.push_back(SendMessage{state.self.address(), std::move(envelope)});
    return;
  }
  const auto found = state.others.find(node);
  if (found != state.others.end()) effects.push_back(SendMessage{found->second.entry.address(), std::move(envelope)});
}

std::vector<const wire::Member*> live_members(const MemberState& state, Program program) {
  std::vector<const wire::Member*> live;
  const auto code = static_cast<std::uint32_t>(program);
  if (state.self.program() == code && !state.leaving) live.push_back(&state.self);
  for (const auto& [node, view] : state.others)
    if (view.entry.program() == code && phase_of(view.entry) <= MemberPhase::suspect) live.push_back(&view.entry);
  return live;
}

const wire::Member* find_disk(const MemberState& state, std::uint64_t disk) {
  if (state.self.disk() == disk) return &state.self;
  const wire::Member* best = nullptr;
  for (const auto& [node, view] : state.others)
    if (view.entry.disk() == disk && (best == nullptr || view.entry.state() < best->state())) best = &view.entry;
  return best;
}

bool member_live(const MemberState& state, std::uint64_t node) {
  if (node == state.self.node()) return !state.leaving;
  const auto found = state.others.find(node);
  return found != state.others.end() && phase_of(found->second.entry) <= MemberPhase::suspect;
}

bool member_disk_live(const MemberState& state, std::uint64_t disk) {
  const auto* entry = find_disk(state, disk);
  return entry != nullptr && member_live(state, entry->node());
}

std::vector<std::uint64_t> member_blank_disks(const MemberState& state, bool& remembered) {
  std::vector<std::uint64_t> disks;
  for (const auto* entry : live_members(state, Program::control)) {
    if (entry->cluster() != 0) remembered = true;
    if (entry->disk() != 0) disks.push_back(entry->disk());
  }
  for (const auto* entry : live_members(state, Program::data))
    if (entry->cluster() != 0) remembered = true;
  std::ranges::sort(disks);
  return disks;
}

}  // namespace weldsail
