#include "core/consensus/repair.hpp"

#include <algorithm>

namespace weldsail {
namespace {

constexpr Moment replace_bounds = 5;
constexpr Moment take_back_bounds = 20;

bool present(const MemberState& member, std::uint64_t disk) {
  const auto* entry = find_disk(member, disk);
  return entry != nullptr && entry->state() <= static_cast<std::uint32_t>(MemberPhase::suspect);
}

Moment missing_for(RepairState& state, const MemberState& member, std::uint64_t disk, Moment now) {
  if (present(member, disk)) {
    state.missing_since.erase(disk);
    return 0;
  }
  return now - state.missing_since.try_emplace(disk, now).first->second;
}

std::vector<const wire::Member*> spares(const MemberState& member, const wire::Core& core) {
  auto result = live_members(member, Program::control);
  std::erase_if(result, [&](const wire::Member* entry) {
    return entry->disk() == 0 || entry->cluster() != core.cluster() || core_seat(core, entry->disk()) != 0 ||
           entry->state() != static_cast<std::uint32_t>(MemberPhase::alive);
  });
  return result;
}

/// The live spare that an emptied disk's process came back as.
const wire::Member* find_successor(const MemberState& member, const wire::Core& core, std::uint64_t disk) {
  const auto* gone = find_disk(member, disk);
  if (gone == nullptr || present(member, disk)) return nullptr;
  for (const auto* entry : spares(member, core))
    if (entry->address() == gone->address()) return entry;
  return nullptr;
}

const wire::Member* find_spare(const MemberState& member, const wire::Core& core, const std::string& locality) {
  const wire::Member* spare = nullptr;
  for (const auto* entry : spares(member, core))
    if (spare == nullptr || entry->locality() == locality) spare = entry;
  return spare;
}

void propose(const wire::Core& next, const MemberState& member, const FormationState& formation, RegisterState& owner,
             const std::string& step, Moment now, Effects& effects) {
  wire::Core joint = next.next_size() > 0 ? next : formation.core;
  note(effects, "core.change",
       {{"step", step}, {"version", std::to_string(next.version())}, {"disks", std::to_string(next.disks_size())}});
  register_propose(owner, member, joint, next.SerializeAsString(), now, effects);
}

wire::Core successor(const wire::Core& core, const RegisterState& owner) {
  auto next = core;
  next.set_epoch(owner.epoch);
  next.set_version(core.version() + 1);
  next.clear_next();
  return next;
}

void begin_replace(RepairState& state, const MemberState& member, const FormationState& formation, RegisterState& owner,
                   Moment now, Effects& effects) {
  const auto& core = formation.core;
  const auto wait = state.replace_after != 0 ? state.replace_after : replace_bounds * state.bound;
  for (const auto& lost : core.disks()) {
    const auto missing = missing_for(state, member, lost.disk(), now);
    const auto* successor = state.replace_after == 0 ? nullptr : find_successor(member, core, lost.disk());
    if (successor != nullptr) {
      repair_set(member, formation, owner, lost.disk(), successor->disk(), now, effects);
      return;
    }
    if (missing < wait) continue;
    const auto* gone = find_disk(member, lost.disk());
    const auto* spare = find_spare(member, core, gone == nullptr ? std::string() : gone->locality());
    if (spare != nullptr) repair_set(member, formation, owner, lost.disk(), spare->disk(), now, effects);
    return;
  }
}

/// An even number of disks is only passed through, as it bears no more losses than the odd one below.
void begin_growth(const RepairState& state, const MemberState& member, const FormationState& formation,
                  RegisterState& owner, Moment now, Effects& effects) {
  const auto& core = formation.core;
  const auto disks = static_cast<std::uint32_t>(core.disks_size());
  if (disks >= state.target) return;
  const auto ready = spares(member, core);
  const std::size_t wanted = disks % 2 == 1 && disks + 1 < state.target ? 2 : 1;
  if (ready.size() < wanted) return;
  if (std::ranges::any_of(core.disks(), [&](const wire::CoreDisk& item) { return !present(member, item.disk()); }))
    return;
  repair_set(member, formation, owner, 0, ready.front()->disk(), now, effects);
}

}  // namespace

void repair_merge(AcceptorState& acceptor, VoteState& vote, const wire::CopyAnswer& answer, Moment now) {
  for (const auto& part : answer.copies()) {
    auto& copy = acceptor.copies[part.key()];
    copy.promised = std::max(copy.promised, part.promised());
    if (std::pair(part.accepted_epoch(), part.version()) <= std::pair(copy.accepted_epoch, copy.version)) continue;
    copy.accepted_epoch = part.accepted_epoch();
    copy.version = part.version();
    copy.value = part.value();
  }
  for (const auto& item : answer.votes()) {
    auto& mine = vote.votes[item.key()];
    mine.given = now;
    mine.claimer = mine.claimer.empty() || mine.claimer == item.claimer() ? item.claimer() : "?";
  }
}

std::string repair_set(const MemberState& member, const FormationState& formation, RegisterState& owner,
                       std::uint64_t let_go, std::uint64_t take_in, Moment now, Effects& effects) {
  const auto& core = formation.core;
  if (owner.phase != OwnerPhase::holding || owner.proposal || core.next_size() > 0) return "a change is under way";
  if (let_go != 0 && !core_old(core, let_go)) return "let_go names no disk of the core";
  if (take_in != 0 && (core_old(core, take_in) || !present(member, take_in))) return "take_in names no live spare disk";
  auto next = successor(core, owner);
  for (const auto& disk : core.disks())
    if (disk.disk() != let_go) *next.add_next() = disk;
  if (take_in != 0) {
    next.set_highest_seat(core.highest_seat() + 1);
    auto* taken = next.add_next();
    taken->set_disk(take_in);
    taken->set_seat(next.highest_seat());
  }
  if (next.next_size() == 0) return "a core has at least one disk";
  if (next.next_size() == 2 && take_in == 0) return "two disks are no safer than one: let none go";
  propose(next, member, formation, owner, take_in != 0 ? "take_in" : "leave_out", now, effects);
  return {};
}

void repair_lead(RepairState& state, const MemberState& member, const FormationState& formation, RegisterState& owner,
                 Moment now, Effects& effects) {
  const auto& core = formation.core;
  if (owner.phase != OwnerPhase::holding) state.missing_since.clear();
  if (owner.phase != OwnerPhase::holding || owner.proposal || !core.formed()) return;
  if (core.next_size() == 0) {
    begin_replace(state, member, formation, owner, now, effects);
    if (!owner.proposal) begin_growth(state, member, formation, owner, now, effects);
    return;
  }
  if (state.committed < core_tag(core)) {
    propose(core, member, formation, owner, "again", now, effects);
    return;
  }
  bool filled = true;
  for (const auto& disk : core.next()) {
    if (core_old(core, disk.disk())) continue;
    const auto* entry = find_disk(member, disk.disk());
    filled = entry != nullptr && CoreTag{entry->copied_epoch(), entry->copied_version()} == core_tag(core);
    const auto missing = missing_for(state, member, disk.disk(), now);
    const bool emptied = state.replace_after != 0 && find_successor(member, core, disk.disk()) != nullptr;
    const auto wait = state.replace_after != 0 ? state.replace_after : take_back_bounds * state.bound;
    if (!filled && (emptied || missing > wait)) {
      propose(successor(core, owner), member, formation, owner, "take_back", now, effects);
      return;
    }
  }
  if (!filled) return;
  auto next = successor(core, owner);
  *next.mutable_disks() = core.next();
  propose(next, member, formation, owner, "let_go", now, effects);
}

void repair_copy(RepairState& state, const MemberState& member, const FormationState& formation, Moment now,
                 Effects& effects) {
  const auto& core = formation.core;
  const auto tag = core_tag(core);
  const bool joins = core_coming(core, member.self.disk()) && !core_old(core, member.self.disk());
  if (!joins || state.committed < tag || CoreTag{member.self.copied_epoch(), member.self.copied_version()} == tag)
    return;
  if (state.copying != tag) state.copied_from.clear();
  state.copying = tag;
  if (now - state.asked < state.bound / 3) return;
  state.asked = now;
  for (const auto& disk : core.disks()) {
    const auto* entry = find_disk(member, disk.disk());
    if (entry == nullptr) continue;
    auto envelope = member_envelope(member, entry->node());
    envelope.mutable_copy_ask()->set_core_epoch(tag.first);
    envelope.mutable_copy_ask()->set_core_version(tag.second);
    effects.push_back(SendMessage{entry->address(), std::move(envelope)});
  }
}

void repair_asked(const AcceptorState& acceptor, const VoteState& vote, const MemberState& member,
                  const wire::Envelope& envelope, Effects& effects) {
  auto answer = member_envelope(member, envelope.from());
  auto* content = answer.mutable_copy_answer();
  content->set_core_epoch(envelope.copy_ask().core_epoch());
  content->set_core_version(envelope.copy_ask().core_version());
  for (const auto& [key, copy] : acceptor.copies) {
    auto* part = content->add_copies();
    part->set_key(key);
    part->set_promised(copy.promised);
    part->set_accepted_epoch(copy.accepted_epoch);
    part->set_version(copy.version);
    part->set_value(copy.value);
  }
  for (const auto& [key, item] : vote.votes) {
    auto* part = content->add_votes();
    part->set_key(key);
    part->set_claimer(item.claimer);
  }
  effects.push_back(SendMessage{envelope.address(), std::move(answer)});
}

void repair_answered(RepairState& state, AcceptorState& acceptor, VoteState& vote, const FormationState& formation,
                     const wire::Envelope& envelope, Moment now, Effects& effects) {
  const auto& answer = envelope.copy_answer();
  if (CoreTag{answer.core_epoch(), answer.core_version()} != state.copying) return;
  if (!state.copied_from.insert(envelope.disk()).second) return;
  repair_merge(acceptor, vote, answer, now);
  wire::Core old;
  *old.mutable_disks() = formation.core.disks();
  if (!core_majority(old, state.copied_from)) return;
  const auto token = repair_tokens + state.next_token++;
  auto records = acceptor_records(acceptor);
  for (auto& record : vote_records(vote)) records.push_back(std::move(record));
  state.waiting[token] = state.copying;
  effects.push_back(Persist{token, std::move(records)});
}

void repair_persisted(RepairState& state, MemberState& member, const Persisted& event) {
  const auto found = state.waiting.find(event.token);
  if (found == state.waiting.end()) return;
  if (event.kept) {
    member.self.set_copied_epoch(found->second.first);
    member.self.set_copied_version(found->second.second);
    member_announce(member);
  } else {
    state.copied_from.clear();
  }
  state.waiting.erase(found);
}

}  // namespace weldsail
