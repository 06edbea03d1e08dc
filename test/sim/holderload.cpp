#include "sim/holderload.hpp"

namespace weldsail::sim {
namespace {

constexpr Moment settled = 10000;
constexpr Moment asked_until = 40000;
constexpr std::size_t reporters = 300;
constexpr double bytes_per_kilobyte = 1000;
/// Beyond the buckets of the histogram of waits.
constexpr Moment longer_than_all = 1000000;

WorkersPlan workers_of() {
  WorkersPlan plan;
  plan.workers = 40;
  plan.models = 200;
  plan.busy_models = 20;
  plan.loads_per_s = 14;
  plan.load_time = 600;
  return plan;
}

AskPlan asks_of() {
  AskPlan asks;
  asks.busy_per_s = 80;
  asks.rare_per_s = 12;
  asks.busy_at_once = 10;
  asks.deadline = 5000;
  asks.further_tries = 1;
  asks.reporters = reporters;
  asks.reports_apart = true;
  return asks;
}

double cost_of(const Event& event, const EventPrices& prices) {
  if (std::holds_alternative<Ticked>(event)) return prices.tick;
  const auto* message = std::get_if<MessageArrived>(&event);
  if (message == nullptr) return prices.pipe;
  return prices.message + prices.kilobyte * static_cast<double>(message->envelope.ByteSizeLong()) / bytes_per_kilobyte;
}

Moment longest(const WaitHistogram& waits) {
  for (auto bucket = waits.counts.size(); bucket > 0; --bucket)
    if (waits.counts[bucket - 1] > 0) return bucket <= wait_buckets.size() ? wait_buckets[bucket - 1] : longer_than_all;
  return 0;
}

}  // namespace

HolderLoad run_holder_load(std::uint64_t seed, const EventPrices& prices) {
  PlacingFleet fleet(seed, workers_of(), asks_of());
  fleet.world.run_until(settled);
  for (const auto& address : fleet.controls)
    fleet.world.node(address).processor = Processor{[prices](const Event& event) { return cost_of(event, prices); }};
  fleet.ask_until(asked_until);
  fleet.world.run_until(asked_until + settled / 2);
  HolderLoad load;
  load.starved = starved_of(fleet.asked);
  for (const auto& address : fleet.controls) {
    const auto& queue = fleet.world.node(address).processor->queue;
    load.answer_wait_most = std::max(load.answer_wait_most, longest(queue.answer_waits()));
    load.messages_dropped += queue.dropped();
  }
  load.store_loads = fleet.stands->store_loads;
  std::size_t began = 0;
  for (const auto& item : fleet.asked) began += item.began != 0 ? 1 : 0;
  load.began = static_cast<double>(began) / static_cast<double>(std::max<std::size_t>(1, fleet.asked.size()));
  load.faults = fleet.stands->faults;
  return load;
}

}  // namespace weldsail::sim
