#include <catch2/catch.hpp>

#include <algorithm>

#include "sim/callers.hpp"
#include "sim/operators.hpp"

using namespace weldsail;
using namespace weldsail::sim;

namespace {

double middle_wait(const Callers& callers, Moment from) {
  std::vector<double> waits;
  for (const auto& call : callers.calls())
    if (call.asked >= from && outcome_of(call) == CallOutcome::whole)
      waits.push_back(static_cast<double>(call.told.at - call.asked));
  std::ranges::sort(waits);
  return waits.empty() ? 1e9 : waits[waits.size() / 2];
}

int retry_after(const Told& told) {
  const auto text = header_value(told.headers, "retry-after");
  return text.empty() ? 0 : std::stoi(text);
}

}  // namespace

TEST_CASE("a tenant moves between cells as one piece: nothing of it runs in the old cell any more", "[data]") {
  const auto seed = GENERATE(1, 2, 3, 4);
  CAPTURE(seed);
  FleetPlan plan;
  plan.cells = 2;
  plan.models = 4;
  Fleet fleet(static_cast<std::uint64_t>(seed), plan);
  Operators operators(fleet);
  Callers callers(fleet);
  auto& world = fleet.world;
  world.run_until(5000);
  operators.put("cp1", 0);
  world.run_until(9000);
  callers.work_until(60000, 30);
  world.run_until(30000);
  operators.put("dp1", 1, 0, true);
  Moment in_force = 0;
  while (in_force == 0 && world.now() < 34000) {
    world.run_until(world.now() + 5);
    const bool all =
        std::ranges::all_of(fleet.datas, [&](const auto& node) { return world.data(node)->document_version == 2; });
    if (all) in_force = world.now();
  }
  REQUIRE(in_force != 0);
  callers.swapped.emplace_back(in_force, 1000000);
  world.run_until(85000);
  CHECK(callers.faults().empty());
  std::map<std::string, std::string> tenants;
  for (const auto& call : callers.calls()) tenants[call.caller] = call.tenant;
  std::size_t later = 0;
  for (const auto& address : fleet.backs->addresses())
    for (const auto& run : fleet.backs->model(address).runs()) {
      if (run.when <= in_force + 10) continue;
      ++later;
      const std::size_t cell = tenants.at(run.caller) == "t1" ? 1 : 0;
      CHECK((run.service == service_name(true, cell) || run.service == service_name(false, cell)));
    }
  CHECK(later > 500);
  CHECK(callers.whole_share(30000, 60000) > 0.95);
}

TEST_CASE("a removed route is served by nobody once the new configuration is in force, held requests included",
          "[data]") {
  FleetPlan plan;
  plan.models = 3;
  plan.load_ms = 6000;
  Fleet fleet(4, plan);
  Operators operators(fleet);
  Callers callers(fleet);
  auto& world = fleet.world;
  world.run_until(5000);
  operators.put("cp1", 0, 3, false);
  world.run_until(9000);
  callers.only_tenant = "t1";
  for (const auto& node : fleet.datas) callers.ask_stream(node, "more1", 5);
  world.run_until(10000);
  operators.put("cp1", 1, 0, false);
  world.run_until(12000);
  for (const auto& call : callers.calls()) {
    CHECK(outcome_of(call) == CallOutcome::not_run);
    CHECK(call.told.status == 404);
    CHECK(call.told.at <= 12000);
  }
  world.run_until(40000);
  CHECK(callers.faults().empty());
}

TEST_CASE("a tenant that floods a model doesn't make another wait its backlog out", "[data]") {
  FleetPlan plan;
  plan.models = 1;
  plan.data = 1;
  plan.model_workers = 2;
  Fleet fleet(6, plan);
  Operators operators(fleet);
  Callers flood(fleet);
  Callers guest(fleet);
  auto& world = fleet.world;
  world.run_until(5000);
  operators.put("cp1", 0);
  flood.only_tenant = "t1";
  guest.only_tenant = "t2";
  world.run_until(9000);
  flood.ask_stream("dp1", "review1", 5);
  world.run_until(16000);
  for (Moment now = 16000; now < 40000; now += 10) {
    world.run_until(now);
    flood.ask_stream("dp1", "review1", 60);
    if (now % 500 == 0) guest.ask_stream("dp1", "review1", 60);
  }
  world.run_until(70000);
  const auto flooded = middle_wait(flood, 20000);
  const auto guests = middle_wait(guest, 20000);
  CAPTURE(flooded, guests);
  CHECK(guest.whole_share(16000, 40000) == 1);
  CHECK(guests * 3 < flooded);
}

