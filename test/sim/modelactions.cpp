#include <algorithm>

#include "sim/modelworld.hpp"

namespace weldsail::sim::model {
namespace {

constexpr Moment quantum = 250;
constexpr Moment lease = 1000;
constexpr Moment long_ago = 300000;
constexpr std::uint64_t fixed_random = 1;

/// Sets the timers that only choose when a key is taken: the key is taken now, the others are not.
void steer_duty(ControlState& state, const std::string& take, Moment now) {
  state.duty.started = now - long_ago;
  state.duty.behind.reset();
  for (const auto* key : {config_key, placement_key, core_key}) {
    auto& view = state.duty.views[key];
    view.tried_elsewhere = now;
    if (take != key) continue;
    auto& owner = state.owners[key];
    for (auto& [node, other] : state.member.others)
      for (auto& holding : *other.entry.mutable_holdings()) {
        if (holding.key() != take) continue;
        owner.seen_epoch = std::max(owner.seen_epoch, holding.epoch());
        holding.set_epoch(0);
      }
    view = {};
    view.vacant_since = now - long_ago;
    // A key may be taken at any moment, whoever has been heard: more than the detector allows.
    for (const auto disk : core_members(state.formation.core)) state.duty.heard[disk] = now;
    owner.since = owner.phase == OwnerPhase::idle ? now - long_ago : owner.since;
  }
}

/// A message that is answered to its sender.
bool is_request(const wire::Envelope& envelope) {
  return envelope.has_prepare() || envelope.has_accept() || envelope.has_check() || envelope.has_copy_ask();
}

void doubt_member(ControlState& state, const std::string& address, Moment now) {
  for (auto& [node, view] : state.member.others) {
    if (view.entry.address() != address) continue;
    view.entry.set_state(static_cast<std::uint32_t>(MemberPhase::broken));
    state.repair.missing_since[view.entry.disk()] = now - long_ago;
  }
}

}  // namespace

bool ModelWorld::may(ActionKind kind) const {
  const auto place = static_cast<std::size_t>(kind);
  return used_[place] < plan_->budgets[place];
}

bool ModelWorld::may_operate(std::size_t node) const {
  return plan_->operators.empty() || plan_->operators.contains(node);
}

/// A disk is emptied only while the set of core disks has lost no other.
bool ModelWorld::may_empty(std::size_t node) const {
  const auto& core = newest_core();
  const auto own = processes_[node]->state.member.self.disk();
  const auto members = core_members(core);
  return members.contains(own) && std::ranges::all_of(members, [&](auto disk) { return disk_survives(disk); }) &&
         std::ranges::all_of(processes_, [](const auto& process) { return process->alive; });
}

void ModelWorld::enable_messages(std::vector<Action>& actions) const {
  for (const auto& message : network_) {
    if (!processes_[message->to]->alive || cuts_.contains({message->from, message->to})) continue;
    const bool request = is_request(message->envelope);
    if (request && may(ActionKind::exchange))
      actions.push_back({ActionKind::exchange, message->to, message->from, message->identity});
    if (!request || may(ActionKind::deliver))
      actions.push_back({ActionKind::deliver, message->to, message->from, message->identity});
    if (may(ActionKind::duplicate))
      actions.push_back({ActionKind::duplicate, message->to, message->from, message->identity});
    if (may(ActionKind::lose)) actions.push_back({ActionKind::lose, message->to, message->from, message->identity});
  }
}

void ModelWorld::enable_node(std::size_t node, std::vector<Action>& actions) const {
  const auto& process = *processes_[node];
  const auto add = [&](ActionKind kind, bool possible, std::size_t other = 0) {
    if (possible && may(kind)) actions.push_back({kind, node, other, 0});
  };
  if (!process.unsynced.empty()) actions.push_back({ActionKind::sync, node, 0, 0});
  const bool unsynced = !process.unsynced.empty();
  add(ActionKind::crash_losing_unsynced, true);
  add(ActionKind::crash_keeping_unsynced, unsynced);
  add(ActionKind::empty_disk, may(ActionKind::empty_disk) && may_empty(node));
  const bool all_there = std::ranges::all_of(processes_, [](const auto& item) { return item->alive; });
  add(ActionKind::leave, all_there && !process.state.member.leaving && may(ActionKind::leave));
  add(ActionKind::tick, may_operate(node) || node >= plan_->core_disks);
  if (!may_operate(node)) return;
  const auto phase = [&](const char* key) { return process.state.owners.at(key).phase; };
  add(ActionKind::take_config, phase(config_key) == OwnerPhase::idle);
  add(ActionKind::take_core, phase(core_key) == OwnerPhase::idle);
  add(ActionKind::change, phase(config_key) == OwnerPhase::holding);
  add(ActionKind::read, phase(config_key) == OwnerPhase::holding);
  for (std::size_t other = 0; other < processes_.size(); ++other)
    add(ActionKind::doubt, other != node && phase(core_key) == OwnerPhase::holding, other);
}

std::vector<Action> ModelWorld::enabled() const {
  std::vector<Action> actions;
  enable_messages(actions);
  for (std::size_t node = 0; node < processes_.size(); ++node) {
    if (processes_[node]->alive) enable_node(node, actions);
    for (std::size_t other = 0; may(ActionKind::cut) && other < processes_.size(); ++other)
      if (other != node && !cuts_.contains({node, other})) actions.push_back({ActionKind::cut, node, other, 0});
  }
  if (may(ActionKind::pause)) actions.push_back({ActionKind::pause, 0, 0, 0});
  if (!cuts_.empty()) actions.push_back({ActionKind::heal, 0, 0, 0});
  return actions;
}

void ModelWorld::deliver(const Action& action) {
  const auto found =
      std::ranges::lower_bound(network_, action.message, {}, [](const auto& item) { return item->identity; });
  const auto message = *found;
  if (action.kind != ActionKind::duplicate) network_.erase(found);
  if (action.kind == ActionKind::lose) return;
  auto& process = edit(message->to);
  step(process, message->to, MessageArrived{message->envelope});
  process.digest = digest_process(process);
}

void ModelWorld::exchange(const Action& action) {
  const auto before = network_;
  deliver(action);
  auto& process = edit(action.node);
  sync(process, action.node);
  process.digest = digest_process(process);
  const auto after = network_;
  for (const auto& message : after) {
    const bool sent_now = std::ranges::find(before, message) == before.end();
    if (!sent_now || message->from != action.node || message->to != action.other) continue;
    if (cuts_.contains({message->from, message->to})) continue;
    deliver({ActionKind::deliver, message->to, message->from, message->identity});
  }
}

void ModelWorld::tick(std::size_t node, const std::string& take, std::optional<std::size_t> doubted) {
  now_ += quantum;
  auto& process = edit(node);
  refresh_views(process, node);
  auto& state = process.state;
  steer_duty(state, take, now_);
  if (doubted) doubt_member(state, node_address(*doubted), now_);
  state.member.last_tick = now_;
  state.member.next_beat = now_ + 1;
  step(process, node, Ticked{fixed_random});
  process.digest = digest_process(process);
}

void ModelWorld::ask(std::size_t node, bool change) {
  ++now_;
  auto& observations = observe();
  auto& process = edit(node);
  const auto request = observations.next_request++;
  const auto name = "c" + std::to_string(request);
  OpenOperation operation{change, name, R"({"cells":{")" + name + R"(":{}}})", 0, observations.newest()};
  operation.base = process.state.config_duty.current.version();
  observations.open[request] = operation;
  RequestArrived event{request, change ? "PUT" : "GET", "/v1/config", {}, change ? operation.document : std::string()};
  if (change) event.headers = {{"weldsail-base", std::to_string(operation.base)}, {"weldsail-change", name}};
  step(process, node, event);
  tick(node, {}, std::nullopt);
}

bool ModelWorld::possible(const Action& action) const {
  const auto actions = enabled();
  return std::ranges::any_of(actions, [&](const Action& item) {
    return item.kind == action.kind && item.node == action.node && item.other == action.other &&
           item.message == action.message;
  });
}

bool ModelWorld::delivers_request(const Action& action) const {
  const auto found = std::ranges::find(network_, action.message, [](const auto& item) { return item->identity; });
  return found != network_.end() && is_request((*found)->envelope);
}

void ModelWorld::perform(const Action& action) {
  const auto node = action.node;
  const bool counts = action.kind != ActionKind::deliver || delivers_request(action);
  if (counts) ++used_[static_cast<std::size_t>(action.kind)];
  switch (action.kind) {
    case ActionKind::deliver:
    case ActionKind::duplicate:
    case ActionKind::lose: deliver(action); break;
    case ActionKind::exchange: exchange(action); break;
    case ActionKind::sync: {
      auto& process = edit(node);
      sync(process, node);
      process.digest = digest_process(process);
      break;
    }
    case ActionKind::crash_losing_unsynced: restart(node, false); break;
    case ActionKind::crash_keeping_unsynced: restart(node, true); break;
    case ActionKind::empty_disk: empty(node); break;
    case ActionKind::leave: {
      auto& process = edit(node);
      step(process, node, Leaving{});
      process.digest = digest_process(process);
      break;
    }
    case ActionKind::tick: tick(node, {}, std::nullopt); break;
    case ActionKind::pause: now_ += lease; break;
    case ActionKind::take_config: tick(node, config_key, std::nullopt); break;
    case ActionKind::take_core: tick(node, core_key, std::nullopt); break;
    case ActionKind::change: ask(node, true); break;
    case ActionKind::read: ask(node, false); break;
    case ActionKind::doubt: tick(node, {}, action.other); break;
    case ActionKind::cut: cuts_.insert({node, action.other}); break;
    case ActionKind::heal: cuts_.clear(); break;
    case ActionKind::count: return;
  }
  check_state();
}

}  // namespace weldsail::sim::model
