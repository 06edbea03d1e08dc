#include <catch2/catch.hpp>

#include "sim/placingfleet.hpp"

using namespace weldsail;
using namespace weldsail::sim;

namespace {

using Refuses = std::function<bool(const StandInWorker& worker, const WorkerOrder& order)>;

/// What came of the requests for models that are asked for rarely, and of the store.
struct Served {
  std::size_t asked = 0;
  std::size_t served = 0;
  std::size_t store_loads = 0;
  std::size_t refused = 0;
};

/// A fleet at a weak store whose rare models don't all have a place, for a while.
Served run(std::uint64_t seed, const Refuses& refuses) {
  WorkersPlan plan;
  plan.models = 45;
  plan.loads_per_s = 1.2;
  AskPlan asks;
  asks.rare_per_s = 2;
  PlacingFleet fleet(seed, plan, asks);
  Served result;
  fleet.stands->refuses = [&](const StandInWorker& worker, const WorkerOrder& order) {
    const bool refused = refuses && refuses(worker, order);
    result.refused += refused ? 1 : 0;
    return refused;
  };
  fleet.world.run_until(6000);
  fleet.ask_until(46000);
  fleet.world.run_until(66000);
  CHECK(fleet.stands->faults.empty());
  for (const auto& item : fleet.asked) {
    if (std::stoul(item.model.substr(1)) < plan.busy_models) continue;
    ++result.asked;
    result.served += item.began != 0 ? 1 : 0;
  }
  result.store_loads = fleet.stands->store_loads;
  return result;
}

}  // namespace

TEST_CASE("a worker that never has the room for its planned load holds no other load up", "[placing]") {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    const auto well = run(seed, {});
    const auto ill = run(seed, [](const StandInWorker& worker, const WorkerOrder& order) {
      return worker.address == "w3:80" && !order.load && order.adapter.empty();
    });
    CAPTURE(seed, well.store_loads, ill.store_loads, ill.asked, ill.served);
    CHECK(ill.refused > 0);
    CHECK(4 * ill.store_loads >= 3 * well.store_loads);
  }
}

TEST_CASE("loads that every worker refuses leave the store to others", "[placing]") {
  std::size_t well_loads = 0;
  std::size_t ill_loads = 0;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    well_loads += run(seed, {}).store_loads;
    const auto ill = run(seed, [](const StandInWorker&, const WorkerOrder& order) {
      return order.load && (order.model == "m40" || order.model == "m41");
    });
    CHECK(ill.refused > 0);
    ill_loads += ill.store_loads;
  }
  CAPTURE(well_loads, ill_loads);
  CHECK(2 * ill_loads >= well_loads);
}
