#include <cmath>

#include "core/tickpace.hpp"
#include "sim/world.hpp"

/// Processes whose events take time.
namespace weldsail::sim {

void World::schedule(SimNode& node) {
  auto& processor = *node.processor;
  if (processor.scheduled || processor.queue.waiting() == 0) return;
  processor.scheduled = true;
  at(static_cast<Moment>(std::ceil(processor.free_at)),
     [this, address = node.address, life = node.life] { take_next(address, life); });
}

void World::take_next(const std::string& address, std::uint64_t life) {
  auto& node = nodes_.at(address);
  auto& processor = *node.processor;
  processor.scheduled = false;
  if (!node.alive || node.life != life || node.frozen) return;
  auto& queue = processor.queue;
  const auto event = queue.has_urgent() ? std::optional(queue.take_urgent()) : queue.take_later(now_);
  if (event) {
    const auto cost = processor.cost(*event);
    processor.free_at = std::max(processor.free_at, static_cast<double>(now_)) + cost;
    if (std::holds_alternative<Ticked>(*event)) {
      node.tick_took = static_cast<Moment>(cost);
      at(now_ + tick_pause(tick, node.tick_took), [this, address, life] { tick_node(address, life); });
    }
    step(node, *event);
  }
  if (node.life == life) schedule(node);
}

}  // namespace weldsail::sim
