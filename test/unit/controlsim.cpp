#include <catch2/catch.hpp>

#include "sim/callers.hpp"
#include "sim/operators.hpp"

using namespace weldsail;
using namespace weldsail::sim;

namespace {

FleetPlan bare_plan() {
  FleetPlan plan;
  plan.data = 2;
  plan.model_workers = plan.call_workers = 0;
  return plan;
}

Told post(Fleet& fleet, const std::string& node, const std::string& path, const std::string& body) {
  Told answer;
  fleet.world.ask(node, {0, "POST", path, {}, body}, [&](const Told& told) { answer = told; });
  fleet.world.run_until(fleet.world.now() + 3000);
  return answer;
}

std::set<std::uint64_t> core_of(const Fleet& fleet, const std::string& address) {
  const auto& core = fleet.world.control(address)->formation.core;
  return core.next_size() > 0 ? std::set<std::uint64_t>{} : core_members(core);
}

std::uint64_t disk_of(const Fleet& fleet, const std::string& address) {
  return fleet.world.control(address)->member.self.disk();
}

bool accepts_a_change(Fleet& fleet, const std::string& node) {
  Operators operators(fleet);
  operators.put(node, 0);
  fleet.world.run_until(fleet.world.now() + 6000);
  return operators.accepted() == 1;
}

}  // namespace

TEST_CASE("a formation that loses its proposer or another disk half-way still ends in a core", "[control]") {
  const bool lose_proposer = GENERATE(true, false);
  const auto seed = GENERATE(1, 2, 3, 4, 5, 6);
  CAPTURE(lose_proposer, seed);
  Fleet fleet(static_cast<std::uint64_t>(seed), bare_plan());
  auto& world = fleet.world;
  std::string lost;
  for (Moment now = 1; now < 20000 && lost.empty(); ++now) {
    world.run_until(now);
    std::string proposer;
    std::vector<std::string> others;
    for (const auto& address : fleet.controls) {
      const auto* state = world.control(address);
      if (state->formation.phase != CorePhase::bound) continue;
      const bool first = state->formation.core.disks(0).disk() == state->member.self.disk();
      if (first)
        proposer = address;
      else
        others.push_back(address);
    }
    if (!proposer.empty() && !others.empty()) lost = lose_proposer ? proposer : others.front();
  }
  REQUIRE_FALSE(lost.empty());
  world.kill(lost);
  fleet.add_control("cp4", 0);
  world.start("cp4");
  world.run_until(world.now() + 60000);
  CHECK(accepts_a_change(fleet, "cp4"));
  world.start(lost);
  world.run_until(world.now() + 40000);
  std::set<std::uint64_t> clusters;
  for (const auto& address : {"cp1", "cp2", "cp3", "cp4"})
    clusters.insert(world.control(address)->member.self.cluster());
  CHECK(clusters.size() == 1);
}

TEST_CASE("a drained control node gives its duties up, takes none and goes on voting", "[control]") {
  Fleet fleet(3, bare_plan());
  auto& world = fleet.world;
  world.run_until(4000);
  REQUIRE(accepts_a_change(fleet, "cp1"));
  for (int turn = 0; turn < 2; ++turn) {
    const auto holder = fleet.holder(config_key);
    REQUIRE_FALSE(holder.empty());
    const auto told = post(fleet, "dp1", "/v1/drain", R"({"name":"node:)" + holder + R"(","drained":true})");
    CHECK(told.status == 200);
    world.run_until(world.now() + 20000);
    const auto* drained = world.control(holder);
    for (const auto& [key, owner] : drained->owners) CHECK(owner.phase == OwnerPhase::idle);
    CHECK(fleet.holder(config_key) != holder);
    CHECK(fleet.holder(placement_key) != holder);
    CHECK(drained->acceptor.copies.at(config_key).version >= 1);
  }
  CHECK_FALSE(fleet.holder(config_key).empty());
}

TEST_CASE("an operator changes the core's set; the disk let go can't vote any more", "[control]") {
  Fleet fleet(5, bare_plan());
  auto& world = fleet.world;
  world.run_until(4000);
  REQUIRE(accepts_a_change(fleet, "cp1"));
  fleet.add_control("cp4", 0);
  world.start("cp4");
  world.run_until(12000);
  CHECK(post(fleet, "dp1", "/v1/core", R"({"let_go":"cp9"})").status == 409);
  CHECK(post(fleet, "dp1", "/v1/core", R"({"let_go":"cp1"})").status == 409);
  CHECK(post(fleet, "dp1", "/v1/core", "{}").status == 400);
  CHECK(post(fleet, "dp2", "/v1/core", R"({"let_go":"cp1","take_in":"cp4"})").status == 200);
  world.run_until(40000);
  const std::set<std::uint64_t> wanted{disk_of(fleet, "cp2"), disk_of(fleet, "cp3"), disk_of(fleet, "cp4")};
  CHECK(core_of(fleet, "cp2") == wanted);
  CHECK(core_of(fleet, "cp1") == wanted);
  CHECK(post(fleet, "dp2", "/v1/core", R"({"take_in":"cp1"})").status == 200);
  world.run_until(70000);
  CHECK(core_of(fleet, "cp3").size() == 4);
}

