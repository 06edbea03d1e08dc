#include "sim/secondloss.hpp"

#include "core/consensus/claim.hpp"
#include "sim/corewatch.hpp"
#include "sim/operators.hpp"
#include "unit/checks.hpp"

using namespace weldsail;
using namespace weldsail::sim;

namespace {

wire::Core core_of(const std::vector<std::uint64_t>& disks, const std::vector<std::uint64_t>& next) {
  wire::Core core;
  core.set_formed(true);
  core.set_cluster(1);
  const auto add = [](auto* item, std::uint64_t disk) {
    item->set_disk(disk);
    item->set_seat(static_cast<std::uint32_t>(disk));
  };
  for (const auto disk : disks) add(core.add_disks(), disk);
  for (const auto disk : next) add(core.add_next(), disk);
  return core;
}

wire::CopyAnswer votes_of(const std::string& key, const std::string& claimer) {
  wire::CopyAnswer answer;
  auto* vote = answer.add_votes();
  vote->set_key(key);
  vote->set_claimer(claimer);
  return answer;
}

/// A fleet of core machines with named founders and nothing else that matters here.
FleetPlan core_plan(std::size_t machines, std::uint32_t tolerated) {
  FleetPlan plan;
  plan.control = machines;
  plan.founders = 3;
  plan.core_target = 2 * tolerated + 1;
  plan.replace_after = 1000;
  plan.leave_within = 7000;
  plan.data = 1;
  plan.model_workers = plan.call_workers = 0;
  return plan;
}

std::size_t votes(const CoreWatch& watch) { return static_cast<std::size_t>(watch.committed()->disks_size()); }

/// Runs until the process has ended; how long that took.
Moment time_to_end(World& world, const std::string& address, Moment within) {
  const auto begin = world.now();
  while (world.node(address).alive && world.now() - begin < within) world.run_until(world.now() + 50);
  return world.now() - begin;
}

}  // namespace

TEST_CASE("a second loss at each step of a change, and right after it, loses nothing", "[hardening.second_loss]") {
  const auto seed = GENERATE(range(1, 37));
  CAPTURE(seed);
  check(run_second_loss(static_cast<std::uint64_t>(seed * 7)));
}

TEST_CASE("each size bears its losses while a leaving process votes on", "[hardening.second_loss]") {
  const auto machines = GENERATE(3, 4, 5, 6);
  const auto step = GENERATE(range(0, 6));
  CAPTURE(machines, step);
  const SecondLossCase chosen{static_cast<std::size_t>(machines), machines < 5 ? 1U : 2U, static_cast<ChangeStep>(step),
                              FirstLoss::told_to_leave, SecondLoss::voter};
  check(run_second_loss_case(static_cast<std::uint64_t>(machines * 10 + step), chosen));
}

TEST_CASE("while a change is under way both sets must agree", "[hardening.second_loss]") {
  const auto joint = core_of({1, 2, 3}, {2, 3, 4});
  CHECK(core_majority(joint, {2, 3}));
  CHECK(core_majority(joint, {1, 2, 4}));
  CHECK_FALSE(core_majority(joint, {1, 2}));
  CHECK_FALSE(core_majority(joint, {3, 4}));
  CHECK_FALSE(core_majority(core_of({1, 2, 3}, {3, 4, 5}), {3, 4, 5}));
  CHECK_FALSE(core_majority(core_of({1, 2, 3}, {3, 4, 5}), {1, 2, 3}));
}

TEST_CASE("a copied vote of two claimers counts for neither", "[hardening.second_loss]") {
  AcceptorState acceptor;
  VoteState vote;
  repair_merge(acceptor, vote, votes_of("key", "first"), 1);
  repair_merge(acceptor, vote, votes_of("key", "first"), 1);
  CHECK(vote.votes.at("key").claimer == "first");
  repair_merge(acceptor, vote, votes_of("key", "second"), 1);
  repair_merge(acceptor, vote, votes_of("key", "first"), 1);
  MemberState member;
  for (const std::string claimer : {"first", "second"}) {
    wire::Envelope ask;
    ask.mutable_claim()->set_key("key");
    ask.mutable_claim()->set_claimer(claimer);
    Effects effects;
    vote_receive(vote, member, ask, 2, effects);
    const auto* answer = effects.empty() ? nullptr : std::get_if<SendMessage>(&effects.front());
    REQUIRE(answer != nullptr);
    CHECK_FALSE(answer->envelope.claimed().granted());
  }
}

TEST_CASE("who knows an older core gets the newer one and no vote", "[hardening.second_loss]") {
  Fleet fleet(5, core_plan(3, 1));
  auto& world = fleet.world;
  world.run_until(8000);
  auto state = *world.control("cp1");
  REQUIRE(state.formation.core.formed());
  state.formation.core.set_version(5);
  state.member.core_tag = core_tag(state.formation.core);
  const auto promised = state.acceptor.copies[config_key].promised;
  const auto now = world.now() + world.node("cp1").offset;
  auto ask = member_envelope(world.control("cp2")->member, state.member.self.node());
  ask.mutable_prepare()->set_key(config_key);
  ask.mutable_prepare()->set_epoch(promised + epoch_stride);
  const auto effects = reduce(state, MessageArrived{ask}, now);
  CHECK(state.acceptor.copies[config_key].promised == promised);
  REQUIRE(effects.size() == 1);
  const auto* sent = std::get_if<SendMessage>(&effects.front());
  REQUIRE(sent != nullptr);
  CHECK(sent->envelope.news().core().version() == 5);
}

