/// Deployments whose control processes share machines with data nodes, and where some of them have no disk.
#include "sim/corewatch.hpp"
#include "sim/operators.hpp"
#include "unit/checks.hpp"

using namespace weldsail;
using namespace weldsail::sim;

namespace {

constexpr std::size_t with_disk = 8;
constexpr std::size_t without_disk = 3;
constexpr std::uint32_t tolerated = 2;
constexpr std::size_t voters = 2 * tolerated + 1;
constexpr Moment formed_within = 20000;
constexpr Moment taken_within = 12000;

FleetPlan shared_plan() {
  FleetPlan plan;
  plan.control = with_disk + without_disk;
  for (std::size_t place = with_disk; place < plan.control; ++place) plan.diskless.insert(place);
  plan.founders = 3;
  plan.core_target = voters;
  plan.replace_after = 1000;
  plan.leave_within = 7000;
  plan.data = plan.control;
  plan.localities = 4;
  plan.model_workers = plan.call_workers = 0;
  return plan;
}

/// Machines with a control process and a data node each: the first of both share one, and so on.
struct SharedMachines {
  explicit SharedMachines(std::uint64_t seed, const FleetPlan& plan = shared_plan())
      : fleet(seed, plan), operators(fleet), watch(fleet, [this] { return operators.newest_seen(); }) {
    operators.watch();
    watch.watch();
  }
  World& world() { return fleet.world; }
  bool wait(Moment within, const std::function<bool()>& met) {
    const auto end = world().now() + within;
    while (!met() && world().now() < end) world().run_until(world().now() + 100);
    return met();
  }
  /// Waits for the core, and has operators work at all nodes for a while.
  void begin(std::size_t wanted = voters) {
    REQUIRE(wait(formed_within, [&] { return watch.full(wanted); }));
    operators.put(fleet.controls.back(), 0);
    operators.work_until(world().now() + 60000, 300);
    world().run_until(world().now() + 5000);
    REQUIRE(operators.accepted() > 0);
  }
  void lose_power(std::size_t machine) {
    world().kill(fleet.controls[machine]);
    world().kill(fleet.datas[machine]);
  }
  void start(std::size_t machine) {
    world().start(fleet.controls[machine]);
    world().start(fleet.datas[machine]);
  }
  /// Machines whose control process votes.
  std::vector<std::size_t> voting() {
    std::vector<std::size_t> result;
    for (std::size_t machine = 0; machine < fleet.controls.size(); ++machine)
      for (const auto& item : watch.committed()->disks())
        if (watch.address_of(item.disk()) == fleet.controls[machine]) result.push_back(machine);
    return result;
  }
  bool takes_changes_again() {
    const auto since = world().now();
    return wait(taken_within, [&] {
      return std::ranges::any_of(operators.changes(), [&](const auto& change) {
        return change.outcome == "accepted" && change.asked >= since;
      });
    });
  }
  /// Nothing that was acknowledged is lost, and no process without a disk ever became a voter.
  void judge() {
    const auto newest = operators.newest_seen();
    const auto last = operators.read_back(15000);
    REQUIRE(last);
    CHECK(last->version >= newest);
    for (const auto& fault : operators.faults()) FAIL_CHECK(fault);
    for (const auto& fault : watch.faults()) FAIL_CHECK(fault);
    for (const auto machine : voting()) CHECK(world().node(fleet.controls[machine]).has_disk);
  }
  Fleet fleet;
  Operators operators;
  CoreWatch watch;
};

}  // namespace

TEST_CASE("eight machines with disks have five voters, and control processes without a disk have no vote",
          "[hardening.shared_machines]") {
  const auto seed = GENERATE(range(1, 4));
  CAPTURE(seed);
  SharedMachines machines(static_cast<std::uint64_t>(seed));
  machines.begin();
  CHECK(machines.voting().size() == voters);
  // Operators are served by a process without a disk as by any other.
  const auto& diskless = machines.fleet.controls.back();
  const auto told = std::make_shared<int>(0);
  RequestArrived ask;
  ask.method = "GET";
  ask.path = "/v1/config";
  machines.world().ask(diskless, ask, [told](const Told& answer) { *told = answer.status; });
  CHECK(machines.wait(3000, [&] { return *told == 200; }));
  machines.judge();
}

TEST_CASE("a founder without a disk isn't waited for", "[hardening.shared_machines]") {
  const std::set<std::size_t> founders_without = GENERATE(std::set<std::size_t>{0}, std::set<std::size_t>{0, 2});
  auto plan = shared_plan();
  plan.diskless = founders_without;
  SharedMachines machines(7, plan);
  machines.begin();
  for (const auto machine : machines.voting()) CHECK_FALSE(founders_without.contains(machine));
  machines.judge();
}

