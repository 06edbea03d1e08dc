#include "core/consensus/formation.hpp"

#include <algorithm>

#include "core/membership/rendezvous.hpp"

namespace weldsail {
namespace {

constexpr Moment lost_bounds = 5;

enum Step : std::uint32_t { propose = 1, grant = 2, commit = 3, abandon = 4 };

void change_phase(FormationState& state, CorePhase phase, Effects& effects) {
  static constexpr const char* names[] = {"diskless", "blank", "bound", "formed"};
  note(effects, "core.phase",
       {{"from", names[static_cast<int>(state.phase)]},
        {"to", names[static_cast<int>(phase)]},
        {"cluster", std::to_string(state.core.cluster())},
        {"disks", std::to_string(state.core.disks_size())}});
  state.phase = phase;
}

std::uint64_t keep_core(FormationState& state, Effects& effects) {
  const auto token = formation_tokens + state.next_token++;
  effects.push_back(Persist{token, {{"core", state.core.SerializeAsString()}}});
  return token;
}

void send_step(const FormationState& state, const MemberState& member, Step step, Effects& effects) {
  for (const auto& disk : state.core.disks()) {
    const auto* entry = find_disk(member, disk.disk());
    if (entry == nullptr || disk.disk() == member.self.disk()) continue;
    auto envelope = member_envelope(member, entry->node());
    *envelope.mutable_form()->mutable_core() = state.core;
    envelope.mutable_form()->set_step(step);
    effects.push_back(SendMessage{entry->address(), std::move(envelope)});
  }
}

bool proposer(const FormationState& state, const MemberState& member) {
  return state.core.disks_size() > 0 && state.core.disks(0).disk() == member.self.disk();
}

void become_formed(FormationState& state, MemberState& member, Effects& effects) {
  state.core.set_formed(true);
  change_phase(state, CorePhase::formed, effects);
  member.core_tag = core_tag(state.core);
  member.self.set_cluster(state.core.cluster());
  member_announce(member);
}

bool acting(const FormationState& state, const MemberState& member) {
  return state.core.acted() && !proposer(state, member) && state.core.disks_size() > 2 &&
         state.core.disks(1).disk() == member.self.disk();
}

void bind_core(FormationState& state, const MemberState& member, const std::vector<std::uint64_t>& disks,
               std::uint64_t random, Effects& effects) {
  state.core.Clear();
  state.core.set_cluster(mix(random ^ member.self.disk()) | 1U);
  state.core.set_version(1);
  state.core.set_bound(true);
  std::uint32_t seat = 0;
  for (const auto disk : disks) {
    auto* item = state.core.add_disks();
    item->set_disk(disk);
    item->set_seat(++seat);
  }
  state.core.set_highest_seat(seat);
  state.granted.clear();
  change_phase(state, CorePhase::bound, effects);
  state.waiting[keep_core(state, effects)] = wire::Envelope();
}

void unbind(FormationState& state, Effects& effects) {
  state.core.Clear();
  state.granted.clear();
  change_phase(state, CorePhase::blank, effects);
  effects.push_back(Persist{formation_tokens + state.next_token++, {{"core", ""}}});
}

void abandon_binding(FormationState& state, const MemberState& member, Effects& effects) {
  send_step(state, member, abandon, effects);
  unbind(state, effects);
}

void take_grant(FormationState& state, MemberState& member, const wire::Envelope& envelope, Effects& effects) {
  const auto& form = envelope.form();
  if (state.phase != CorePhase::bound || form.core().cluster() != state.core.cluster()) return;
  if (!form.granted()) {
    if (!acting(state, member)) abandon_binding(state, member, effects);
    return;
  }
  state.granted.insert(envelope.disk());
  const int wanted = state.core.disks_size() - (acting(state, member) ? 1 : 0);
  if (static_cast<int>(state.granted.size()) < wanted) return;
  state.core.set_formed(true);
  state.waiting[keep_core(state, effects)] = wire::Envelope();
}

void answer_proposal(FormationState& state, const MemberState& member, const wire::Envelope& envelope,
                     Effects& effects) {
  const auto& core = envelope.form().core();
  auto answer = member_envelope(member, envelope.from());
  answer.set_address(member.self.address());
  *answer.mutable_form()->mutable_core() = core;
  answer.mutable_form()->set_step(grant);
  const bool same = state.phase == CorePhase::bound && state.core.cluster() == core.cluster();
  const bool given_up = state.phase == CorePhase::bound && !same && !state.core.acted() && core.disks_size() > 0 &&
                        state.core.disks(0).disk() == envelope.disk() && core.disks(0).disk() == envelope.disk();
  const bool blank = state.phase == CorePhase::blank && formation_may_found(state);
  answer.mutable_form()->set_granted(blank || same || given_up);
  if (!answer.form().granted()) {
    effects.push_back(SendMessage{envelope.address(), std::move(answer)});
    return;
  }
  if (same && core.acted()) state.core.set_acted(true);
  if (!same) {
    state.core = core;
    change_phase(state, CorePhase::bound, effects);
  }
  state.waiting[keep_core(state, effects)] = std::move(answer);
}

void keep_binding(FormationState& state, const MemberState& member, Moment now, Effects& effects) {
  const auto lost = std::ranges::count_if(
      state.core.disks(), [&](const wire::CoreDisk& item) { return !member_disk_live(member, item.disk()); });
  if (lost == 0)
    state.missing_since.reset();
  else if (!state.missing_since)
    state.missing_since = now;
  const bool long_lost = state.missing_since && now - *state.missing_since > lost_bounds * member.options.bound;
  const bool alone_lost = lost == 1 && !member_disk_live(member, state.core.disks(0).disk());
  const auto* first = find_disk(member, state.core.disks(0).disk());
  const bool elsewhere = first != nullptr && first->cluster() != 0 && first->cluster() != state.core.cluster();
  if (elsewhere && !state.core.acted()) return unbind(state, effects);
  if (proposer(state, member) && long_lost) return abandon_binding(state, member, effects);
  const bool second = state.core.disks_size() > 2 && state.core.disks(1).disk() == member.self.disk();
  if (second && alone_lost && long_lost && !state.core.acted()) {
    state.core.set_acted(true);
    state.granted.clear();
    state.waiting[keep_core(state, effects)] = wire::Envelope();
    return;
  }
  if (proposer(state, member) || acting(state, member)) send_step(state, member, propose, effects);
}

}  // namespace

std::uint64_t formation_start(FormationState& state, const Records& records, std::uint64_t random, bool has_disk,
                              Effects& effects) {
  if (!has_disk) return 0;
  const auto core = records.find("core");
  if (core != records.end() && !core->second.empty() && state.core.ParseFromString(core->second))
    change_phase(state, state.core.formed() ? CorePhase::formed : CorePhase::bound, effects);
  else
    change_phase(state, CorePhase::blank, effects);
  const auto disk = records.find("disk");
  formation_keep_founders(state, records, disk == records.end(), effects);
  if (disk != records.end()) return std::stoull(disk->second);
  const auto identity = mix(random ^ digest("disk")) | 1U;
  effects.push_back(Persist{formation_tokens + state.next_token++, {{"disk", std::to_string(identity)}}});
  return identity;
}

void formation_tick(FormationState& state, MemberState& member, std::uint64_t random, Moment now, Effects& effects) {
  if (now < state.next_try) return;
  state.next_try = now + member_beat(member);
  if (state.phase == CorePhase::bound) keep_binding(state, member, now, effects);
  if (state.phase == CorePhase::formed && state.core.version() == 1 &&
      (proposer(state, member) || acting(state, member))) {
    const auto lagging = std::ranges::any_of(state.core.disks(), [&](const wire::CoreDisk& disk) {
      const auto* entry = find_disk(member, disk.disk());
      return entry != nullptr && entry->cluster() == 0;
    });
    if (lagging) send_step(state, member, commit, effects);
  }
  if (state.phase != CorePhase::blank || !formation_may_found(state)) return;
  bool remembered = false;
  const auto disks = formation_disks(state, member, remembered);
  if (remembered || disks.empty() || disks.front() != member.self.disk()) return;
  bind_core(state, member, disks, random, effects);
}

void formation_receive(FormationState& state, MemberState& member, const wire::Envelope& envelope, Effects& effects) {
  const auto& form = envelope.form();
  if (form.step() == propose) answer_proposal(state, member, envelope, effects);
  if (form.step() == grant) take_grant(state, member, envelope, effects);
  const bool same = state.phase == CorePhase::bound && state.core.cluster() == form.core().cluster();
  if (form.step() == abandon && same) unbind(state, effects);
  if (form.step() == commit && same) {
    state.core.set_formed(true);
    state.waiting[keep_core(state, effects)] = wire::Envelope();
  }
}

void formation_persisted(FormationState& state, MemberState& member, const Persisted& event, Effects& effects) {
  const auto found = state.waiting.find(event.token);
  if (found == state.waiting.end()) return;
  const auto answer = std::move(found->second);
  state.waiting.erase(found);
  if (!event.kept || state.phase != CorePhase::bound) return;
  if (answer.has_form()) {
    member_send(member, answer.to(), answer, effects);
    return;
  }
  if (state.core.formed()) {
    become_formed(state, member, effects);
    if (proposer(state, member) || acting(state, member)) send_step(state, member, commit, effects);
    return;
  }
  state.granted.insert(member.self.disk());
  if (state.core.disks_size() == 1) {
    state.core.set_formed(true);
    state.waiting[keep_core(state, effects)] = wire::Envelope();
    return;
  }
  send_step(state, member, propose, effects);
}

void formation_learn(FormationState& state, MemberState& member, const wire::Core& core, Effects& effects) {
  if (!core.formed() || core_tag(core) <= core_tag(state.core)) return;
  const bool foreign = state.core.cluster() != 0 && state.core.cluster() != core.cluster();
  if (foreign || state.phase == CorePhase::bound) return;
  state.core = core;
  member.core_tag = core_tag(core);
  member.self.set_cluster(core.cluster());
  member_announce(member);
  if (core_seat(core, member.self.disk()) != 0 && member.self.disk() != 0) {
    if (state.phase != CorePhase::formed) change_phase(state, CorePhase::formed, effects);
    keep_core(state, effects);
  }
  note(effects, "core.learned",
       {{"cluster", std::to_string(core.cluster())},
        {"version", std::to_string(core.version())},
        {"disks", std::to_string(core.disks_size())},
        {"next", std::to_string(core.next_size())}});
}

}  // namespace weldsail