TEST_CASE("a key is refused for the whole time that is stated, across restarts and a replaced disk", "[control]") {
  FleetPlan plan;
  plan.models = 2;
  plan.claims_kept = 60000;
  Fleet fleet(11, plan);
  auto& world = fleet.world;
  Operators operators(fleet);
  Callers callers(fleet);
  world.run_until(6000);
  operators.put("cp1", 0);
  world.run_until(14000);
  callers.ask_call("dp1", "kept");
  world.run_until(20000);
  REQUIRE(outcome_of(callers.calls()[0]) == CallOutcome::whole);
  world.kill("cp1");
  world.empty_disk("cp1");
  world.start("cp1");
  world.run_until(50000);
  for (const auto& address : fleet.controls) world.kill(address);
  for (const auto& address : fleet.controls) world.start(address);
  world.run_until(73900);
  callers.ask_call("dp2", "kept", true);
  world.run_until(80000);
  CHECK(outcome_of(callers.calls()[1]) == CallOutcome::unknown);
  CHECK(callers.faults().empty());
  world.run_until(120000);
  callers.ask_call("dp2", "kept", true);
  world.run_until(125000);
  CHECK(outcome_of(callers.calls()[2]) == CallOutcome::whole);
}

TEST_CASE("of two requests that split a key's votes one goes on, and none runs twice", "[control]") {
  const auto seed = GENERATE(1, 2, 3);
  const auto disks = GENERATE(3, 4);
  CAPTURE(seed, disks);
  FleetPlan plan;
  plan.control = static_cast<std::size_t>(disks);
  plan.models = 2;
  Fleet fleet(static_cast<std::uint64_t>(seed), plan);
  auto& world = fleet.world;
  Operators operators(fleet);
  Callers callers(fleet);
  world.run_until(6000);
  operators.put("cp1", 0);
  world.run_until(14000);
  if (disks == 3) world.kill("cp3");
  for (int turn = 0; turn < 60; ++turn) {
    callers.ask_call("dp1", "both" + std::to_string(turn));
    callers.ask_call("dp2", "both" + std::to_string(turn), true);
    world.run_until(world.now() + 250);
  }
  world.run_until(world.now() + 8000);
  CHECK(callers.faults().empty());
  std::map<std::string, int> whole;
  for (const auto& call : callers.calls()) whole[call.key] += outcome_of(call) == CallOutcome::whole ? 1 : 0;
  for (const auto& [key, count] : whole) CHECK(count == 1);
}

TEST_CASE("when a majority of the core is gone for good one named disk goes on, and the old core can't come back",
          "[control]") {
  const auto seed = GENERATE(1, 2, 3);
  CAPTURE(seed);
  FleetPlan plan;
  plan.models = 2;
  Fleet fleet(static_cast<std::uint64_t>(seed), plan);
  Operators operators(fleet);
  Callers callers(fleet);
  auto& world = fleet.world;
  world.run_until(5000);
  operators.put("cp1", 0);
  world.run_until(9000);
  operators.put("cp1", 1);
  world.run_until(12000);
  const auto cluster = std::to_string(world.control("cp3")->member.self.cluster());
  const auto disk = std::to_string(disk_of(fleet, "cp3"));
  const auto order = [&](const std::string& loss) {
    return R"({"cluster":")" + cluster + R"(","disk":")" + disk + R"(","accept_loss":)" + loss + "}";
  };
  CHECK(post(fleet, "cp3", "/v1/core/recover", order("true")).status == 409);
  world.kill("cp1");
  world.kill("cp2");
  world.run_until(24000);
  callers.ask_stream("dp1", "review1", 5);
  CHECK(post(fleet, "cp3", "/v1/core/recover", order("false")).status == 409);
  CHECK(post(fleet, "cp3", "/v1/core/recover", R"({"cluster":"1","disk":"2","accept_loss":true})").status == 409);
  const auto told = post(fleet, "cp3", "/v1/core/recover", order("true"));
  CHECK(told.status == 200);
  world.run_until(40000);
  Operators later(fleet, 1000);
  Told read;
  world.ask("dp1", {0, "GET", "/v1/config", {}, {}}, [&](const Told& answer) { read = answer; });
  world.run_until(43000);
  CHECK(read.body == operators.changes()[1].document);
  const auto version = std::stoull("0" + header_value(read.headers, "weldsail-version"));
  CHECK(version > 2);
  later.put("dp2", version);
  world.run_until(46000);
  CHECK(later.accepted() == 1);
  world.start("cp1");
  world.start("cp2");
  for (int turn = 0; turn < 20; ++turn) {
    operators.put("cp1", 2);
    operators.put("cp2", 2);
    world.run_until(world.now() + 250);
  }
  world.run_until(60000);
  CHECK(operators.accepted() == 2);
  CHECK(core_of(fleet, "cp1") == std::set<std::uint64_t>{disk_of(fleet, "cp3")});
  CHECK(post(fleet, "dp1", "/v1/core", R"({"take_in":"cp1"})").status == 200);
  world.run_until(72000);
  CHECK(post(fleet, "dp1", "/v1/core", R"({"take_in":"cp2"})").status == 200);
  world.run_until(90000);
  CHECK(core_of(fleet, "cp2").size() == 3);
  for (const auto& node : fleet.datas) CHECK(world.data(node)->document_version == version + 1);
  CHECK(outcome_of(callers.calls()[0]) == CallOutcome::whole);
}
