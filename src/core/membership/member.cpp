#include "core/membership/member.hpp"

#include <algorithm>
#include <set>

#include "core/membership/gossip.hpp"
#include "core/membership/rendezvous.hpp"

namespace weldsail {
namespace {

constexpr Moment beats_per_bound = 10;
constexpr Moment suspects_per_bound = 3;
constexpr std::size_t watchers_per_member = 3;
constexpr std::size_t control_watchers = 4;
constexpr std::size_t strangers_alone = 3;
constexpr std::size_t tries_shared = 3;
constexpr auto control_code = static_cast<std::uint32_t>(Program::control);
constexpr Moment forget_bounds = 40;
constexpr Moment told_at_once = 64;

MemberPhase phase_of(const wire::Member& entry) { return static_cast<MemberPhase>(entry.state()); }

void change_phase(MemberState& state, MemberView& view, MemberPhase phase, Moment now, Effects& effects) {
  if (phase_of(view.entry) == phase) return;
  note(effects, "member.phase",
       {{"node", std::to_string(view.entry.node())},
        {"address", view.entry.address()},
        {"from", member_state_name(view.entry.state())},
        {"to", member_state_name(static_cast<std::uint32_t>(phase))}});
  view.entry.set_state(static_cast<std::uint32_t>(phase));
  view.changed = state.view_changed = now;
  gossip_spread(state, view.entry.node());
}

bool live(const MemberView& view) { return phase_of(view.entry) <= MemberPhase::suspect; }

/// The live members that follow this one on the ring of node numbers, which are random; a control node watches
/// the control nodes that follow it besides.
std::set<std::uint64_t> watched_nodes(const MemberState& state) {
  std::set<std::uint64_t> watched;
  const auto begin = state.others.upper_bound(state.self.node());
  const bool control = state.self.program() == control_code;
  std::size_t members = 0;
  std::size_t controls = control ? 0 : control_watchers;
  const auto take = [&](auto from, auto to) {
    for (auto item = from; item != to && (members < watchers_per_member || controls < control_watchers); ++item) {
      if (!live(item->second)) continue;
      const bool counts = control && item->second.entry.program() == control_code && controls < control_watchers;
      if (members < watchers_per_member || counts) watched.insert(item->first);
      ++members;
      if (counts) ++controls;
    }
  };
  take(begin, state.others.end());
  take(state.others.begin(), begin);
  return watched;
}

void refute(MemberState& state, const wire::Member& claim) {
  const bool stale = claim.revision() > state.self.revision() ||
                     (claim.revision() == state.self.revision() && claim.state() != state.self.state());
  if (!stale) return;
  state.self.set_revision(claim.revision() + 1);
  gossip_spread(state, state.self.node());
}

void take_entry(MemberState& state, const wire::Member& entry, Moment now, Effects& effects) {
  if (entry.node() == state.self.node()) {
    refute(state, entry);
    return;
  }
  const auto found = state.others.find(entry.node());
  if (found == state.others.end()) {
    if (static_cast<MemberPhase>(entry.state()) >= MemberPhase::broken) return;
    state.others[entry.node()] = {entry, now, now};
    state.view_changed = now;
    gossip_spread(state, entry.node());
    note(effects, "member.found", {{"node", std::to_string(entry.node())}, {"address", entry.address()}});
    return;
  }
  auto& view = found->second;
  const bool newer = entry.revision() > view.entry.revision();
  const bool worse = entry.revision() == view.entry.revision() && entry.state() > view.entry.state();
  if (!newer && !worse) return;
  const auto phase = static_cast<MemberPhase>(entry.state());
  const auto kept = phase_of(view.entry);
  view.entry = entry;
  view.entry.set_state(static_cast<std::uint32_t>(kept));
  state.view_changed = now;
  gossip_spread(state, entry.node());
  change_phase(state, view, phase, now, effects);
  if (newer && phase == MemberPhase::alive) view.heard = now;
}

void replace_at_address(MemberState& state, const wire::Envelope& envelope, Moment now, Effects& effects) {
  for (auto& [node, view] : state.others)
    if (node != envelope.from() && view.entry.address() == envelope.address())
      change_phase(state, view, MemberPhase::broken, now, effects);
}

void judge(MemberState& state, MemberView& view, Moment now, Effects& effects) {
  const auto silence = now - view.heard;
  const auto phase = phase_of(view.entry);
  if (phase == MemberPhase::alive && silence > member_suspect_after(state))
    change_phase(state, view, MemberPhase::suspect, now, effects);
  else if (phase == MemberPhase::suspect && now - view.changed > member_broken_after(state))
    change_phase(state, view, MemberPhase::broken, now, effects);
}

void forget(MemberState& state, Moment now) {
  std::erase_if(state.others, [&](const auto& item) {
    return !live(item.second) && now - item.second.changed > forget_bounds * state.options.bound;
  });
}

void tell_config(MemberState& state, Moment now) {
  if (state.config_told || now < state.next_config_told) return;
  state.config_told = true;
  const auto members = static_cast<Moment>(state.others.size());
  state.next_config_told = now + (members <= told_at_once ? 0 : members * state.options.bound);
  member_announce(state);
}

/// Tries seeds and broken members' addresses in turn; a large fleet shares the tries among its members.
void try_stranger(MemberState& state, std::size_t members, bool alone, const std::vector<wire::Known>& known,
                  Moment now, Effects& effects) {
  std::set<std::string> strangers(state.options.seeds.begin(), state.options.seeds.end());
  strangers.erase(state.self.address());
  for (const auto& [node, view] : state.others)
    if (phase_of(view.entry) == MemberPhase::broken) strangers.insert(view.entry.address());
  for (const auto& [node, view] : state.others)
    if (phase_of(view.entry) == MemberPhase::alive) strangers.erase(view.entry.address());
  const bool shared_out = mix(state.self.node() + state.turn) % (members + 1) >= tries_shared * strangers.size();
  if (strangers.empty() || (!alone && shared_out)) return;
  const auto asked = alone ? std::min(strangers_alone, strangers.size()) : 1;
  for (std::size_t count = 0; count < asked; ++count) {
    const auto place = (alone ? state.turn * asked + count : state.turn / 3) % strangers.size();
    effects.push_back(SendMessage{*std::next(strangers.begin(), static_cast<std::ptrdiff_t>(place)),
                                  gossip_ping(state, 0, PingKind::stranger, known, now)});
  }
}

}  // namespace

Moment member_beat(const MemberState& state) { return std::max<Moment>(1, state.options.bound / beats_per_bound); }
Moment member_suspect_after(const MemberState& state) { return state.options.bound / suspects_per_bound; }
Moment member_broken_after(const MemberState& state) { return member_suspect_after(state); }

void member_start(MemberState& state, std::uint64_t random, std::uint64_t disk, Moment now) {
  auto& self = state.self;
  self.set_node(mix(random) | 1U);
  self.set_revision(1);
  self.set_state(static_cast<std::uint32_t>(MemberPhase::alive));
  self.set_program(static_cast<std::uint32_t>(state.options.program));
  self.set_address(state.options.address);
  self.set_callers(state.options.callers);
  self.set_locality(state.options.locality);
  self.set_disk(disk);
  self.set_release(wire_release);
  state.last_tick = now;
  state.next_beat = now;
  gossip_spread(state, self.node());
}

void member_announce(MemberState& state) {
  state.self.set_revision(state.self.revision() + 1);
  gossip_spread(state, state.self.node());
  if (state.self.program() == control_code) state.next_beat = 0;
}

void member_config(MemberState& state, std::uint64_t version) {
  state.self.set_config_version(version);
  state.config_told = false;
}

void member_tick(MemberState& state, const std::vector<wire::Known>& known, Moment now, Effects& effects) {
  if (now - state.last_tick > 2 * member_beat(state))
    for (auto& [node, view] : state.others) view.heard = view.changed = now;
  state.last_tick = now;
  if (now < state.next_beat || state.leaving) return;
  state.next_beat = now + member_beat(state);
  ++state.turn;
  tell_config(state, now);
  const auto watched = watched_nodes(state);
  std::vector<const MemberView*> candidates;
  for (auto& [node, view] : state.others) {
    if (!live(view)) continue;
    candidates.push_back(&view);
    if (!watched.contains(node) && phase_of(view.entry) == MemberPhase::alive)
      view.heard = now;
    else
      judge(state, view, now, effects);
  }
  for (const auto node : watched)
    effects.push_back(
        SendMessage{state.others.at(node).entry.address(), gossip_ping(state, node, PingKind::watch, known, now)});
  if (!candidates.empty()) {
    const auto& partner = candidates[mix(state.self.node() ^ mix(state.turn)) % candidates.size()]->entry;
    effects.push_back(SendMessage{partner.address(), gossip_ping(state, partner.node(), PingKind::wander, known, now)});
  }
  const bool alone = std::ranges::none_of(
      candidates, [](const MemberView* view) { return phase_of(view->entry) == MemberPhase::alive; });
  if (!alone && state.turn % 3 != 0) return;
  forget(state, now);
  try_stranger(state, candidates.size(), alone, known, now, effects);
}

void member_receive(MemberState& state, const wire::Envelope& envelope, const std::vector<wire::Known>& known,
                    Moment now, Effects& effects) {
  const auto& ping = envelope.ping();
  if (ping.members_size() + ping.known_size() > 0) replace_at_address(state, envelope, now, effects);
  for (const auto& entry : ping.members()) take_entry(state, entry, now, effects);
  const auto found = state.others.find(envelope.from());
  if (found != state.others.end() && live(found->second)) {
    found->second.heard = now;
    if (envelope.to() == state.self.node() && !ping.answer() && phase_of(found->second.entry) == MemberPhase::suspect)
      change_phase(state, found->second, MemberPhase::alive, now, effects);
  }
  gossip_answer(state, envelope, known, now, effects);
}

void member_leave(MemberState& state, const std::vector<wire::Known>& known, Effects& effects) {
  state.leaving = true;
  state.self.set_state(static_cast<std::uint32_t>(MemberPhase::left));
  state.self.clear_holdings();
  member_announce(state);
  for (const auto& [node, view] : state.others)
    if (live(view))
      effects.push_back(
          SendMessage{view.entry.address(), gossip_ping(state, node, PingKind::farewell, known, state.last_tick)});
}

}  // namespace weldsail
