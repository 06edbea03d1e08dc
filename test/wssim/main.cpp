#include <tclap/CmdLine.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>

#include "capacity.hpp"
#include "sim/placingcost.hpp"
#include "sim/scenarios.hpp"

namespace {

int run_capacity(const weldsail::sim::CapacityPlan& plan, const std::string& varied,
                 const std::vector<std::size_t>& counts) {
  using weldsail::sim::Varied;
  const std::map<std::string, Varied> names{
      {"nodes", Varied::nodes}, {"workers", Varied::workers}, {"models", Varied::models}, {"routes", Varied::routes}};
  const auto found = names.find(varied);
  if (found == names.end()) {
    std::cerr << "wssim: --vary must be nodes, workers, models or routes\n";
    return 2;
  }
  return weldsail::sim::print_capacity(plan, found->second, counts) == 0 ? 0 : 1;
}

int run_placing_size(const weldsail::sim::PlacingSize& size) {
  const auto cost = weldsail::sim::measure_placing(size);
  std::cout << "workers=" << size.workers << " models=" << size.models << " nodes=" << size.nodes
            << " seed=" << size.seed << " processor_ms_s=" << cost.processor_ms_s << " began=" << cost.began << "\n";
  for (const auto& [kind, work] : cost.kinds)
    std::cout << "  " << kind << " count=" << work.count << " us_each="
              << static_cast<double>(work.nanoseconds) / 1e3 /
                     static_cast<double>(std::max<std::uint64_t>(1, work.count))
              << " ms=" << static_cast<double>(work.nanoseconds) / 1e6 << " bytes=" << work.bytes << "\n";
  return 0;
}

}  // namespace

int main(int count, char** arguments) {
  using weldsail::sim::ScenarioResult;
  const std::map<std::string, std::function<ScenarioResult(std::uint64_t)>> scenarios{
      {"register", weldsail::sim::run_register},
      {"day", weldsail::sim::run_day},
      {"replace", weldsail::sim::run_replace},
      {"takeover", weldsail::sim::run_takeover},
      {"tbilisi", weldsail::sim::run_tbilisi},
      {"kuusela", weldsail::sim::run_kuusela},
      {"force", weldsail::sim::run_force},
      {"rollout", weldsail::sim::run_rollout},
      {"hard", weldsail::sim::run_hard},
      {"placing", weldsail::sim::run_placing},
      {"onenumber", weldsail::sim::run_one_number},
      {"changecost", weldsail::sim::run_change_cost},
      {"secondloss", weldsail::sim::run_second_loss},
      {"longhistory", weldsail::sim::run_long_history},
      {"cutoff", weldsail::sim::run_cutoff},
      {"latenews", weldsail::sim::run_late_news},
      {"delivery", weldsail::sim::run_delivery},
      {"model", weldsail::sim::run_model},
      {"model-search", weldsail::sim::run_model_search},
  };
  TCLAP::CmdLine line("wssim: seeded runs of whole fleets on virtual clocks, networks and disks", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> scenario("", "scenario", "which", false, "register", "name", line);
  TCLAP::ValueArg<std::uint64_t> first("", "first", "first seed", false, 1, "seed", line);
  TCLAP::ValueArg<std::uint64_t> seeds("", "seeds", "how many seeds", false, 100, "count", line);
  TCLAP::SwitchArg verbose("", "verbose", "print every fault", line);
  TCLAP::ValueArg<std::string> vary("", "vary", "capacity: what differs between the fleets", false, "nodes",
                                    "nodes|workers|models|routes", line);
  TCLAP::MultiArg<std::size_t> counts("", "count", "capacity: one measured count each", false, "count", line);
  TCLAP::ValueArg<std::size_t> nodes("", "nodes", "capacity: nodes where they don't differ; placing: data nodes", false,
                                     30, "count", line);
  TCLAP::ValueArg<std::size_t> workers("", "workers", "placing: measure costs of a fleet with so many workers", false,
                                       12, "count", line);
  TCLAP::ValueArg<std::size_t> models("", "models", "placing: models of that fleet", false, 39, "count", line);
  TCLAP::ValueArg<weldsail::Moment> length("", "length-ms", "capacity, placing: measured time", false, 10000, "ms",
                                           line);
  line.parse(count, arguments);
  if (scenario.getValue() == "capacity") {
    weldsail::sim::CapacityPlan plan;
    plan.seed = first.getValue();
    plan.nodes = nodes.getValue();
    plan.length = length.getValue();
    plan.timed = true;
    return run_capacity(plan, vary.getValue(),
                        counts.isSet() ? counts.getValue() : std::vector<std::size_t>{30, 100, 300, 1000});
  }
  if (scenario.getValue() == "placing" && workers.isSet())
    return run_placing_size(
        {first.getValue(), workers.getValue(), models.getValue(), nodes.getValue(), length.getValue()});
  const auto found = scenarios.find(scenario.getValue());
  if (found == scenarios.end()) {
    std::cerr << "wssim: no such scenario\n";
    return 2;
  }
  std::uint64_t failed = 0;
  std::map<std::string, double> sums;
  std::map<std::string, std::vector<double>> times;
  for (auto seed = first.getValue(); seed < first.getValue() + seeds.getValue(); ++seed) {
    const auto result = found->second(seed);
    for (const auto& [name, value] : result.figures) {
      sums[name] += value;
      if (name.ends_with("_ms")) times[name].push_back(value);
    }
    for (const auto& note : result.notes) std::cout << note << std::endl;
    if (result.faults.empty()) continue;
    ++failed;
    std::cout << "seed=" << seed << " faults=" << result.faults.size() << " first=\"" << result.faults.front()
              << "\"\n";
    if (verbose.getValue())
      for (const auto& fault : result.faults) std::cout << "  " << fault << "\n";
  }
  std::cout << "scenario=" << scenario.getValue() << " seeds=" << seeds.getValue() << " failed=" << failed;
  for (const auto& [name, value] : sums) std::cout << " " << name << "=" << value;
  for (auto& [name, values] : times) {
    std::ranges::sort(values);
    std::cout << " " << name << "_p50=" << values[values.size() / 2] << " " << name << "_worst=" << values.back();
  }
  std::cout << "\n";
  return failed == 0 ? 0 : 1;
}