TEST_CASE("two machines with a voter and a data node each are lost at once", "[hardening.shared_machines]") {
  const auto seed = GENERATE(range(11, 15));
  CAPTURE(seed);
  SharedMachines machines(static_cast<std::uint64_t>(seed));
  machines.begin();
  const auto lost = machines.voting();
  machines.lose_power(lost[0]);
  machines.lose_power(lost[static_cast<std::size_t>(seed) % 2 + 1]);
  CHECK(machines.takes_changes_again());
  CHECK(machines.wait(full_within, [&] { return machines.watch.full(voters); }));
  machines.judge();
}

TEST_CASE("two disks are lost while all other machines lose power, those that don't count too",
          "[hardening.shared_machines]") {
  const auto seed = GENERATE(range(21, 27));
  CAPTURE(seed);
  SharedMachines machines(static_cast<std::uint64_t>(seed));
  machines.begin();
  machines.operators.work_until(machines.world().now(), 300);
  const bool all = seed % 2 == 0;
  const auto lost = machines.voting();
  for (std::size_t machine = 0; machine < (all ? machines.fleet.controls.size() : with_disk); ++machine)
    machines.lose_power(machine);
  for (const auto place : {std::size_t{0}, static_cast<std::size_t>(seed) % 4 + 1})
    machines.world().empty_disk(machines.fleet.controls[lost[place]]);
  machines.world().run_until(machines.world().now() + 700);
  for (std::size_t machine = 0; machine < (all ? machines.fleet.controls.size() : with_disk); ++machine)
    machines.start(machine);
  CHECK(machines.wait(full_within, [&] { return machines.watch.full(voters); }));
  machines.judge();
}

TEST_CASE("a machine with a voter is replaced by an empty one at another address", "[hardening.shared_machines]") {
  SharedMachines machines(31);
  machines.begin();
  const auto lost = machines.voting().front();
  machines.lose_power(lost);
  machines.fleet.add_control("fresh", with_disk + without_disk);
  machines.world().start("fresh");
  machines.fleet.controls[lost] = "fresh";
  CHECK(machines.takes_changes_again());
  CHECK(machines.wait(full_within, [&] { return machines.watch.full(voters); }));
  machines.judge();
}

TEST_CASE("a voter's process ends while the data node beside it goes on", "[hardening.shared_machines]") {
  SharedMachines machines(41);
  machines.begin();
  const auto machine = machines.voting().front();
  const auto life = machines.world().node(machines.fleet.datas[machine]).life;
  machines.world().kill(machines.fleet.controls[machine]);
  CHECK(machines.takes_changes_again());
  machines.world().start(machines.fleet.controls[machine]);
  CHECK(machines.wait(full_within, [&] { return machines.watch.full(voters); }));
  CHECK(machines.world().node(machines.fleet.datas[machine]).life == life);
  machines.judge();
}

TEST_CASE("with fewer disks than the tolerance needs those that are there vote, and none else",
          "[hardening.shared_machines]") {
  auto plan = shared_plan();
  plan.diskless.clear();
  for (std::size_t place = 3; place < plan.control; ++place) plan.diskless.insert(place);
  SharedMachines machines(51, plan);
  machines.begin(3);
  machines.world().run_until(machines.world().now() + 10000);
  CHECK(machines.voting().size() == 3);
  for (const auto& address : machines.fleet.controls) CHECK(machines.world().control(address)->shortage.told);
  machines.judge();
}

TEST_CASE("a shortage of disks is told once, and again when it comes again", "[hardening.shared_machines]") {
  constexpr Moment bound = 3000;
  ShortageState state;
  state.bound = bound;
  state.target = 3;
  MemberState member;
  member.self.set_program(static_cast<std::uint32_t>(Program::control));
  FormationState formation;
  const auto told = [&](Moment now) {
    Effects effects;
    shortage_tick(state, member, formation, now, effects);
    return effects.size();
  };
  const auto disks = [&](std::uint64_t count) {
    member.others.clear();
    for (std::uint64_t node = 1; node <= count; ++node) {
      auto& entry = member.others[node].entry;
      entry.set_program(static_cast<std::uint32_t>(Program::control));
      entry.set_state(static_cast<std::uint32_t>(MemberPhase::alive));
      entry.set_disk(node);
    }
  };
  disks(2);
  CHECK(told(0) == 0);
  CHECK(told(2 * bound - 1) == 0);
  CHECK(told(2 * bound) == 1);
  CHECK(told(3 * bound) == 0);
  disks(3);
  CHECK(told(4 * bound) == 0);
  disks(2);
  CHECK(told(5 * bound) == 0);
  CHECK(told(7 * bound) == 1);
  state.target = 0;
  CHECK(told(20 * bound) == 0);
}
