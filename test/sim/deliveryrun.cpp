#include <algorithm>

#include "sim/delivery.hpp"

/// The course of a run: changes, troubles and the waits between them.
namespace weldsail::sim {
namespace {

constexpr Moment formed_at = 5000;
constexpr Moment in_force_within = 30000;
constexpr Moment rest = 3000;
constexpr Moment look = 20;
constexpr Moment quiet = 10000;
constexpr std::size_t first_routes = 20;
/// When a trouble begins after the large change was sent, and how long it lasts.
constexpr Moment trouble_least = 20;
constexpr Moment trouble_most = 600;
constexpr Moment trouble_length = 1500;

}  // namespace

void DeliveryWorld::trouble() {
  world.loss = plan.loss;
  const auto pick = [&](const std::vector<std::string>& names) { return names[world.chance.below(names.size())]; };
  const auto begin = [&] { return world.now() + world.chance.between(trouble_least, trouble_most); };
  if (plan.kill_control) {
    const auto moment = begin();
    const auto victim = pick(controls);
    world.at(moment, [this, victim] { world.kill(victim); });
    world.at(moment + trouble_length, [this, victim] { world.start(victim); });
  }
  for (const auto& [wanted, names] : {std::pair(plan.freeze_control, &controls), std::pair(plan.freeze_data, &datas)}) {
    if (!wanted) continue;
    const auto moment = begin();
    const auto victim = pick(*names);
    world.at(moment, [this, victim] { world.freeze(victim); });
    world.at(moment + trouble_length, [this, victim] { world.wake(victim); });
  }
  if (!plan.cut_control) return;
  const auto moment = begin();
  const auto victim = pick(controls);
  std::set<std::string> others(controls.begin(), controls.end());
  others.insert(datas.begin(), datas.end());
  others.erase(victim);
  world.at(moment, [this, victim, others] { world.cut({victim}, others); });
  world.at(moment + trouble_length, [this] { world.heal(); });
}

bool DeliveryWorld::all_in_force(std::uint64_t version) {
  return std::ranges::all_of(datas, [&](const std::string& address) {
    return !world.node(address).alive || world.data(address)->document_version >= version;
  });
}

void DeliveryWorld::await_in_force(const std::string& what) {
  const auto end = world.now() + in_force_within;
  while (!all_in_force(version_) && world.now() < end) world.run_until(world.now() + look);
  if (!all_in_force(version_)) fault(what + " isn't in force at all data nodes");
}

void DeliveryWorld::run() {
  for (const auto& address : controls) world.start(address);
  for (const auto& address : datas) world.start(address);
  world.run_until(formed_at);
  change("/api/configuration/replace", document(first_routes));
  await_in_force("the first configuration");
  world.run_until(world.now() + rest);

  phase_ = DeliveryPhase::large;
  const auto begun = world.now();
  const auto large = document(plan.routes);
  document_bytes = large.size();
  trouble();
  large_acknowledged = change("/api/configuration/replace", large);
  if (!plan.beside) {
    await_in_force("the large configuration");
    large_in_force = world.now() - begun;
    world.run_until(std::max(world.now(), begun + trouble_most + trouble_length) + rest);
    phase_ = DeliveryPhase::small;
  }
  world.loss = 0;
  for (std::size_t turn = 0; turn < plan.small_changes; ++turn) change_small();
  if (!plan.beside) world.run_until(world.now() + rest);

  phase_ = DeliveryPhase::settling;
  world.run_until(world.now() + quiet);
  for (const auto& address : datas)
    if (const auto version = world.data(address)->document_version; version != version_)
      fault(address + " has version " + std::to_string(version) + " in force, not " + std::to_string(version_));
  phase_ = DeliveryPhase::after;
  world.run_until(world.now() + quiet);
}

void DeliveryWorld::fault(const std::string& what) { faults.push_back(std::to_string(world.now()) + " ms: " + what); }

}  // namespace weldsail::sim