TEST_CASE("what a backlog can't do in time or in room is refused at once, with when to come back", "[data]") {
  FleetPlan plan;
  plan.models = 1;
  plan.data = 1;
  plan.model_workers = 2;
  plan.held_limit = 200000;
  Fleet fleet(8, plan);
  Operators operators(fleet);
  Callers callers(fleet);
  auto& world = fleet.world;
  std::size_t most = 0;
  world.stepped = [&](SimNode& node) {
    if (const auto* state = std::get_if<DataState>(&node.state)) most = std::max(most, state->hold.bytes);
  };
  world.run_until(5000);
  operators.put("cp1", 0);
  world.run_until(9000);
  callers.ask_stream("dp1", "review1", 5);
  world.run_until(16000);
  for (Moment now = 16000; now < 30000; now += 5) {
    world.run_until(now);
    callers.ask_stream("dp1", "review1", 60);
  }
  world.run_until(70000);
  std::set<int> returns;
  std::size_t refused = 0;
  for (const auto& call : callers.calls()) {
    if (outcome_of(call) != CallOutcome::not_run) continue;
    ++refused;
    CHECK(call.told.at - call.asked < 20);
    CHECK(retry_after(call.told) >= 1);
    returns.insert(retry_after(call.told));
  }
  CHECK(refused > 500);
  CHECK(returns.size() > 2);
  CHECK(most <= 200000);
  CHECK(most > 100000);
  CHECK(world.data("dp1")->hold.bytes == 0);
  CHECK(callers.faults().empty());
}

TEST_CASE("a draining or departed worker gets nothing new after 3 s, told by whatever says so first", "[data]") {
  enum class Sign { own_status, operators_word, locality, vanished };
  const auto sign = GENERATE(Sign::own_status, Sign::operators_word, Sign::locality, Sign::vanished);
  const bool cut_off = GENERATE(false, true);
  CAPTURE(static_cast<int>(sign), cut_off);
  if (cut_off && (sign == Sign::operators_word || sign == Sign::locality)) return;
  FleetPlan plan;
  plan.models = 2;
  Fleet fleet(12, plan);
  fleet.backs->list_lag = 60000;
  Operators operators(fleet);
  Callers callers(fleet);
  auto& world = fleet.world;
  world.run_until(5000);
  operators.put("cp1", 0);
  world.run_until(9000);
  callers.work_until(60000, 40);
  world.run_until(30000);
  if (cut_off) world.cut({"dp1"}, {fleet.controls.begin(), fleet.controls.end()});
  std::vector<std::string> going{"worker1", "worker2", "caller1"};
  if (sign == Sign::locality) {
    going.clear();
    for (const auto& address : fleet.backs->addresses())
      if (fleet.backs->model(address).plan().locality == "z1") going.push_back(address);
    world.ask("dp2", {0, "POST", "/v1/drain", {}, R"({"name":"locality:z1"})"}, [](const Told&) {});
  }
  for (const auto& address : going) {
    if (sign == Sign::own_status) fleet.backs->control(address, "drain");
    if (sign == Sign::vanished) fleet.backs->control(address, "freeze");
    if (sign == Sign::operators_word)
      world.ask("dp2", {0, "POST", "/v1/drain", {}, R"({"name":"worker:)" + address + R"("})"}, [](const Told&) {});
  }
  world.run_until(55000);
  for (const auto& address : going) {
    const auto& asks = fleet.backs->model(address).asks();
    CAPTURE(address);
    CHECK(asks.size() > 3);
    CHECK((asks.empty() || asks.back() <= 33200));
  }
  if (cut_off) world.heal();
  world.run_until(90000);
  CHECK(callers.whole_share(36000, 60000) > (cut_off ? 0.9 : 0.97));
}
