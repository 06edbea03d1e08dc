#include <catch2/catch.hpp>

#include "sim/cutoff.hpp"
#include "sim/scenarios.hpp"

using namespace weldsail::sim;

namespace {

void check_run(std::uint64_t seed, const CutPlan& plan) {
  CutWorld world(seed, plan);
  world.run();
  CAPTURE(seed, plan.controls, plan.owner, plan.restart, plan.other_seeds, plan.platform);
  CAPTURE(static_cast<int>(plan.direction), static_cast<int>(plan.datas_cut));
  for (const auto& fault : world.faults) UNSCOPED_INFO(fault);
  CHECK(world.faults.empty());
}

CutPlan plan_of(CutPlan::Direction direction, bool owner) {
  CutPlan plan;
  plan.direction = direction;
  plan.owner = owner;
  return plan;
}

constexpr CutPlan::Direction directions[] = {CutPlan::Direction::both, CutPlan::Direction::outgoing,
                                             CutPlan::Direction::incoming};

}  // namespace

TEST_CASE("a control process that is cut off for 20 s confirms nothing and refuses nothing by what may be stale",
          "[hardening.cut_off_control]") {
  const auto direction = GENERATE(0, 1, 2);
  const auto owner = GENERATE(true, false);
  const auto platform = GENERATE(true, false);
  auto plan = plan_of(directions[direction], owner);
  plan.platform = platform;
  check_run(static_cast<std::uint64_t>(direction + 1), plan);
}

TEST_CASE("the same with a restart in the cut, and with other seeds told then", "[hardening.cut_off_control]") {
  const auto direction = GENERATE(0, 1, 2);
  const auto owner = GENERATE(true, false);
  const auto other_seeds = GENERATE(false, true);
  auto plan = plan_of(directions[direction], owner);
  plan.restart = true;
  plan.other_seeds = other_seeds;
  check_run(static_cast<std::uint64_t>(direction + 11), plan);
}

TEST_CASE("two of five are cut off at once, and every data node has the majority's version within the bound",
          "[hardening.cut_off_control]") {
  const auto direction = GENERATE(0, 1, 2);
  const auto owner = GENERATE(true, false);
  const auto datas = GENERATE(0, 1, 2);
  auto plan = plan_of(directions[direction], owner);
  plan.controls = 5;
  plan.cut = 2;
  plan.restart = datas == 2;
  plan.datas_cut = static_cast<CutPlan::Datas>(datas);
  check_run(static_cast<std::uint64_t>(direction + 21), plan);
}

TEST_CASE("a process that hears others only through data nodes takes no key and holds no majority up",
          "[hardening.cut_off_control]") {
  // The owner and one more of five send and don't hear, but data nodes on both sides tell them who is alive.
  const auto result = run_cutoff(140);
  for (const auto& fault : result.faults) UNSCOPED_INFO(fault);
  CHECK(result.faults.empty());
}
