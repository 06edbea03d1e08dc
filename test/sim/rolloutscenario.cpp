#include "sim/backchecks.hpp"
#include "sim/callers.hpp"
#include "sim/operators.hpp"
#include "sim/scenarios.hpp"

namespace weldsail::sim {
namespace {

constexpr Moment begin = 4000;
constexpr Moment first_step = 14000;
constexpr Moment step = 9000;

void roll(Fleet& fleet, const std::string& address, bool former) {
  auto& world = fleet.world;
  if (world.chance.happens(0.7))
    world.leave(address);
  else
    world.kill(address);
  world.at(world.now() + 4000, [&world, address, former] {
    world.kill(address);
    world.node(address).former = former;
    world.start(address);
  });
}

}  // namespace

ScenarioResult run_rollout(std::uint64_t seed) {
  FleetPlan plan;
  plan.models = 8;
  plan.room_mb = 30;
  plan.data_folders = 1;
  plan.sync_most = seed % 2 == 0 ? 80 : 6;
  Fleet fleet(seed, plan);
  auto& world = fleet.world;
  std::vector<std::string> order = fleet.controls;
  order.insert(order.end(), fleet.datas.begin(), fleet.datas.end());
  for (const auto& address : order) world.node(address).former = true;
  Operators operators(fleet);
  Callers callers(fleet);
  operators.watch();
  world.run_until(begin);
  operators.put(fleet.controls.front(), 0);
  world.run_until(begin + 4000);
  const auto end = first_step + 2 * step * static_cast<Moment>(order.size());
  callers.work_until(end, 80);
  operators.work_until(end, 2000);
  Moment when = first_step;
  for (const bool former : {false, true})
    for (const auto& address : order) {
      world.at(when, [&fleet, address, former] { roll(fleet, address, former); });
      when += step;
    }
  world.run_until(end + 25000);
  ScenarioResult result;
  result.faults = callers.faults();
  for (auto& fault : back_faults(fleet)) result.faults.push_back(std::move(fault));
  for (auto& fault : operators.faults()) result.faults.push_back(std::move(fault));
  const auto last = operators.read_back(15000);
  if (!last || last->version < operators.newest_seen())
    result.faults.emplace_back("the newest accepted doesn't read back");
  const auto share = callers.whole_share(begin, end);
  if (share < 0.9) result.faults.push_back("only " + std::to_string(share) + " served through the roll-out");
  result.figures = {{"accepted", static_cast<double>(operators.accepted())}, {"whole_share", share}};
  return result;
}

}  // namespace weldsail::sim
