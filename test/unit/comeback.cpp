#include "sim/comeback.hpp"

#include <catch2/catch.hpp>

#include "sim/fleet.hpp"

using namespace weldsail;
using namespace weldsail::sim;

namespace {

FleetPlan three_control_processes() {
  FleetPlan plan;
  plan.leave_within = 7000;
  plan.data = 1;
  plan.model_workers = plan.call_workers = 0;
  return plan;
}

}  // namespace

TEST_CASE("a process that is told to end comes back, also when it votes on for longer than it is to be away",
          "[placing]") {
  Fleet fleet(17, three_control_processes());
  auto& world = fleet.world;
  world.run_until(8000);
  constexpr Moment away = 500;
  // With one of three lost, the process has to vote on until its time is over.
  world.kill("cp1");
  world.run_until(world.now() + 5000);
  leave_and_return(world, "cp2", away);
  const auto life = world.node("cp2").life;
  world.run_until(world.now() + 5000);
  CHECK(world.node("cp2").alive);
  CHECK(world.node("cp2").life == life);
  world.run_until(world.now() + 5000);
  CHECK(world.node("cp2").alive);
  CHECK(world.node("cp2").life > life);
  CHECK_FALSE(fleet.holder(placement_key).empty());
}
