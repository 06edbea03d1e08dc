#include "sim/backchecks.hpp"
#include "sim/callers.hpp"
#include "sim/operators.hpp"
#include "sim/scenarios.hpp"

namespace weldsail::sim {
namespace {

constexpr Moment begin = 4000;
constexpr Moment step = 45000;

bool consists_of(const Fleet& fleet, const std::vector<std::string>& addresses) {
  const auto& core = fleet.world.control(addresses.front())->formation.core;
  std::set<std::uint64_t> wanted;
  for (const auto& address : addresses) wanted.insert(fleet.world.control(address)->member.self.disk());
  return core.next_size() == 0 && core_members(core) == wanted;
}

}  // namespace

ScenarioResult run_replace(std::uint64_t seed) {
  FleetPlan plan;
  plan.models = 3;
  plan.sync_most = seed % 2 == 0 ? 60 : 5;
  Fleet fleet(seed, plan);
  auto& world = fleet.world;
  Operators operators(fleet);
  Callers callers(fleet);
  operators.watch();
  world.loss = 0.005;
  world.run_until(begin);
  operators.put(fleet.controls.front(), 0);
  world.run_until(begin + 3000);
  const auto end = begin + 3 * step;
  const bool quiet = seed % 2 == 1;
  operators.work_until(quiet ? begin + 6000 : end, 1500);
  callers.work_until(end, 120);
  const auto ask_old_keys = [&callers, &fleet](bool repeat) {
    for (int turn = 0; turn < 20; ++turn)
      callers.ask_call(fleet.datas[static_cast<std::size_t>(turn) % fleet.datas.size()], "old" + std::to_string(turn),
                       repeat);
  };
  ask_old_keys(false);
  const std::vector<std::string> first = fleet.controls;
  std::vector<std::string> alive = first;
  for (std::size_t place = 0; place < first.size(); ++place) {
    world.run_until(begin + 3000 + static_cast<Moment>(place) * step + world.chance.between(0, 3000));
    const auto lost = first[place];
    const auto fresh = "cp" + std::to_string(place + 4);
    world.kill(lost);
    std::erase(alive, lost);
    fleet.add_control(fresh, place, {alive[0], alive[1], "dp1"});
    alive.push_back(fresh);
    fleet.controls = alive;
    world.at(world.now() + world.chance.between(0, 8000), [&world, fresh] { world.start(fresh); });
  }
  world.run_until(end + 5000);
  ask_old_keys(true);
  ScenarioResult result;
  if (!consists_of(fleet, alive)) result.faults.emplace_back("the core isn't the new machines alone");
  world.empty_disk(first[2]);
  for (const auto& address : first) world.start(address);
  if (!quiet) operators.work_until(end + 30000, 1500);
  world.run_until(end + 40000);
  const auto last = operators.read_back(15000);
  for (auto& fault : operators.faults()) result.faults.push_back(std::move(fault));
  for (auto& fault : callers.faults()) result.faults.push_back(std::move(fault));
  for (auto& fault : back_faults(fleet)) result.faults.push_back(std::move(fault));
  if (!last || last->version < operators.newest_seen())
    result.faults.emplace_back("the newest accepted doesn't read back");
  result.figures = {{"accepted", static_cast<double>(operators.accepted())},
                    {"whole_share", callers.whole_share(begin, end)}};
  return result;
}

}  // namespace weldsail::sim
