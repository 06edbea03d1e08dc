#include "sim/modelplans.hpp"

namespace weldsail::sim::model {
namespace {

using Bounds = std::vector<std::pair<ActionKind, std::uint16_t>>;

constexpr std::uint16_t plenty = 10000;

std::shared_ptr<Plan> make_plan(const std::string& name, std::size_t spares, const Bounds& bounds) {
  auto plan = std::make_shared<Plan>();
  plan->name = name;
  plan->spares = spares;
  for (const auto& [kind, most] : bounds) plan->budgets[static_cast<std::size_t>(kind)] = most;
  return plan;
}

/// Every kind of action, as often as one likes.
Bounds unbounded() {
  Bounds bounds;
  for (std::size_t kind = 0; kind < action_kinds; ++kind) bounds.emplace_back(static_cast<ActionKind>(kind), plenty);
  return bounds;
}

/// Bounds for the steps that lead to a root; everything arrives and is synced at once there.
std::shared_ptr<const Plan> preparing_plan(std::size_t spares) {
  const auto plan = make_plan("prepare", spares, unbounded());
  plan->sync_at_once = true;
  return plan;
}

void perform_and_settle(ModelWorld& world, ActionKind kind, std::size_t node) {
  world.perform({kind, node, 0, 0});
  settle(world);
}

/// The first node holds the configuration, with one change acknowledged.
ModelWorld held_root(std::size_t spares) {
  ModelWorld world(preparing_plan(spares));
  perform_and_settle(world, ActionKind::take_config, 0);
  perform_and_settle(world, ActionKind::change, 0);
  return world;
}

/// The first node holds the configuration and the set of core disks.
ModelWorld core_root() {
  auto world = held_root(1);
  perform_and_settle(world, ActionKind::take_core, 0);
  return world;
}

/// The same with a second change that only the first and the third disk hold.
ModelWorld uneven_root() {
  auto world = core_root();
  world.perform({ActionKind::change, 0, 0, 0});
  for (const auto& action : world.enabled())
    if (action.kind == ActionKind::exchange && action.node == 2 && world.possible(action)) world.perform(action);
  world.perform({ActionKind::crash_losing_unsynced, 1, 0, 0});
  settle(world);
  return world;
}

/// The spare has taken the third disk's place while the second process was cut off, and a change followed. The second
/// process has restarted with the first set of disks.
ModelWorld stale_root() {
  auto world = core_root();
  for (const std::size_t other : {0, 2, 3}) {
    world.perform({ActionKind::cut, 1, other, 0});
    world.perform({ActionKind::cut, other, 1, 0});
  }
  world.perform({ActionKind::doubt, 0, 2, 0});
  settle(world);
  for (const std::size_t node : {3, 0, 3, 0}) {
    world.perform({ActionKind::pause, 0, 0, 0});
    perform_and_settle(world, ActionKind::tick, node);
  }
  // In some orders of arrival the first process has lost the configuration meanwhile.
  for (const std::size_t node : {3, 0, 3, 0}) perform_and_settle(world, ActionKind::tick, node);
  const bool lost = world.possible({ActionKind::take_config, 0, 0, 0});
  if (lost) perform_and_settle(world, ActionKind::take_config, 0);
  perform_and_settle(world, ActionKind::change, 0);
  world.perform({ActionKind::crash_losing_unsynced, 1, 0, 0});
  world.perform({ActionKind::heal, 0, 0, 0});
  for (const std::size_t node : {0, 2, 3}) world.perform({ActionKind::tick, node, 0, 0});
  return world;
}

/// The third disk is being replaced by the spare, which has not copied anything.
ModelWorld copying_root() {
  auto world = uneven_root();
  world.perform({ActionKind::doubt, 0, 2, 0});
  settle(world);
  return world;
}

/// The same, and the spare holds a copy of all; the owner has not heard of it.
ModelWorld filled_root() {
  auto world = core_root();
  world.perform({ActionKind::doubt, 0, 2, 0});
  settle(world);
  perform_and_settle(world, ActionKind::tick, 3);
  world.perform({ActionKind::cut, 3, 0, 0});
  return world;
}

Setup make_setup(ModelWorld root, std::shared_ptr<const Plan> plan, std::size_t depth) {
  root.replan(plan);
  return {plan->name, std::move(root), depth};
}

/// Two owners race for an empty register.
Setup race_setup() {
  const auto plan = make_plan("race", 0,
                              {{ActionKind::exchange, plenty},
                               {ActionKind::deliver, 2},
                               {ActionKind::take_config, 3},
                               {ActionKind::change, 2}});
  plan->sync_at_once = plan->lose_news = true;
  plan->operators = {0, 1};
  return make_setup(ModelWorld(plan), plan, 6);
}

/// A second owner takes over from one that changes; a message comes twice.
Setup takeover_setup() {
  const auto plan = make_plan("takeover", 0,
                              {{ActionKind::exchange, plenty},
                               {ActionKind::deliver, 2},
                               {ActionKind::take_config, 2},
                               {ActionKind::change, 2},
                               {ActionKind::duplicate, 1}});
  plan->sync_at_once = plan->lose_news = true;
  plan->operators = {0, 1};
  return make_setup(held_root(0), plan, 4);
}

/// A crash at every step, with what is unsynced lost or kept.
Setup crash_setup() {
  const auto plan = make_plan("crash", 0,
                              {{ActionKind::exchange, plenty},
                               {ActionKind::deliver, 2},
                               {ActionKind::take_config, 2},
                               {ActionKind::change, 1},
                               {ActionKind::crash_losing_unsynced, 1},
                               {ActionKind::crash_keeping_unsynced, 1}});
  plan->lose_news = true;
  plan->operators = {0, 1};
  return make_setup(ModelWorld(plan), plan, 5);
}

/// Reads at a holder that is being replaced.
Setup reads_setup() {
  const auto plan = make_plan("reads", 0,
                              {{ActionKind::exchange, plenty},
                               {ActionKind::take_config, 1},
                               {ActionKind::change, 1},
                               {ActionKind::read, 1},
                               {ActionKind::tick, 1}});
  plan->sync_at_once = plan->lose_news = true;
  plan->operators = {0, 1};
  return make_setup(held_root(0), plan, 6);
}

/// Time passes while a second owner takes over: who may act.
Setup acting_setup() {
  const auto plan = make_plan("acting", 0,
                              {{ActionKind::exchange, plenty},
                               {ActionKind::deliver, 1},
                               {ActionKind::take_config, 2},
                               {ActionKind::tick, 2},
                               {ActionKind::pause, 4}});
  plan->sync_at_once = plan->lose_news = true;
  plan->operators = {0, 1};
  return make_setup(held_root(0), plan, 5);
}

/// A disk of the core is replaced by the spare while the configuration changes.
Setup joint_setup() {
  const auto plan = make_plan("joint", 1,
                              {{ActionKind::exchange, plenty},
                               {ActionKind::doubt, 1},
                               {ActionKind::tick, 3},
                               {ActionKind::take_config, 1},
                               {ActionKind::change, 1}});
  plan->sync_at_once = true;
  plan->operators = {0, 1};
  return make_setup(uneven_root(), plan, 4);
}

/// The same with a disk emptied and a member that leaves.
Setup loss_setup() {
  const auto plan = make_plan("loss", 1,
                              {{ActionKind::exchange, plenty},
                               {ActionKind::doubt, 1},
                               {ActionKind::tick, 2},
                               {ActionKind::empty_disk, 1},
                               {ActionKind::leave, 1},
                               {ActionKind::take_core, 1}});
  plan->sync_at_once = true;
  plan->operators = {0, 1};
  return make_setup(core_root(), plan, 3);
}

/// The spare copies what the old disks hold; these differ.
Setup copying_setup() {
  const auto plan =
      make_plan("copying", 1, {{ActionKind::exchange, plenty}, {ActionKind::tick, 3}, {ActionKind::take_config, 1}});
  plan->sync_at_once = true;
  plan->operators = {0};
  return make_setup(copying_root(), plan, 5);
}

/// The configuration changes while both lists count, and the old one is let go.
Setup filled_setup() {
  const auto plan =
      make_plan("filled", 1, {{ActionKind::exchange, plenty}, {ActionKind::tick, 2}, {ActionKind::change, 1}});
  plan->sync_at_once = true;
  plan->operators = {0};
  return make_setup(filled_root(), plan, 4);
}

/// A process that has missed a change of the set of disks takes a key.
Setup stale_setup() {
  const auto plan =
      make_plan("stale", 1, {{ActionKind::exchange, plenty}, {ActionKind::take_config, 1}, {ActionKind::change, 1}});
  plan->sync_at_once = plan->lose_news = true;
  plan->operators = {1};
  return make_setup(stale_root(), plan, 6);
}

}  // namespace

void ModelWorld::replan(std::shared_ptr<const Plan> plan) {
  plan_ = std::move(plan);
  used_ = {};
}

std::vector<Setup> search_setups() {
  return {race_setup(),  takeover_setup(), crash_setup(), reads_setup(),   acting_setup(),
          joint_setup(), loss_setup(),     stale_setup(), copying_setup(), filled_setup()};
}

ModelWorld walk_root() {
  const auto plan = make_plan("walk", 1, unbounded());
  plan->loopback_at_once = false;
  return ModelWorld(plan);
}

}  // namespace weldsail::sim::model
