#include "core/membership/rendezvous.hpp"
#include "sim/corewatch.hpp"
#include "sim/operators.hpp"

namespace weldsail::sim {
namespace {

constexpr Moment formed_within = 30000;
constexpr Moment grace = 8000;
constexpr Moment poll = 100;

/// A fleet whose core machines are lost one after another; a new machine comes for each that the core then lacks.
struct Losses {
  Fleet& fleet;
  CoreWatch& watch;
  std::size_t wanted;
  std::size_t fresh = 0;
  std::set<std::string> gone = {};

  World& world() { return fleet.world; }

  std::size_t machines() const { return fleet.controls.size(); }

  void add_machine(Moment pause) {
    const auto address = "fresh" + std::to_string(++fresh);
    fleet.add_control(address, fresh, fleet.controls);
    fleet.controls.push_back(address);
    world().at(world().now() + pause, [this, address] { world().start(address); });
  }

  void remove_machine(const std::string& address) {
    gone.insert(address);
    std::erase(fleet.controls, address);
    if (machines() < wanted) add_machine(1000);
  }

  void lose_for_good(const std::string& address) {
    if (address.empty()) return;
    world().kill(address);
    remove_machine(address);
  }

  void restart(const std::string& address, Moment pause) {
    world().at(world().now() + pause, [this, address] {
      if (!world().node(address).alive && !gone.contains(address)) world().start(address);
    });
  }

  void lose_for_a_while(const std::string& address) {
    if (address.empty()) return;
    world().kill(address);
    restart(address, world().chance.between(500, 4000));
  }

  void empty(const std::string& address) {
    if (address.empty()) return;
    world().kill(address);
    world().empty_disk(address);
    restart(address, world().chance.between(300, 1500));
  }

  void tell_to_leave(const std::string& address) {
    if (address.empty()) return;
    fleet.leaving.insert(address);
    remove_machine(address);
    world().leave(address);
    world().at(world().now() + grace, [this, address] { world().kill(address); });
  }

  void lose_power() {
    for (const auto& [address, node] : world().nodes()) {
      if (!node.alive) continue;
      world().kill(address);
      restart(address, world().chance.between(300, 3000));
    }
  }

