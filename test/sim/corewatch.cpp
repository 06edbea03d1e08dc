#include "sim/corewatch.hpp"

namespace weldsail::sim {
namespace {

std::optional<wire::Core> proposed_core(const ControlState& state) {
  const auto& owner = state.owners.at(core_key);
  wire::Core core;
  if (owner.phase != OwnerPhase::holding || !owner.proposal || !core.ParseFromString(owner.proposal->value))
    return std::nullopt;
  return core;
}

bool joins(const ControlState& state) {
  const auto& core = state.formation.core;
  const auto disk = state.member.self.disk();
  return core_coming(core, disk) && !core_old(core, disk);
}

bool reached(const ControlState& state, ChangeStep step, std::uint64_t from_version) {
  const auto& core = state.formation.core;
  const auto tag = core_tag(core);
  const bool newer = core.version() > from_version;
  const auto& self = state.member.self;
  const auto proposed = proposed_core(state);
  const bool proposes = proposed && proposed->version() > from_version;
  switch (step) {
    case ChangeStep::proposed: return proposes && proposed->next_size() > 0;
    case ChangeStep::committed: return newer && core.next_size() > 0 && state.repair.committed == tag;
    case ChangeStep::copying:
      return newer && joins(state) && state.repair.copying == tag && !state.repair.copied_from.empty();
    case ChangeStep::filled: return newer && joins(state) && CoreTag{self.copied_epoch(), self.copied_version()} == tag;
    case ChangeStep::letting_go: return proposes && proposed->next_size() == 0;
    case ChangeStep::ended: return newer && core.next_size() == 0 && state.repair.committed == tag;
  }
  return false;
}

}  // namespace

void CoreWatch::watch() {
  const auto before = fleet_.world.stepped;
  fleet_.world.stepped = [this, before](SimNode& node) {
    if (before) before(node);
    const auto* state = std::get_if<ControlState>(&node.state);
    if (state == nullptr || !node.alive) return;
    check_actors();
    check_step(*state);
    check_seats(state->formation.core);
    const auto& core = state->formation.core;
    if (core.next_size() == 0 && state->repair.committed == core_tag(core) && core_tag(core) > checked_)
      check_content(core);
  };
}

void CoreWatch::on_step(ChangeStep step, std::function<void()> action) {
  const auto* core = committed();
  from_version_ = core == nullptr ? 0 : core->version();
  wanted_ = step;
  action_ = std::move(action);
}

void CoreWatch::check_step(const ControlState& state) {
  if (!wanted_ || !reached(state, *wanted_, from_version_)) return;
  wanted_.reset();
  fleet_.world.at(fleet_.world.now(), std::exchange(action_, nullptr));
}

void CoreWatch::check_actors() {
  const auto now = fleet_.world.now();
  for (const auto* key : {config_key, placement_key, core_key}) {
    std::string acting;
    for (const auto& [address, node] : fleet_.world.nodes()) {
      const auto* state = std::get_if<ControlState>(&node.state);
      if (state == nullptr || !node.alive) continue;
      const auto local = now + node.offset + static_cast<Moment>(static_cast<double>(now) * node.drift);
      if (!register_may_act(state->owners.at(key), local)) continue;
      if (!acting.empty()) faults_.push_back("two act for " + std::string(key) + ": " + acting + " and " + address);
      acting = address;
    }
  }
}

void CoreWatch::check_seats(const wire::Core& core) {
  for (const auto* list : {&core.disks(), &core.next()})
    for (const auto& item : *list) {
      const auto holder = seats_.try_emplace(item.seat(), item.disk()).first->second;
      if (holder != item.disk()) faults_.push_back("seat " + std::to_string(item.seat()) + " has two disks");
    }
}

/// Any majority of the disks that can be read must meet one that holds the newest acknowledged version.
void CoreWatch::check_content(const wire::Core& core) {
  checked_ = core_tag(core);
  int lacking = 0;
  for (const auto& item : core.disks()) {
    for (const auto& [address, node] : fleet_.world.nodes()) {
      const auto identity = node.disk.find("disk");
      if (identity == node.disk.end() || identity->second != std::to_string(item.disk())) continue;
      AcceptorState kept;
      acceptor_start(kept, node.disk, 0);
      if (kept.copies[config_key].version < acknowledged_()) ++lacking;
    }
  }
  if (2 * lacking > core.disks_size())
    faults_.push_back("a majority of core " + std::to_string(core.version()) + " lacks what was acknowledged");
}

const wire::Core* CoreWatch::committed() const {
  const wire::Core* newest = nullptr;
  for (const auto& [address, node] : fleet_.world.nodes()) {
    const auto* state = std::get_if<ControlState>(&node.state);
    if (state == nullptr || !node.alive || !state->formation.core.formed()) continue;
    const auto& core = state->formation.core;
    if (core.version() > 1 && state->repair.committed != core_tag(core)) continue;
    if (newest == nullptr || core_tag(core) > core_tag(*newest)) newest = &core;
  }
  return newest;
}

wire::Core CoreWatch::newest() const {
  wire::Core newest;
  for (const auto& [address, node] : fleet_.world.nodes()) {
    const auto* state = std::get_if<ControlState>(&node.state);
    if (state == nullptr || !node.alive || !state->formation.core.formed()) continue;
    if (core_tag(state->formation.core) > core_tag(newest)) newest = state->formation.core;
  }
  return newest;
}

std::string CoreWatch::address_of(std::uint64_t disk) const {
  for (const auto& [address, node] : fleet_.world.nodes()) {
    const auto* state = std::get_if<ControlState>(&node.state);
    if (state != nullptr && node.alive && state->member.self.disk() == disk) return address;
  }
  return {};
}

std::string CoreWatch::joining() const {
  for (const auto& [address, node] : fleet_.world.nodes()) {
    const auto* state = std::get_if<ControlState>(&node.state);
    if (state == nullptr || !node.alive) continue;
    const auto core = proposed_core(*state).value_or(state->formation.core);
    for (const auto& item : core.next())
      if (!core_old(core, item.disk())) return address_of(item.disk());
  }
  return {};
}

bool CoreWatch::full(std::size_t disks) const {
  const auto* core = committed();
  if (core == nullptr || core->next_size() > 0 || static_cast<std::size_t>(core->disks_size()) < disks) return false;
  for (const auto& item : core->disks()) {
    const auto address = address_of(item.disk());
    if (address.empty() || fleet_.leaving.contains(address)) return false;
  }
  return true;
}

}  // namespace weldsail::sim
