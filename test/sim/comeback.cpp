#include "sim/comeback.hpp"

namespace weldsail::sim {
namespace {

/// Starts a process again the given time after this life of it has ended.
void return_after_end(World& world, const std::string& address, std::uint64_t life, Moment away) {
  const auto& node = world.node(address);
  if (node.alive && node.life == life)
    return world.at(world.now() + world.tick,
                    [&world, address, life, away] { return_after_end(world, address, life, away); });
  world.at(world.now() + away, [&world, address] {
    if (!world.node(address).alive) world.start(address);
  });
}

}  // namespace

void leave_and_return(World& world, const std::string& address, Moment away) {
  world.leave(address);
  return_after_end(world, address, world.node(address).life, away);
}

}  // namespace weldsail::sim
