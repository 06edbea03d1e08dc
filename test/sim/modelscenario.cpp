#include "sim/modelplans.hpp"
#include "sim/scenarios.hpp"

namespace weldsail::sim {
namespace {

constexpr std::size_t walks_per_seed = 12;
constexpr std::size_t steps_per_walk = 500;

void report_fault(const model::ModelWorld& root, const std::string& name, const model::SearchResult& found,
                  ScenarioResult& result) {
  result.faults.push_back(name + ": " + found.fault);
  const auto trace = model::shorten(root, found.trace);
  std::size_t number = 0;
  for (const auto& line : model::describe(root, trace)) result.faults.push_back(std::to_string(++number) + ". " + line);
}

}  // namespace

ScenarioResult run_model(std::uint64_t seed) {
  ScenarioResult result;
  Chance chance(seed);
  double steps = 0;
  double acknowledged = 0;
  double reads = 0;
  double cores = 0;
  const auto root = model::walk_root();
  for (std::size_t walk = 0; walk < walks_per_seed && result.faults.empty(); ++walk) {
    const auto walked = model::walk_states(root, chance, steps_per_walk);
    const auto last = model::replay(root, walked.trace);
    steps += static_cast<double>(walked.trace.size());
    acknowledged += static_cast<double>(last.observations().acknowledged.size());
    reads += static_cast<double>(last.observations().reads_answered);
    cores += static_cast<double>(last.newest_core().version() - 1);
    if (!walked.fault.empty()) report_fault(root, "walk", walked, result);
  }
  result.figures = {{"steps", steps}, {"acknowledged", acknowledged}, {"reads", reads}, {"core_changes", cores}};
  return result;
}

ScenarioResult run_model_search(std::uint64_t deeper) {
  ScenarioResult result;
  double states = 0;
  for (const auto& setup : model::search_setups()) {
    const auto found = model::search_states(setup.root, {setup.depth + deeper, 3000000});
    result.notes.push_back(model::search_text(setup.name, found));
    states += static_cast<double>(found.states);
    if (!found.fault.empty()) report_fault(setup.root, setup.name, found, result);
  }
  result.figures = {{"states", states}};
  return result;
}

}  // namespace weldsail::sim
