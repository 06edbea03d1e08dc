#include <algorithm>

#include "sim/delivery.hpp"
#include "sim/scenarios.hpp"

namespace weldsail::sim {
namespace {

constexpr std::uint64_t troubled_kinds = 6;

DeliveryPlan delivery_plan(std::uint64_t seed) {
  DeliveryPlan plan;
  plan.controls = seed % 2 == 0 ? 5 : 3;
  plan.links = seed / 2 % 2 == 0;
  plan.beside = seed / 4 % 2 == 1;
  const auto kind = seed % troubled_kinds;
  if (kind == 1) plan.loss = 0.1;
  plan.kill_control = kind == 2;
  plan.freeze_control = kind == 3;
  plan.freeze_data = kind == 4;
  plan.cut_control = kind == 5;
  return plan;
}

void add_traffic(ScenarioResult& result, const std::string& phase, const DeliveryTraffic& traffic) {
  std::map<std::string, std::uint64_t> most;
  const auto add = [&](const auto& counts, const std::string& where) {
    for (const auto& [address, kinds] : counts)
      for (const auto& [kind, bytes] : kinds) {
        auto& largest = most[phase + "/" + where + "/" + kind];
        largest = std::max(largest, bytes);
      }
  };
  add(traffic.to_data, "to_data");
  add(traffic.between_controls, "between_controls");
  for (const auto& [name, bytes] : most) result.figures.emplace_back(name, static_cast<double>(bytes));
}

}  // namespace

ScenarioResult run_delivery(std::uint64_t seed) {
  DeliveryWorld world(seed, delivery_plan(seed));
  world.run();
  ScenarioResult result;
  result.faults = world.faults;
  std::size_t copies = 0;
  for (const auto& [address, versions] : world.whole_documents)
    for (const auto& [version, count] : versions) copies = std::max(copies, count);
  result.figures = {{"document_bytes", static_cast<double>(world.document_bytes)},
                    {"change_bytes", static_cast<double>(world.change_bytes)},
                    {"whole_documents_most", static_cast<double>(copies)},
                    {"front_most", world.front_most},
                    {"large_acknowledged_ms", static_cast<double>(world.large_acknowledged)},
                    {"large_in_force_ms", static_cast<double>(world.large_in_force)},
                    {"small_acknowledged_ms", static_cast<double>(world.small_acknowledged_most)}};
  static constexpr std::pair<DeliveryPhase, const char*> phases[] = {{DeliveryPhase::forming, "forming"},
                                                                     {DeliveryPhase::large, "large"},
                                                                     {DeliveryPhase::small, "small"},
                                                                     {DeliveryPhase::settling, "settling"},
                                                                     {DeliveryPhase::after, "after"}};
  for (const auto& [phase, name] : phases) add_traffic(result, name, world.traffic[phase]);
  if (!world.front_most_at.empty()) result.notes.push_back("most in front of a " + world.front_most_at);
  return result;
}

}  // namespace weldsail::sim
