#include "unit/pathcore.hpp"

using namespace weldsail;
using namespace weldsail::sim;

TEST_CASE("all control processes restart with seeds that are dead and find one another", "[control]") {
  const auto seed = GENERATE(1, 2, 3);
  Core core(static_cast<std::uint64_t>(seed));
  core.start_all();
  core.pass(3000);
  REQUIRE(core.put(0, Core::document(3, "a"), 4000) < 1000);
  for (const auto& address : core.addresses) {
    core.world.kill(address);
    core.tell(address, {"d1", "d2", "d3"}, false);
  }
  core.pass(500);
  core.start_all();
  core.pass(3000);
  CHECK(core.put(3, Core::document(7, "b"), 4000) < 4000);
  CHECK(core.read("c1") == Core::document(7, "b"));
}

TEST_CASE("an owner that dies, freezes, leaves, is cut off or whose disk is full or stalls holds no order up",
          "[control]") {
  const auto trouble = GENERATE(0, 1, 2, 3, 4, 5, 6, 7);
  const auto seed = GENERATE(1, 2, 3, 4);
  CAPTURE(trouble, seed);
  Core core(static_cast<std::uint64_t>(seed));
  core.start_all();
  core.pass(3000);
  REQUIRE(core.put(0, Core::document(3, "a"), 4000) < 1000);
  const auto owner = duty_holder(core.world.control("c1")->member, config_key)->address();
  const std::set<std::string> all{"c1", "c2", "c3"};
  auto others = all;
  others.erase(owner);
  if (trouble == 0) core.world.kill(owner);
  if (trouble == 1) core.world.freeze(owner);
  if (trouble == 2) core.world.leave(owner);
  if (trouble == 3) core.world.cut({owner}, others);
  if (trouble == 4) core.world.cut_one_way({owner}, others);
  if (trouble == 5) core.world.node(owner).disk_full = true;
  if (trouble == 6) core.world.cut_one_way(others, {owner});
  if (trouble == 7) core.world.node(owner).sync_least = core.world.node(owner).sync_most = 5000;
  core.pass(3000);
  CHECK(core.put(3, Core::document(7, "b"), 4000) < 4000);
  core.world.heal();
  if (trouble == 1) core.world.wake(owner);
  if (trouble == 0 || trouble == 2) core.world.start(owner);
  core.world.node(owner).disk_full = false;
  core.world.node(owner).sync_least = core.world.node(owner).sync_most = 4;
  core.pass(3000);
  CHECK(core.put(7, Core::document(9, "c"), 4000) < 4000);
  CHECK(core.read(owner) == Core::document(9, "c"));
}

TEST_CASE("what was acknowledged outlives a loss of power everywhere that also empties a disk", "[control]") {
  const auto seed = GENERATE(1, 2, 3, 4, 5, 6);
  CAPTURE(seed);
  Core core(static_cast<std::uint64_t>(seed));
  core.add("c4", {"c1", "c2", "c3"}, true);
  core.start_all();
  core.pass(3000);
  std::uint64_t revision = 0;
  for (const auto* address : {"c1", "c4", "c2", "c3"}) {
    REQUIRE(core.put(revision, Core::document(revision + 3, address), 8000) < 8000);
    revision += 3;
    for (const auto& other : core.addresses) core.world.kill(other);
    core.world.empty_disk(address);
    for (const auto& other : core.addresses) core.tell(other, {"c1", "c2", "c3"}, false);
    core.pass(500);
    core.start_all();
    core.pass(4000);
    for (const auto& other : core.addresses) CHECK(core.read(other) == Core::document(revision, address));
    core.pass(3000);
  }
}

TEST_CASE("a machine that only restarts keeps its seat, or costs one change of the core at most", "[control]") {
  const auto away = GENERATE(500, 1500, 6000);
  CAPTURE(away);
  Core core(2);
  core.add("c4", {"c1", "c2", "c3"}, true);
  core.start_all();
  core.pass(4000);
  const auto before = core.voters("c1");
  REQUIRE(before.size() == 3);
  const auto first = core.world.control("c1")->formation.core.version();
  core.world.kill("c2");
  core.pass(away);
  core.world.start("c2");
  core.pass(20000);
  CHECK(core.voters("c1").size() == 3);
  const auto changes = core.world.control("c1")->formation.core.version() - first;
  CHECK(changes == (away < 2000 ? 0U : 2U));
}