TEST_CASE("the fourth of four machines is a spare until one is lost, and an even number is only passed through",
          "[hardening.second_loss]") {
  Fleet fleet(11, core_plan(4, 1));
  auto& world = fleet.world;
  CoreWatch watch(fleet, [] { return 0; });
  watch.watch();
  world.run_until(15000);
  CHECK(votes(watch) == 3);
  CHECK(core_seat(*watch.committed(), world.control("cp4")->member.self.disk()) == 0);
  world.kill("cp2");
  world.run_until(25000);
  CHECK(watch.full(3));
  CHECK(votes(watch) == 3);
  CHECK(core_seat(*watch.committed(), world.control("cp4")->member.self.disk()) != 0);
  world.start("cp2");
  world.run_until(35000);
  CHECK(votes(watch) == 3);
  CHECK(core_seat(*watch.committed(), world.control("cp2")->member.self.disk()) == 0);
  CHECK(watch.faults().empty());
}

TEST_CASE("four machines that bear two losses hold three votes until a fifth is there", "[hardening.second_loss]") {
  Fleet fleet(12, core_plan(4, 2));
  auto& world = fleet.world;
  CoreWatch watch(fleet, [] { return 0; });
  watch.watch();
  world.run_until(15000);
  CHECK(votes(watch) == 3);
  fleet.add_control("cp5", 4);
  fleet.controls.emplace_back("cp5");
  world.start("cp5");
  world.run_until(25000);
  CHECK(watch.full(5));
  CHECK(votes(watch) == 5);
}

TEST_CASE("a process that is told to leave ends once its seat is handed over, at once where nothing takes it",
          "[hardening.second_loss]") {
  Fleet fleet(13, core_plan(4, 1));
  auto& world = fleet.world;
  CoreWatch watch(fleet, [] { return 0; });
  watch.watch();
  world.run_until(15000);
  const auto holder = fleet.holder(core_key);
  const auto disk = world.control(holder)->member.self.disk();
  world.leave(holder);
  CHECK(time_to_end(world, holder, 8000) < 6000);
  CHECK(core_seat(*watch.committed(), disk) == 0);
  CHECK(watch.full(3));
  // Now three machines are left: the next one has no successor, and two votes remain.
  std::erase(fleet.controls, holder);
  world.run_until(world.now() + 5000);
  const auto next = fleet.controls.front();
  world.leave(next);
  CHECK(time_to_end(world, next, 8000) <= 800);
  // The last but one would leave no majority: it votes on until the time is over.
  std::erase(fleet.controls, next);
  world.run_until(world.now() + 5000);
  const auto last = fleet.controls.front();
  world.leave(last);
  const auto lasted = time_to_end(world, last, 9000);
  CHECK(lasted >= 7000);
  CHECK(lasted <= 8000);
}

TEST_CASE("of several that are told to leave at once one ends after another, and all at once when none stays",
          "[hardening.second_loss]") {
  Fleet fleet(14, core_plan(3, 1));
  auto& world = fleet.world;
  world.run_until(15000);
  const auto ended = [&] {
    return std::ranges::count_if(fleet.controls, [&](const auto& address) { return !world.node(address).alive; });
  };
  world.leave("cp1");
  world.leave("cp2");
  world.run_until(world.now() + 3000);
  CHECK(ended() == 1);
  world.leave("cp3");
  world.run_until(world.now() + 1500);
  CHECK(ended() == 3);
}

TEST_CASE("a core that has given its last seat takes no further disk in", "[hardening.second_loss]") {
  Fleet fleet(11, core_plan(4, 1));
  auto& world = fleet.world;
  world.run_until(8000);
  std::size_t owners = 0;
  for (const auto* address : {"cp1", "cp2", "cp3", "cp4"}) {
    auto state = *world.control(address);
    auto& owner = state.owners[core_key];
    if (owner.phase != OwnerPhase::holding || owner.proposal) continue;
    ++owners;
    std::uint64_t spare = 0;
    for (const auto* entry : live_members(state.member, Program::control))
      if (core_seat(state.formation.core, entry->disk()) == 0) spare = entry->disk();
    REQUIRE(spare != 0);
    Effects effects;
    state.formation.core.set_highest_seat(static_cast<std::uint32_t>(epoch_stride - 1));
    CHECK(repair_set(state.member, state.formation, owner, 0, spare, world.now(), effects) == "no seat is left");
    CHECK(effects.empty());
    CHECK_FALSE(owner.proposal);
    state.formation.core.set_highest_seat(static_cast<std::uint32_t>(epoch_stride - 2));
    CHECK(repair_set(state.member, state.formation, owner, 0, spare, world.now(), effects).empty());
    CHECK(owner.proposal);
  }
  CHECK(owners == 1);
}
