#include <algorithm>
#include <functional>

#include "sim/backchecks.hpp"
#include "sim/callers.hpp"
#include "sim/operators.hpp"
#include "sim/scenarios.hpp"

namespace weldsail::sim {
namespace {

constexpr Moment begin = 4000;
constexpr Moment calm_from = 26000;
constexpr Moment fault_at = 46000;
constexpr Moment back_within = 12000;
constexpr Moment measured = 12000;
constexpr Moment end = fault_at + back_within + measured;
constexpr double share_slack = 0.03;

struct Hard {
  Fleet& fleet;
  Callers& callers;

  const std::string& any(const std::vector<std::string>& names) {
    return names[fleet.world.chance.below(names.size())];
  }
  void kill(const std::string& node, Moment back_after) {
    auto& world = fleet.world;
    world.kill(node);
    if (back_after > 0)
      world.at(world.now() + back_after, [&world, node] {
        if (!world.node(node).alive) world.start(node);
      });
  }
  std::vector<std::string> of_locality(const std::string& locality) {
    std::vector<std::string> names;
    for (const auto& [address, node] : fleet.world.nodes())
      if (node.locality == locality) names.push_back(address);
    for (const auto& address : fleet.backs->addresses())
      if (fleet.backs->model(address).plan().locality == locality) names.push_back(address);
    return names;
  }
  void lose_locality(bool cut) {
    const auto lost = of_locality("z" + std::to_string(1 + fleet.world.chance.below(fleet.plan.localities)));
    std::set<std::string> left(lost.begin(), lost.end());
    std::set<std::string> right;
    for (const auto& [address, node] : fleet.world.nodes())
      if (!left.contains(address)) right.insert(address);
    for (const auto& address : fleet.backs->addresses())
      if (!left.contains(address)) right.insert(address);
    for (const auto& address : lost) {
      if (fleet.world.nodes().contains(address)) callers.avoided.insert(address);
      if (cut) continue;
      if (fleet.world.nodes().contains(address))
        kill(address, 0);
      else
        fleet.backs->control(address, "kill");
    }
    if (cut) fleet.world.cut(left, right);
  }
  void all_model_workers(const std::string& action) {
    for (const auto& address : fleet.backs->addresses())
      if (fleet.backs->model(address).plan().phase != "call") fleet.backs->control(address, action);
  }
  std::string busiest_worker() {
    std::string busiest = fleet.backs->addresses().front();
    for (const auto& address : fleet.backs->addresses())
      if (fleet.backs->model(address).plan().phase != "call" &&
          fleet.backs->model(address).asks().size() > fleet.backs->model(busiest).asks().size())
        busiest = address;
    return busiest;
  }
  void strike(std::uint64_t kind) {
    auto& world = fleet.world;
    const auto holder = fleet.holder(placement_key);
    switch (kind) {
      case 0: kill(holder, 0); break;
      case 1: world.freeze(holder); break;
      case 2:
        for (std::size_t place = 0; place < 2; ++place) kill(fleet.controls[place], 3000);
        break;
      case 3: {
        const auto node = any(fleet.datas);
        callers.avoided.insert(node);
        kill(node, 0);
        break;
      }
      case 4: lose_locality(true); break;
      case 5: lose_locality(false); break;
      case 6: fleet.backs->control(busiest_worker(), "kill"); break;
      case 7: fleet.backs->control(busiest_worker(), "freeze"); break;
      case 8:
        for (const auto& [address, node] : world.nodes()) kill(address, 2000);
        break;
      case 9:
        all_model_workers("kill");
        world.at(world.now() + 2000, [this] { all_model_workers("revive"); });
        break;
      case 10: all_model_workers("cut"); break;
      default:
        for (const auto& address : fleet.controls) kill(address, 4000);
    }
  }
};

void check_tries(const Fleet& fleet, const Callers& callers, Moment from, Moment until, ScenarioResult& result) {
  constexpr double share = 0.2;
  constexpr double saved = 15;
  double worst = 0;
  for (const bool call : {true, false}) {
    double asked = 0;
    double tried = 0;
    for (const auto& item : callers.calls())
      if ((item.kind == "call") == call && item.asked >= from && item.asked < until) asked += 1;
    for (const auto& address : fleet.backs->addresses()) {
      const auto& model = fleet.backs->model(address);
      if ((model.plan().phase == "call") != call) continue;
      tried += static_cast<double>(
          std::ranges::count_if(model.asks(), [&](Moment when) { return when >= from && when < until; }));
    }
    worst = std::max(worst, asked == 0 ? 0 : tried / asked);
    if (tried > asked * (1 + share) + saved)
      result.faults.push_back(std::to_string(tried) + " tries for " + std::to_string(asked) + " requests");
  }
  result.figures.emplace_back("tries_per_request", worst);
}

}  // namespace

ScenarioResult run_hard(std::uint64_t seed) {
  constexpr std::uint64_t kinds = 12;
  FleetPlan plan;
  plan.control = 3;
  plan.data = 4;
  plan.models = 6;
  plan.sync_most = seed % 3 == 0 ? 100 : 6;
  Fleet fleet(seed, plan);
  auto& world = fleet.world;
  Operators operators(fleet);
  Callers callers(fleet);
  operators.watch();
  world.run_until(begin);
  operators.put(fleet.controls.front(), 0);
  world.run_until(begin + 4000);
  callers.work_until(end, 40);
  world.run_until(fault_at);
  Hard hard{fleet, callers};
  hard.strike(seed % kinds);
  world.run_until(end + 25000);
  ScenarioResult result;
  result.faults = callers.faults();
  for (auto& fault : back_faults(fleet)) result.faults.push_back(std::move(fault));
  for (auto& fault : operators.faults()) result.faults.push_back(std::move(fault));
  check_tries(fleet, callers, fault_at - 2000, end, result);
  for (const std::string kind : {"call", "stream", "resumable"}) {
    const auto calm = callers.whole_share(calm_from, fault_at - 3000, kind);
    const auto after = callers.whole_share(fault_at + back_within, end, kind);
    if (after < calm - share_slack)
      result.faults.push_back("kind " + std::to_string(seed % kinds) + ": " + kind + " served " +
                              std::to_string(after) + " of " + std::to_string(calm) + " 12 s after");
    result.figures.emplace_back("calm_" + kind, calm);
    result.figures.emplace_back("after_" + kind, after);
  }
  return result;
}

}  // namespace weldsail::sim
