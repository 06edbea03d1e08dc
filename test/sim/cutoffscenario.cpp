#include <algorithm>

#include "sim/cutoff.hpp"
#include "sim/scenarios.hpp"

namespace weldsail::sim {
namespace {

CutPlan cut_plan(std::uint64_t seed) {
  CutPlan plan;
  plan.platform = seed % 4 != 3;
  plan.direction = static_cast<CutPlan::Direction>(seed % 3);
  plan.owner = seed / 3 % 2 == 0;
  plan.datas_cut = static_cast<CutPlan::Datas>(seed / 6 % 3);
  plan.restart = seed / 18 % 2 == 1;
  plan.other_seeds = seed / 36 % 2 == 1;
  if (seed % 5 < 2) {
    plan.controls = 5;
    plan.cut = 2;
  }
  return plan;
}

}  // namespace

ScenarioResult run_cutoff(std::uint64_t seed) {
  CutWorld world(seed, cut_plan(seed));
  world.run();
  ScenarioResult result;
  result.faults = world.faults;
  result.figures = {{"acknowledged_in_cut", static_cast<double>(world.acknowledged_in_cut)},
                    {"in_force_ms", static_cast<double>(world.in_force_most)},
                    {"answer_ms", static_cast<double>(world.answer_most)},
                    {"asks_a_node", world.asks_most}};
  return result;
}

}  // namespace weldsail::sim
