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

bool leaving(const MemberState& member, std::uint64_t disk) {
  const auto* entry = find_disk(member, disk);
  return entry != nullptr && entry->leaving();
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
           entry->state() != static_cast<std::uint32_t>(MemberPhase::alive) || entry->leaving();
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

/// A process that was told to end votes on meanwhile, so its seat is handed over at once.
void begin_handover(const MemberState& member, const FormationState& formation, RegisterState& owner, Moment now,
                    Effects& effects) {
  for (const auto& disk : formation.core.disks()) {
    if (!present(member, disk.disk()) || !leaving(member, disk.disk())) continue;
    const auto* spare = find_spare(member, formation.core, find_disk(member, disk.disk())->locality());
    if (spare != nullptr) repair_set(member, formation, owner, disk.disk(), spare->disk(), now, effects);
    return;
  }
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

std::string repair_set(const MemberState& member, const FormationState& formation, RegisterState& owner,
                       std::uint64_t let_go, std::uint64_t take_in, Moment now, Effects& effects) {
  const auto& core = formation.core;
  if (owner.phase != OwnerPhase::holding || owner.proposal || core.next_size() > 0) return "a change is under way";
  if (let_go != 0 && !core_old(core, let_go)) return "let_go names no disk of the core";
  if (take_in != 0 && (core_old(core, take_in) || !present(member, take_in) || leaving(member, take_in)))
    return "take_in names no live spare disk";
  // A seat beyond the stride would share its epochs with another round's.
  if (take_in != 0 && core.highest_seat() + 1 >= epoch_stride) return "no seat is left";
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
    if (!owner.proposal) begin_handover(member, formation, owner, now, effects);
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
    if (!filled && (emptied || missing > wait || leaving(member, disk.disk()))) {
      propose(successor(core, owner), member, formation, owner, "take_back", now, effects);
      return;
    }
  }
  if (!filled) return;
  auto next = successor(core, owner);
  *next.mutable_disks() = core.next();
  propose(next, member, formation, owner, "let_go", now, effects);
}

}  // namespace weldsail