  /// A live disk of the old set that wasn't told to leave.
  std::string any_voter() {
    std::vector<std::string> voters;
    const auto core = watch.newest();
    for (const auto& item : core.disks())
      if (const auto address = watch.address_of(item.disk()); !address.empty() && !fleet.leaving.contains(address))
        voters.push_back(address);
    return voters.empty() ? std::string() : voters[world().chance.below(voters.size())];
  }
};

void begin_loss(Losses& losses, const SecondLossCase& chosen) {
  const bool planned = chosen.first == FirstLoss::told_to_leave && losses.machines() <= losses.wanted;
  if (planned) {
    losses.add_machine(1);
    losses.world().run_until(losses.world().now() + 3000);
  }
  const auto lost = losses.any_voter();
  if (chosen.first == FirstLoss::killed) losses.lose_for_good(lost);
  if (chosen.first == FirstLoss::told_to_leave) losses.tell_to_leave(lost);
  if (chosen.first == FirstLoss::emptied) losses.empty(lost);
}

/// While a change is under way a core that bears one loss has one disk less already; a leaving one still votes.
bool bears_another(const SecondLossCase& chosen) {
  return chosen.tolerated > 1 || chosen.step == ChangeStep::ended || chosen.first == FirstLoss::told_to_leave;
}

void strike(Losses& losses, const SecondLossCase& chosen) {
  const bool for_good = bears_another(chosen);
  const auto lose = [&](const std::string& address) {
    for_good ? losses.lose_for_good(address) : losses.lose_for_a_while(address);
  };
  const auto holder = losses.fleet.holder(core_key);
  const auto joining = losses.watch.joining();
  switch (chosen.second) {
    case SecondLoss::core_holder: return lose(holder.empty() ? losses.any_voter() : holder);
    case SecondLoss::voter: return lose(losses.any_voter());
    case SecondLoss::joining: return joining.empty() ? lose(losses.any_voter()) : losses.lose_for_good(joining);
    case SecondLoss::emptied: return for_good ? losses.empty(losses.any_voter()) : lose(losses.any_voter());
    case SecondLoss::told_to_leave: return losses.tell_to_leave(losses.any_voter());
    case SecondLoss::all_power: return losses.lose_power();
  }
}

/// Runs until the condition holds; the time that it took, or nothing.
std::optional<Moment> wait_for(World& world, Moment within, const std::function<bool()>& met) {
  const auto begin = world.now();
  while (!met()) {
    if (world.now() - begin >= within) return std::nullopt;
    world.run_until(world.now() + poll);
  }
  return world.now() - begin;
}

bool accepted_since(const Operators& operators, Moment since) {
  for (const auto& change : operators.changes())
    if (change.outcome == "accepted" && change.asked >= since) return true;
  return false;
}

/// After all, as many disks as are tolerated are lost for good at one moment.
void lose_tolerated(Losses& losses, std::uint32_t tolerated) {
  for (std::uint32_t count = 0; count < tolerated; ++count) {
    const auto address = losses.any_voter();
    losses.world().kill(address);
    losses.gone.insert(address);
    std::erase(losses.fleet.controls, address);
  }
}

FleetPlan fleet_plan(const SecondLossCase& chosen) {
  FleetPlan plan;
  plan.control = chosen.machines;
  plan.founders = 3;
  plan.core_target = 2 * chosen.tolerated + 1;
  plan.replace_after = 1000;
  plan.leave_within = grace * 7 / 8;
  plan.data = 2;
  plan.model_workers = plan.call_workers = 0;
  plan.drift = 0.01;
  return plan;
}

struct Times {
  std::optional<Moment> struck;
  std::optional<Moment> changes;
  std::optional<Moment> full;
};

void run_losses(Losses& losses, Operators& operators, const SecondLossCase& chosen, Times& times) {
  auto& world = losses.world();
  losses.watch.on_step(chosen.step, [&losses, &chosen, &times] {
    times.struck = losses.world().now();
    strike(losses, chosen);
  });
  begin_loss(losses, chosen);
  if (!wait_for(world, full_within, [&] { return times.struck.has_value(); })) return;
  const auto struck = *times.struck;
  times.changes = wait_for(world, takes_changes_within, [&] { return accepted_since(operators, struck); });
  times.full = wait_for(world, struck + full_within - world.now(), [&] { return losses.watch.full(losses.wanted); });
  if (times.full) times.full = world.now() - struck;
}

}  // namespace

SecondLossCase second_loss_case(std::uint64_t seed) {
  static constexpr std::pair<std::size_t, std::uint32_t> sizes[] = {{3, 1}, {4, 1}, {5, 1}, {6, 1}, {5, 2}, {6, 2}};
  const auto& [machines, tolerated] = sizes[seed / 36 % std::size(sizes)];
  return {machines, tolerated, static_cast<ChangeStep>(seed % 6), static_cast<FirstLoss>(mix(seed) % 3),
          static_cast<SecondLoss>(seed / 6 % 6)};
}

std::string second_loss_name(const SecondLossCase& chosen) {
  static constexpr const char* steps[] = {"proposed", "committed", "copying", "filled", "letting_go", "ended"};
  static constexpr const char* firsts[] = {"killed", "told_to_leave", "emptied"};
  static constexpr const char* seconds[] = {"core_holder", "voter", "joining", "emptied", "told_to_leave", "all_power"};
  return std::to_string(chosen.machines) + " machines, " + std::to_string(chosen.tolerated) + " tolerated, " +
         firsts[static_cast<int>(chosen.first)] + ", at " + steps[static_cast<int>(chosen.step)] + " " +
         seconds[static_cast<int>(chosen.second)];
}

ScenarioResult run_second_loss_case(std::uint64_t seed, const SecondLossCase& chosen) {
  const auto plan = fleet_plan(chosen);
  Fleet fleet(seed, plan);
  auto& world = fleet.world;
  Operators operators(fleet);
  operators.watch();
  CoreWatch watch(fleet, [&operators] { return operators.newest_seen(); });
  watch.watch();
  Losses losses{fleet, watch, plan.core_target};
  ScenarioResult result;
  const auto fault = [&](const std::string& text) { result.faults.push_back(second_loss_name(chosen) + ": " + text); };
  if (!wait_for(world, formed_within, [&] { return watch.full(plan.core_target); })) fault("the core never formed");
  if (!result.faults.empty()) return result;
  operators.put(fleet.controls.front(), 0);
  operators.work_until(world.now() + 2 * formed_within, 300);
  world.run_until(world.now() + world.chance.between(4000, 8000));
  Times times;
  const auto begin = world.now();
  run_losses(losses, operators, chosen, times);
  if (!times.struck) fault("the step was never reached");
  if (times.struck && !times.changes) fault("no change was taken in time");
  if (times.struck && !times.full) fault("not at full tolerance in time");
  lose_tolerated(losses, chosen.tolerated);
  const auto newest = operators.newest_seen();
  const auto last = operators.read_back(15000);
  if (!last || last->version < newest) fault("the newest accepted doesn't read back");
  for (const auto& text : operators.faults()) fault(text);
  for (const auto& text : watch.faults()) fault(text);
  result.figures = {{"accepted", static_cast<double>(operators.accepted())},
                    {"changes_ms", static_cast<double>(times.changes.value_or(takes_changes_within))},
                    {"full_ms", static_cast<double>(times.full.value_or(full_within))},
                    {"step_ms", static_cast<double>(times.struck.value_or(begin) - begin)}};
  return result;
}

ScenarioResult run_second_loss(std::uint64_t seed) { return run_second_loss_case(seed, second_loss_case(seed)); }

}  // namespace weldsail::sim
