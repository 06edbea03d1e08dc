#include "core/consensus/register.hpp"

#include <algorithm>

#include "core/consensus/proposal.hpp"

namespace weldsail {
namespace {

constexpr Moment leases_per_bound = 3;
constexpr Moment checks_per_lease = 4;
constexpr Moment give_up_leases = 3;

void change_phase(RegisterState& state, OwnerPhase phase, Moment now, Effects& effects) {
  static constexpr const char* names[] = {"idle", "preparing", "adopting", "holding"};
  note(effects, "register.phase",
       {{"key", state.key},
        {"from", names[static_cast<int>(state.phase)]},
        {"to", names[static_cast<int>(phase)]},
        {"epoch", std::to_string(state.epoch)},
        {"version", std::to_string(state.version)}});
  state.phase = phase;
  state.since = now;
}

void send_core(const MemberState& member, const wire::Core& core, const wire::Envelope& envelope, Effects& effects) {
  for (const auto disk : core_members(core)) {
    const auto* entry = find_disk(member, disk);
    if (entry == nullptr) continue;
    auto copy = envelope;
    copy.set_to(entry->node());
    effects.push_back(SendMessage{entry->address(), std::move(copy)});
  }
}

void lose(RegisterState& state, std::uint64_t promised, Moment now, Effects& effects) {
  state.seen_epoch = std::max(state.seen_epoch, promised);
  state.proposal.reset();
  change_phase(state, OwnerPhase::idle, now, effects);
}

RegisterSignal take_promise(RegisterState& state, const MemberState& member, const wire::Core& core,
                            const wire::Envelope& envelope, Moment now, Effects& effects) {
  const auto& promise = envelope.promise();
  if (promise.epoch() != state.epoch) return RegisterSignal::none;
  // Known of those, too, whose promise comes after the majority's.
  if (promise.granted() && promise.takes_deltas())
    state.accepted_at.try_emplace(envelope.disk(), envelope.from(),
                                  AcceptedTag{promise.accepted_epoch(), promise.version()});
  if (state.phase != OwnerPhase::preparing) return RegisterSignal::none;
  if (!promise.granted()) {
    lose(state, promise.promised(), now, effects);
    return RegisterSignal::lost;
  }
  if (std::pair(promise.accepted_epoch(), promise.version()) > std::pair(state.best_epoch, state.version)) {
    state.best_epoch = promise.accepted_epoch();
    state.version = promise.version();
    state.value = promise.value_known() ? state.known.value : promise.value();
  }
  state.promised.insert(envelope.disk());
  state.former_until = std::max(state.former_until, now - static_cast<Moment>(promise.quiet_ms()));
  if (!core_majority(core, state.promised)) return RegisterSignal::none;
  const auto apart = std::min(now, state.former_until + lease_length(state.bound)) + state.bound;
  state.acts_from = std::max(now, apart);
  state.confirmed = state.since;
  if (state.best_epoch == 0) {
    change_phase(state, OwnerPhase::holding, now, effects);
    return RegisterSignal::held;
  }
  change_phase(state, OwnerPhase::adopting, now, effects);
  state.proposal = make_proposal(state.version, state.value, state.value, {state.best_epoch, state.version});
  send_proposal(state, member, core, now, effects);
  return RegisterSignal::none;
}

RegisterSignal take_accepted(RegisterState& state, const MemberState& member, const wire::Core& core,
                             const wire::Envelope& envelope, Moment now, Effects& effects) {
  const auto& accepted = envelope.accepted();
  if (accepted.epoch() != state.epoch) return RegisterSignal::none;
  if (accepted.granted() && accepted.takes_deltas()) proposal_accepted(state, envelope);
  if (!state.proposal) return RegisterSignal::none;
  if (accepted.lacks_base()) {
    proposal_lacks(state, member, envelope, effects);
    return RegisterSignal::none;
  }
  if (!accepted.granted()) {
    lose(state, accepted.promised(), now, effects);
    return RegisterSignal::lost;
  }
  if (accepted.version() != state.proposal->version) return RegisterSignal::none;
  state.proposal->granted.insert(envelope.disk());
  if (!core_majority(core, state.proposal->granted)) return RegisterSignal::none;
  state.version = state.proposal->version;
  state.value = std::move(state.proposal->value);
  state.proposal.reset();
  if (state.phase == OwnerPhase::holding) return RegisterSignal::committed;
  change_phase(state, OwnerPhase::holding, now, effects);
  return RegisterSignal::held;
}

Moment majority_round(RegisterState& state, const google::protobuf::RepeatedPtrField<wire::CoreDisk>& disks) {
  std::vector<Moment> rounds;
  for (const auto& disk : disks) rounds.push_back(state.checked[disk.disk()]);
  std::ranges::sort(rounds, std::greater<>());
  return rounds.empty() ? 0 : rounds[rounds.size() / 2];
}

bool majority_of(const google::protobuf::RepeatedPtrField<wire::CoreDisk>& disks,
                 const std::set<std::uint64_t>& given) {
  const auto count =
      std::ranges::count_if(disks, [&](const wire::CoreDisk& item) { return given.contains(item.disk()); });
  return disks.size() > 0 && count * 2 > disks.size();
}

RegisterSignal take_checked(RegisterState& state, const wire::Core& core, const wire::Envelope& envelope, Moment now,
                            Effects& effects) {
  const auto& checked = envelope.checked();
  if (state.phase != OwnerPhase::holding || checked.epoch() != state.epoch) return RegisterSignal::none;
  if (!checked.granted()) {
    lose(state, checked.promised(), now, effects);
    return RegisterSignal::lost;
  }
  auto& newest = state.checked[envelope.disk()];
  newest = std::max(newest, static_cast<Moment>(checked.round()));
  auto confirmed = majority_round(state, core.disks());
  if (core.next_size() > 0) confirmed = std::min(confirmed, majority_round(state, core.next()));
  state.confirmed = std::max(state.confirmed, confirmed);
  return RegisterSignal::none;
}

}  // namespace

Moment lease_length(Moment bound) { return bound / leases_per_bound; }

std::uint32_t core_seat(const wire::Core& core, std::uint64_t disk) {
  for (const auto& item : core.disks())
    if (item.disk() == disk) return item.seat();
  for (const auto& item : core.next())
    if (item.disk() == disk) return item.seat();
  return 0;
}

bool core_old(const wire::Core& core, std::uint64_t disk) {
  return std::ranges::any_of(core.disks(), [&](const wire::CoreDisk& item) { return item.disk() == disk; });
}

bool core_coming(const wire::Core& core, std::uint64_t disk) {
  return std::ranges::any_of(core.next(), [&](const wire::CoreDisk& item) { return item.disk() == disk; });
}

std::set<std::uint64_t> core_members(const wire::Core& core) {
  std::set<std::uint64_t> members;
  for (const auto& item : core.disks()) members.insert(item.disk());
  for (const auto& item : core.next()) members.insert(item.disk());
  return members;
}

CoreTag core_tag(const wire::Core& core) { return {core.epoch(), core.version()}; }

bool core_majority(const wire::Core& core, const std::set<std::uint64_t>& disks) {
  return majority_of(core.disks(), disks) && (core.next_size() == 0 || majority_of(core.next(), disks));
}

void register_prepare(RegisterState& state, const MemberState& member, const wire::Core& core,
                      const AcceptorState& acceptor, Moment now, Effects& effects) {
  const auto highest = std::max(state.seen_epoch, state.epoch);
  state.epoch = (highest / epoch_stride + 1) * epoch_stride + core_seat(core, member.self.disk());
  state.version = 0;
  state.value.clear();
  state.best_epoch = 0;
  state.promised.clear();
  state.former_until = 0;
  state.checked.clear();
  state.accepted_at.clear();
  state.proposal.reset();
  const auto copy = acceptor.copies.find(state.key);
  state.known = copy == acceptor.copies.end() ? DiskCopy{} : copy->second;
  change_phase(state, OwnerPhase::preparing, now, effects);
  auto envelope = member_envelope(member, 0);
  envelope.mutable_prepare()->set_key(state.key);
  envelope.mutable_prepare()->set_epoch(state.epoch);
  envelope.mutable_prepare()->set_known_epoch(state.known.accepted_epoch);
  envelope.mutable_prepare()->set_known_version(state.known.version);
  send_core(member, core, envelope, effects);
}

bool register_propose(RegisterState& state, const MemberState& member, const wire::Core& core, std::string value,
                      Moment now, Effects& effects) {
  if (state.phase != OwnerPhase::holding || state.proposal) return false;
  state.proposal = make_proposal(state.version + 1, std::move(value), state.value, {state.epoch, state.version});
  send_proposal(state, member, core, now, effects);
  return true;
}

RegisterSignal register_receive(RegisterState& state, const MemberState& member, const wire::Core& core,
                                const wire::Envelope& envelope, Moment now, Effects& effects) {
  if (core_seat(core, envelope.disk()) == 0) return RegisterSignal::none;
  if (envelope.has_promise()) return take_promise(state, member, core, envelope, now, effects);
  if (envelope.has_accepted()) return take_accepted(state, member, core, envelope, now, effects);
  if (envelope.has_checked()) return take_checked(state, core, envelope, now, effects);
  return RegisterSignal::none;
}

RegisterSignal register_tick(RegisterState& state, const MemberState& member, const wire::Core& core, Moment now,
                             Effects& effects) {
  const auto lease = lease_length(state.bound);
  if (state.phase == OwnerPhase::idle) return RegisterSignal::none;
  if (state.phase != OwnerPhase::holding && now - state.since > give_up_leases * lease) {
    lose(state, state.epoch, now, effects);
    return RegisterSignal::lost;
  }
  if (state.proposal && now - state.proposal->sent >= lease) send_proposal(state, member, core, now, effects);
  if (state.phase != OwnerPhase::holding) return RegisterSignal::none;
  if (now - state.confirmed > give_up_leases * lease) {
    lose(state, state.epoch, now, effects);
    return RegisterSignal::lost;
  }
  if (now - state.round_sent < lease / checks_per_lease) return RegisterSignal::none;
  state.round_sent = now;
  auto envelope = member_envelope(member, 0);
  auto* check = envelope.mutable_check();
  check->set_key(state.key);
  check->set_epoch(state.epoch);
  check->set_round(static_cast<std::uint64_t>(now));
  send_core(member, core, envelope, effects);
  return RegisterSignal::none;
}

void register_release(RegisterState& state, Moment now, Effects& effects) {
  if (state.phase != OwnerPhase::idle) lose(state, state.epoch, now, effects);
}

bool register_may_act(const RegisterState& state, Moment now) {
  return state.phase == OwnerPhase::holding && now >= state.acts_from &&
         now - state.confirmed < lease_length(state.bound);
}

}  // namespace weldsail
