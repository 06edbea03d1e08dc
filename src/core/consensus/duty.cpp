#include "core/consensus/duty.hpp"

#include <algorithm>

#include "core/membership/rendezvous.hpp"

namespace weldsail {
namespace {

constexpr Moment staggers_per_bound = 6;

std::size_t own_rank(const DutyState& state, const MemberState& member, const wire::Core& core, const std::string& key,
                     const wire::Member* silent) {
  std::vector<std::uint64_t> candidates;
  for (const auto* entry : live_members(member, Program::control))
    if (entry != silent && !entry->leaving() && core_old(core, entry->disk()) &&
        !state.drained.contains(entry->address()))
      candidates.push_back(entry->node());
  const auto order = rendezvous_order(digest(key), std::move(candidates));
  return static_cast<std::size_t>(std::ranges::find(order, member.self.node()) - order.begin());
}

std::uint64_t claimed_epoch(const wire::Member& entry, const std::string& key) {
  for (const auto& holding : entry.holdings())
    if (holding.key() == key) return holding.epoch();
  return 0;
}

/// One who hears no majority can't win it, and its tries would only hold the others up. What others say of a process
/// that is alive doesn't count: in a cut in one direction they are heard, and its own answers aren't.
bool hears_majority(const DutyState& state, const MemberState& member, const wire::Core& core, Moment now) {
  std::set<std::uint64_t> heard;
  for (const auto disk : core_members(core)) {
    const auto found = state.heard.find(disk);
    const bool lately = found != state.heard.end() && now - found->second < state.bound;
    if (member_disk_live(member, disk) && (lately || disk == member.self.disk())) heard.insert(disk);
  }
  return core_majority(core, heard);
}

// A holder asks every core disk for its consent four times a lease: one that doesn't is gone before its pings tell.
bool holder_silent(const DutyState& state, const MemberState& member, const AcceptorState& acceptor,
                   const std::string& key, const wire::Member* holder, Moment now) {
  if (holder->node() == member.self.node()) return false;
  const auto granted = acceptor.granted_at.find(key);
  if (granted == acceptor.granted_at.end()) return false;
  const auto lease = lease_length(state.bound);
  return now - std::max(granted->second, acceptor.known_since) > lease + lease / 4;
}

}  // namespace

const wire::Member* duty_holder(const MemberState& member, const std::string& key) {
  const wire::Member* holder = nullptr;
  std::uint64_t highest = 0;
  for (const auto* entry : live_members(member, Program::control)) {
    const auto epoch = claimed_epoch(*entry, key);
    if (epoch <= highest) continue;
    highest = epoch;
    holder = entry;
  }
  return holder;
}

bool duty_excluded(const DutyState& state, const MemberState& member, const wire::Core& core) {
  if (!state.drained.contains(member.self.address())) return false;
  return std::ranges::any_of(live_members(member, Program::control), [&](const wire::Member* entry) {
    return core_old(core, entry->disk()) && !entry->leaving() && !state.drained.contains(entry->address());
  });
}

bool duty_wanted(DutyState& state, const MemberState& member, const wire::Core& core, RegisterState& owner,
                 const AcceptorState& acceptor, Moment now) {
  auto& view = state.views[owner.key];
  const auto* holder = duty_holder(member, owner.key);
  if (holder != nullptr) {
    const auto epoch = claimed_epoch(*holder, owner.key);
    // Of the first holder that a starting process hears of it doesn't know since when.
    const auto changed = view.epoch == 0 ? state.started - state.bound : now;
    if (epoch > view.epoch) view = {holder->node(), epoch, changed, std::nullopt, std::nullopt};
    owner.seen_epoch = std::max(owner.seen_epoch, epoch);
    if (!holder_silent(state, member, acceptor, owner.key, holder, now)) {
      view.vacant_since.reset();
      return false;
    }
  }
  if (!core.formed() || !core_old(core, member.self.disk())) return false;
  if (member.leaving || member.self.leaving()) return false;
  if (duty_excluded(state, member, core) || !hears_majority(state, member, core, now)) return false;
  if (state.behind && now - *state.behind < state.bound) return false;
  const bool all_seen = std::ranges::all_of(
      core.disks(), [&](const wire::CoreDisk& item) { return member_disk_live(member, item.disk()); });
  if (!all_seen && now - state.started < state.bound) return false;
  if (!view.vacant_since) view.vacant_since = now;
  if (view.epoch != 0 && now - view.changed < state.bound) return false;
  if (view.tried_elsewhere && now - *view.tried_elsewhere < state.bound) return false;
  const auto rank = static_cast<Moment>(own_rank(state, member, core, owner.key, holder));
  if (now - *view.vacant_since < rank * state.bound / staggers_per_bound) return false;
  if (now - owner.since < state.bound / staggers_per_bound) return false;
  return owner.phase == OwnerPhase::idle;
}

void duty_heard(DutyState& state, const wire::Core& core, std::uint64_t disk, Moment now) {
  if (core_seat(core, disk) != 0) state.heard[disk] = now;
}

void duty_tried(DutyState& state, const std::string& key, Moment now) { state.views[key].tried_elsewhere = now; }

void duty_claim(MemberState& member, const std::map<std::string, RegisterState>& owners) {
  wire::Member claimed = member.self;
  claimed.clear_holdings();
  for (const auto& [key, owner] : owners) {
    if (owner.phase != OwnerPhase::holding) continue;
    auto* holding = claimed.add_holdings();
    holding->set_key(key);
    holding->set_epoch(owner.epoch);
  }
  if (claimed.SerializeAsString() == member.self.SerializeAsString()) return;
  member.self = std::move(claimed);
  member_announce(member);
}

}  // namespace weldsail
