#include "core/placement/relays.hpp"

#include <tuple>

#include "core/consensus/duty.hpp"
#include "core/membership/rendezvous.hpp"

namespace weldsail {
namespace {

bool may_relay(const wire::Member& entry, const std::string& locality) {
  return entry.locality() == locality && entry.release() >= release_with_relays && !entry.leaving() &&
         static_cast<MemberPhase>(entry.state()) == MemberPhase::alive;
}

}  // namespace

Relays::Relays(const MemberState& member)
    : member_(member),
      holder_(duty_holder(member, placement_key)),
      used_(holder_ != nullptr && live_members(member, Program::data).size() > nodes_without_relays) {}

const wire::Member* Relays::of(const std::string& locality) {
  if (!used_) return nullptr;
  const auto [found, fresh] = chosen_.try_emplace(locality, nullptr);
  if (fresh) found->second = choose(locality);
  return found->second;
}

const wire::Member* Relays::choose(const std::string& locality) const {
  const auto key = digest(locality);
  const wire::Member* best = nullptr;
  // Processes with a disk run on machines of their own; the others share theirs with a data node.
  const auto rank = [&](const wire::Member& entry) {
    return std::tuple(entry.disk() != 0, rendezvous_weight(key, entry.node()), entry.node());
  };
  for (const auto* entry : live_members(member_, Program::control))
    if (entry != holder_ && may_relay(*entry, locality) && (best == nullptr || rank(*entry) > rank(*best)))
      best = entry;
  return best;
}

}  // namespace weldsail
