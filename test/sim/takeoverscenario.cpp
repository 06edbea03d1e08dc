#include "sim/backchecks.hpp"
#include "sim/callers.hpp"
#include "sim/operators.hpp"
#include "sim/scenarios.hpp"

namespace weldsail::sim {
namespace {

constexpr Moment begin = 4000;
constexpr Moment trouble_begin = 9000;
constexpr Moment trouble_end = 70000;
constexpr Moment end = 90000;

struct Takeover {
  Fleet& fleet;
  Moment quiet_until = 0;
  std::size_t caught = 0;

  void lose_holder(const std::string& node) {
    auto& world = fleet.world;
    if (world.chance.happens(0.5)) {
      world.freeze(node);
      world.at(world.now() + world.chance.between(1000, 8000), [&world, node] { world.wake(node); });
      return;
    }
    world.kill(node);
    world.at(world.now() + world.chance.between(500, 6000), [&world, node] {
      if (!world.node(node).alive) world.start(node);
    });
  }
  void catch_load(const std::string& worker, const std::string& node) {
    auto& world = fleet.world;
    if (world.now() < trouble_begin || world.now() > trouble_end || world.now() < quiet_until) return;
    if (!world.chance.happens(0.3)) return;
    ++caught;
    quiet_until = world.now() + world.chance.between(500, 9000);
    fleet.backs->control(worker, "freeze");
    world.at(world.now() + world.chance.between(1000, 12000), [this, worker] { fleet.backs->control(worker, "wake"); });
    world.at(world.now() + world.chance.between(0, 400), [this, node] { lose_holder(node); });
  }
  void watch() {
    for (const auto& worker : fleet.backs->addresses()) {
      auto& back_end = fleet.world.back_ends[worker];
      back_end.open = [this, worker, inner = back_end.open](const std::string& node, std::uint64_t life,
                                                            const OpenPipe& pipe) {
        if (pipe.path.ends_with("/load")) catch_load(worker, node);
        inner(node, life, pipe);
      };
    }
  }
};

}  // namespace

ScenarioResult run_takeover(std::uint64_t seed) {
  FleetPlan plan;
  plan.models = 14;
  plan.adapters = 14;
  plan.room_mb = 30;
  plan.cells = 2;
  plan.loads_per_s = static_cast<double>(1 + seed % 4);
  plan.sync_most = seed % 3 == 0 ? 120 : 6;
  Fleet fleet(seed, plan);
  auto& world = fleet.world;
  Operators operators(fleet);
  Callers callers(fleet);
  world.run_until(begin);
  operators.put(fleet.controls.front(), 0);
  world.run_until(begin + 3000);
  Takeover takeover{fleet};
  takeover.watch();
  callers.work_until(end, 80);
  if (seed % 5 == 0) operators.work_until(trouble_end, 5000);
  world.run_until(end + 25000);
  ScenarioResult result;
  result.faults = callers.faults();
  for (auto& fault : back_faults(fleet)) result.faults.push_back(std::move(fault));
  result.figures = {{"caught", static_cast<double>(takeover.caught)},
                    {"pulls", static_cast<double>(fleet.backs->store().pulls.size())},
                    {"whole_share", callers.whole_share(begin, end)}};
  return result;
}

}  // namespace weldsail::sim
