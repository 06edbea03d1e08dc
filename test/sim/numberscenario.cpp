#include <algorithm>

#include "platform/dialect.hpp"
#include "sim/ordersenders.hpp"
#include "sim/scenarios.hpp"

namespace weldsail::sim {
namespace {

constexpr Moment begin = 3000;
constexpr Moment busy_end = 60000;
constexpr Moment calm = 15000;
/// Between the end of one trouble and an emptied disk, and after that: what is lost at once stays within the tolerance.
constexpr Moment apart = 8000;
constexpr std::size_t remembered = 12;

/// Control processes, and what befalls them.
class NumberFleet {
 public:
  NumberFleet(std::uint64_t seed, std::size_t nodes, bool dialect) : world(seed), dialect_(dialect) {
    for (std::size_t place = 1; place <= nodes; ++place) {
      SimNode node;
      node.address = "c" + std::to_string(place);
      node.locality = "z" + node.address;
      node.has_disk = true;
      addresses.push_back(node.address);
      world.add(std::move(node));
    }
    for (const auto& address : addresses) {
      tell(address, true);
      world.start(address);
    }
  }

  void trouble(Moment end);
  void heal();

  World world;
  std::vector<std::string> addresses;

 private:
  void tell(const std::string& address, bool first_start) {
    ControlOptions options;
    options.member = {Program::control, address, address, "z" + address, {"c1", "c2", "c3"}, 3000};
    options.core_size = 0;
    if (first_start) options.founders = {"c1", "c2", "c3"};
    options.core_target = static_cast<std::uint32_t>(addresses.size());
    options.replace_after = 1000;
    options.remembered = remembered;
    if (dialect_) options.dialect = &platform_dialect();
    world.node(address).make = [options] { return make_control(options); };
  }

  std::string holder() {
    for (const auto& address : addresses)
      if (world.control(address)->owners.at(config_key).phase == OwnerPhase::holding && world.node(address).alive)
        return address;
    return addresses.front();
  }

  void restart(const std::string& address, Moment pause) {
    world.kill(address);
    world.at(world.now() + pause, [this, address] {
      if (!world.node(address).alive) world.start(address);
    });
  }

  void part(const std::string& alone);
  Moment strike(std::uint64_t kind, const std::string& node);

  bool dialect_;
};

void NumberFleet::heal() {
  world.heal();
  for (const auto& address : addresses) {
    world.wake(address);
    if (!world.node(address).alive) world.start(address);
  }
}

void NumberFleet::part(const std::string& alone) {
  const std::set<std::string> left{alone};
  std::set<std::string> right(addresses.begin(), addresses.end());
  right.erase(alone);
  const auto way = world.chance.below(3);
  if (way == 0) world.cut(left, right);
  if (way == 1) world.cut_one_way(left, right);
  if (way == 2) world.cut_one_way(right, left);
}

/// The time until the next trouble may come.
Moment NumberFleet::strike(std::uint64_t kind, const std::string& node) {
  auto& chance = world.chance;
  const auto pause = chance.between(50, 4000);
  switch (kind) {
    case 0: restart(node, pause); return pause;
    case 1:
      world.leave(node);
      world.at(world.now() + 1000, [this, node, pause] { restart(node, pause); });
      return pause + 1000;
    case 2:
      world.freeze(node);
      world.at(world.now() + pause, [this, node] { world.wake(node); });
      return pause;
    case 3:
      part(node);
      world.at(world.now() + pause, [this] { world.heal(); });
      return pause;
    case 4:
      for (const auto& address : addresses) restart(address, chance.between(10, 1000));
      return pause;
    case 5: world.node(node).disk_free_at = world.now() + pause; return pause;
    default:
      heal();
      world.at(world.now() + apart, [this, node] {
        world.kill(node);
        world.empty_disk(node);
        tell(node, false);
        world.start(node);
      });
      return 2 * apart;
  }
}

void NumberFleet::trouble(Moment end) {
  if (world.now() >= end) return;
  const auto node = world.chance.happens(0.6) ? holder() : addresses[world.chance.below(addresses.size())];
  const auto quiet = strike(world.chance.below(7), node) + world.chance.between(100, 2500);
  world.at(world.now() + quiet, [this, end] { trouble(end); });
}

}  // namespace

ScenarioResult run_one_number(std::uint64_t seed) {
  const bool dialect = seed % 2 == 0;
  NumberFleet fleet(seed, seed % 4 < 2 ? 3 : 5, dialect);
  auto& world = fleet.world;
  OrderSenders senders(world, fleet.addresses, dialect);
  senders.remembered = remembered;
  world.delay_most = seed % 3 == 0 ? 200 : 20;
  world.loss = 0.01;
  world.doubled = 0.02;
  world.run_until(begin);
  senders.work_until(busy_end);
  fleet.trouble(busy_end - apart);
  world.run_until(busy_end + apart);
  fleet.heal();
  world.loss = world.doubled = 0;
  world.run_until(busy_end + apart + calm);
  ScenarioResult result;
  for (auto& fault : senders.examine()) result.faults.push_back(std::move(fault));
  for (auto& fault : senders.faults()) result.faults.push_back(std::move(fault));
  result.figures = {{"taken", static_cast<double>(senders.taken())},
                    {"orders", static_cast<double>(senders.orders().size())},
                    {"repeats", static_cast<double>(senders.repeats())},
                    {"answers", static_cast<double>(senders.answers().size())}};
  return result;
}

}  // namespace weldsail::sim
