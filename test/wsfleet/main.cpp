#include <tclap/CmdLine.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <numeric>
#include <sstream>

#include "core/json.hpp"
#include "hollow.hpp"
#include "tools/load.hpp"
#include "tools/realfleet.hpp"
#include "trouble.hpp"

namespace {

using namespace weldsail;

std::string read_all(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

std::size_t size_at(const rapidjson::Value& value, const char* pointer) {
  const auto* found = rapidjson::Pointer(pointer).Get(value);
  return found != nullptr && found->IsArray() ? found->Size() : 0;
}

RealPlan read_plan(const rapidjson::Value& fleet) {
  RealPlan plan;
  plan.control = size_at(fleet, "/wscp");
  plan.data = size_at(fleet, "/wsdp");
  plan.loads_per_s = json_number_at(fleet, "/back/store/loads_per_s", 1);
  std::set<std::string> localities;
  for (const auto& item : fleet["wscp"].GetArray()) localities.insert(json_string_at(item, "/locality"));
  plan.localities = localities.size();
  plan.workers = read_back_plans(fleet["back"]);
  for (auto& worker : plan.workers) worker.address.clear();
  return plan;
}

void add_routes(LoadPlan& load, const rapidjson::Value& config) {
  for (const auto& cell : config["cells"].GetObject())
    for (const auto& tenant : cell.value["tenants"].GetObject())
      for (const auto& route : tenant.value["routes"].GetObject()) {
        const auto path = "/v1/tenants/" + json_string(tenant.name) + "/routes/" + json_string(route.name);
        (json_string_at(route.value, "/kind") == "call" ? load.calls : load.streams).push_back(path);
      }
}

void run(RealFleet& fleet, Load& load, const std::function<void(Moment)>& trouble) {
  const auto begun = monotonic_now();
  fleet.pump(
      [&] {
        trouble(monotonic_now() - begun);
        return !load.tick(monotonic_now());
      },
      600000);
}

void print(const std::string& name, const Load& load) {
  std::cout << name;
  for (const auto& [outcome, number] : load.figures.outcomes) std::cout << " " << outcome << "=" << number;
  std::cout << " faults=" << load.figures.faults
            << " first_piece_p50_ms=" << percentile(load.figures.first_piece_ms, 0.5)
            << " first_piece_p95_ms=" << percentile(load.figures.first_piece_ms, 0.95)
            << " call_p50_ms=" << percentile(load.figures.call_ms, 0.5)
            << " call_p95_ms=" << percentile(load.figures.call_ms, 0.95) << "\n";
}

double direct_call_ms(RealFleet& fleet) {
  std::vector<double> times;
  for (const auto& worker : fleet.back().workers()) {
    const auto& plan = worker->model().plan();
    for (int turn = 0; turn < 25 && plan.phase == "call"; ++turn) {
      const auto begun = monotonic_now();
      fleet.ask("POST", plan.address, "/v1/run",
                {{"weldsail-instance", plan.instance}, {"weldsail-service", plan.service}, {"weldsail-run", "direct"}},
                R"({"caller":"direct"})");
      times.push_back(static_cast<double>(monotonic_now() - begun));
    }
  }
  return percentile(times, 0.5);
}

void print_totals(RealFleet& fleet) {
  std::map<std::string, double> sums;
  for (const auto& child : fleet.datas) {
    const auto reply = fleet.ask("GET", child.callers, "/v1/status", {}, {});
    rapidjson::Document status;
    status.Parse(reply.body.c_str());
    if (!status.IsObject()) continue;
    for (const char* name : {"taken", "retries", "prompt_tokens", "hit_tokens"})
      sums[name] += json_number_at(status, (std::string("/") + name).c_str());
  }
  std::uint64_t breaches = 0;
  for (const auto& worker : fleet.back().workers()) breaches += worker->model().breaches();
  std::cout << "totals retry_share=" << sums["retries"] / std::max(1.0, sums["taken"])
            << " prefix_hit_share=" << sums["hit_tokens"] / std::max(1.0, sums["prompt_tokens"])
            << " pulls=" << fleet.back().store().pulls.size() << " breaches=" << breaches
            << " platform_asks_refused=" << fleet.back().asks_refused() << "\n";
}

int print_hollow(const HollowPlan& plan) {
  const auto cost = run_hollow(plan);
  std::cout << "hollow nodes=" << plan.nodes << " settled_ms=" << cost.settled_ms << " messages_s=" << cost.messages
            << " message_bytes_s=" << cost.message_bytes << " wire_bytes_s=" << cost.wire_bytes
            << " processor_ms_s=" << cost.processor_ms << " memory_bytes=" << cost.memory_bytes
            << " descriptors=" << cost.descriptors << "\n";
  return cost.settled_ms < 0 ? 1 : 0;
}

}  // namespace

int main(int count, char** arguments) {
  TCLAP::CmdLine line("wsfleet: a whole fleet on this machine, measured", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> fleet_file("", "fleet", "fleet document", false, "", "file", line);
  TCLAP::ValueArg<std::string> config_file("", "config", "configuration", false, "", "file", line);
  TCLAP::ValueArg<std::string> binaries("", "binaries", "folder of wsdp and wscp", false, "", "folder", line);
  TCLAP::ValueArg<double> streams("", "streams-per-s", "streams a second", false, 20, "rate", line);
  TCLAP::ValueArg<double> calls("", "calls-per-s", "calls a second", false, 30, "rate", line);
  TCLAP::ValueArg<std::int64_t> length("", "length-ms", "length of each part", false, 15000, "ms", line);
  TCLAP::SwitchArg trouble("", "trouble",
                           "40 s of kills, stops, ends and starts of every kind of process and of workers", line);
  TCLAP::ValueArg<std::size_t> hollow("", "hollow", "only hollow nodes, so many in this process", false, 0, "count",
                                      line);
  line.parse(count, arguments);
  if (hollow.isSet()) return print_hollow({hollow.getValue(), length.getValue()});
  rapidjson::Document fleet_document;
  fleet_document.Parse(read_all(fleet_file.getValue()).c_str());
  const auto config = read_all(config_file.getValue());
  rapidjson::Document config_document;
  config_document.Parse(config.c_str());
  RealFleet fleet(binaries.getValue(), read_plan(fleet_document));
  const auto begun = monotonic_now();
  if (!fleet.start()) return 3;
  const auto put =
      fleet.ask_until_good("PUT", fleet.datas[0].callers, "/v1/config", {{"weldsail-base", "0"}}, config, 30000);
  std::cout << "start ready_ms=" << monotonic_now() - begun << " put=" << put.status << "\n";
  LoadPlan plan;
  for (const auto& child : fleet.datas) plan.nodes.push_back(child.callers);
  add_routes(plan, config_document);
  plan.streams_per_s = std::min(streams.getValue(), 200.0);
  plan.calls_per_s = std::min(calls.getValue(), 200.0);
  plan.length_ms = std::min<std::int64_t>(length.getValue(), 120000);
  for (const std::string name : {"cold", "warm"}) {
    ++plan.seed;
    Load load(fleet.loop(), plan);
    run(fleet, load, [](Moment) {});
    print(name, load);
  }
  const auto direct = direct_call_ms(fleet);
  if (trouble.getValue()) {
    ++plan.seed;
    plan.length_ms = trouble_length;
    Load load(fleet.loop(), plan);
    Trouble deeds(fleet);
    run(fleet, load, [&](Moment passed) { deeds.tick(passed); });
    print("trouble", load);
    ++plan.seed;
    plan.length_ms = std::min<std::int64_t>(length.getValue(), 120000);
    Load after(fleet.loop(), plan);
    run(fleet, after, [](Moment) {});
    print("after", after);
  }
  std::cout << "direct_call_p50_ms=" << direct << "\n";
  print_totals(fleet);
  const auto read = fleet.ask_until_good("GET", fleet.datas[0].callers, "/v1/config", {}, {}, 15000);
  std::cout << "reads_back=" << (read.body == config ? "exactly" : "NO") << "\n";
  return read.body == config ? 0 : 1;
}
