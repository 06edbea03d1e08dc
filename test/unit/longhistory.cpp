#include "sim/plaindisk.hpp"
#include "unit/checks.hpp"

using namespace weldsail;
using namespace weldsail::sim;

namespace {

constexpr std::size_t large_record = 1500;

/// Groups that need several rewrites of the file.
std::vector<Group> groups_with_rewrites(std::uint64_t seed) {
  Chance chance(seed);
  std::vector<Group> groups;
  for (int number = 0; number < 60; ++number) groups.push_back(random_group(chance, large_record));
  return groups;
}

/// Appends until the power goes; false when it went.
bool append_all(ModelledDisk& disk, const std::vector<Group>& groups) {
  for (const auto& group : groups) {
    disk.append(group);
    if (!disk.powered()) return false;
  }
  return true;
}

std::uint64_t operations_without_trouble(const std::vector<Group>& groups) {
  ModelledDisk disk(1);
  REQUIRE(disk.start());
  REQUIRE(append_all(disk, groups));
  REQUIRE(disk.rewrites >= 2);
  return disk.folder.operations_done();
}

/// Starts again after a loss of power, which may go once more while it does.
void start_after_loss(ModelledDisk& disk, std::uint64_t again_at) {
  disk.lose_power();
  if (again_at != 0) {
    disk.folder.power_lost_at = disk.folder.operations_done() + again_at;
    if (!disk.start()) disk.lose_power();
  }
  disk.folder.power_lost_at = 0;
  if (!disk.start() && disk.fault.empty()) disk.fault = "the disk doesn't start";
}

}  // namespace

TEST_CASE("what was synced reads back after a loss of power at each operation", "[hardening.long_history]") {
  const auto groups = groups_with_rewrites(11);
  const auto operations = operations_without_trouble(groups);
  for (std::uint64_t at = 1; at <= operations; ++at) {
    ModelledDisk disk(at);
    disk.folder.power_lost_at = at;
    if (disk.start()) append_all(disk, groups);
    start_after_loss(disk, at % 4);
    if (disk.fault.empty()) {
      append_all(disk, {groups[0], groups[1]});
      start_after_loss(disk, 0);
    }
    INFO("power lost at operation " << at);
    REQUIRE(disk.fault.empty());
  }
}

TEST_CASE("what was synced reads back after any one operation has failed", "[hardening.long_history]") {
  const auto groups = groups_with_rewrites(12);
  const auto operations = operations_without_trouble(groups);
  for (std::uint64_t at = 4; at <= operations; ++at) {
    ModelledDisk disk(at);
    REQUIRE(disk.start());
    disk.folder.fails_at = at;
    disk.folder.failure = at % 2 == 0 ? EIO : ENOSPC;
    REQUIRE(append_all(disk, groups));
    const bool all_at_once = at % 3 == 0;
    if (all_at_once)
      disk.end_process();
    else
      disk.lose_power();
    disk.start();
    INFO("failed operation " << at);
    REQUIRE(disk.fault.empty());
  }
}

TEST_CASE("what was synced reads back after failures, kills and losses of power one upon another",
          "[hardening.long_history]") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Chance chance(seed);
    ModelledDisk disk(seed);
    disk.start();
    for (int life = 0; life < 20 && disk.fault.empty(); ++life) {
      for (int number = 0; number < 8 && disk.powered(); ++number) {
        if (chance.happens(0.2)) disk.folder.fails_at = disk.folder.operations_done() + 1 + chance.below(4);
        if (chance.happens(0.2)) disk.folder.power_lost_at = disk.folder.operations_done() + 1 + chance.below(8);
        disk.append(random_group(chance, large_record));
      }
      disk.folder.fails_at = 0;
      if (disk.powered() && chance.happens(0.3)) {
        disk.end_process();
        disk.folder.power_lost_at = 0;
        disk.start();
      } else {
        start_after_loss(disk, chance.below(4));
      }
    }
    INFO("seed " << seed << ": " << disk.fault);
    REQUIRE(disk.fault.empty());
  }
}

TEST_CASE("the simulated folder finds a rewrite whose folder isn't synced", "[hardening.long_history]") {
  std::uint64_t found = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ModelledDisk disk(seed);
    disk.folder.ignores_folder_syncs = true;
    REQUIRE(disk.start());
    append_all(disk, groups_with_rewrites(seed));
    disk.lose_power();
    disk.start();
    if (!disk.fault.empty()) ++found;
  }
  CHECK(found >= 5);
}

TEST_CASE("members are caught up, vote and tell from nothing old over hundreds of changes",
          "[hardening.long_history]") {
  const auto result = run_long_history(3);
  check(result);
  CHECK(result.figures.at(0).second >= 620);
  CHECK(result.figures.at(1).second >= 5);
}
