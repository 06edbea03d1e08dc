#include "sim/callers.hpp"
#include "sim/operators.hpp"
#include "sim/scenarios.hpp"

namespace weldsail::sim {
namespace {

constexpr Moment begin = 4000;
constexpr Moment busy_begin = 12000;
constexpr Moment busy_end = 52000;
constexpr Moment in_force_within = 2000;

void grow(Fleet& fleet, Operators& operators, Moment end, Moment pause) {
  auto& world = fleet.world;
  if (world.now() >= end) return;
  const auto node = fleet.datas[world.chance.below(fleet.datas.size())];
  operators.change(node, operators.newest_seen(), "grown" + std::to_string(world.now()));
  world.at(world.now() + pause, [&fleet, &operators, end, pause] { grow(fleet, operators, end, pause); });
}

/// Troubles that leave every data node reachable.
void trouble(Fleet& fleet, std::uint64_t kind) {
  auto& world = fleet.world;
  const auto& node = fleet.controls[world.chance.below(fleet.controls.size())];
  if (world.now() > busy_end) return;
  if (kind == 0) {
    world.freeze(node);
    world.at(world.now() + world.chance.between(500, 6000), [&world, node] { world.wake(node); });
  } else if (kind == 1) {
    world.cut({node}, {fleet.datas[world.chance.below(fleet.datas.size())]});
    world.at(world.now() + world.chance.between(500, 6000), [&world] { world.heal(); });
  } else if (kind == 2) {
    world.node(node).disk_free_at = world.now() + world.chance.between(1000, 5000);
  } else {
    world.kill(node);
    world.at(world.now() + world.chance.between(500, 3000), [&world, node] {
      if (!world.node(node).alive) world.start(node);
    });
  }
  world.at(world.now() + world.chance.between(8000, 12000), [&fleet, kind] { trouble(fleet, kind); });
}

}  // namespace

ScenarioResult run_force(std::uint64_t seed) {
  FleetPlan plan;
  plan.control = seed % 2 == 0 ? 3 : 4;
  plan.data = 5;
  plan.models = 4;
  plan.data_folders = 2;
  plan.sync_most = seed % 3 == 0 ? 150 : 10;
  Fleet fleet(seed, plan);
  auto& world = fleet.world;
  Operators operators(fleet);
  Callers callers(fleet);
  operators.watch();
  const std::size_t routes = seed % 4 == 3 ? 5000 : 20;
  world.run_until(begin);
  operators.put(fleet.controls.front(), 0, routes, false);
  world.run_until(busy_begin);
  callers.work_until(busy_end, 60);
  if (seed % 4 != 2) grow(fleet, operators, busy_end, routes > 1000 ? 2500 : 300);
  if (seed % 4 == 2 || seed % 4 == 1) operators.work_until(busy_end, 900);
  trouble(fleet, seed / 4 % 5);
  world.run_until(busy_end + 20000);
  ScenarioResult result;
  result.faults = operators.late(in_force_within, busy_begin);
  for (auto& fault : callers.faults()) result.faults.push_back(std::move(fault));
  const auto last = operators.read_back(15000);
  if (!last || last->version < operators.newest_seen())
    result.faults.emplace_back("the newest accepted doesn't read back");
  result.figures = {{"accepted", static_cast<double>(operators.accepted())}};
  return result;
}

}  // namespace weldsail::sim
