#include <catch2/catch.hpp>

#include "sim/placingfleet.hpp"

using namespace weldsail;
using namespace weldsail::sim;

TEST_CASE("a proposal's bytes cost what was touched since the last one", "[placing]") {
  WorkersPlan plan;
  plan.workers = 60;
  plan.models = 300;
  PlacingFleet fleet(3, plan, {});
  fleet.world.run_until(9000);
  fleet.ask_until(16000);
  fleet.world.run_until(11000);
  REQUIRE(fleet.steward() != nullptr);
  const auto before = fleet.steward()->placing;
  fleet.world.run_until(16000);
  const auto& after = fleet.steward()->placing;
  const auto proposals = after.committed.decision() - before.committed.decision();
  REQUIRE(after.term == before.term);
  CHECK(proposals > 10);
  CHECK(after.text.pieces_written() - before.text.pieces_written() < 40 * proposals);
}

TEST_CASE("a holder that lags decides less often, and never gives all its time to it", "[placing]") {
  const auto decisions_with = [](Moment tick_took) {
    PlacingFleet fleet(5, {}, {});
    for (const auto& address : fleet.controls) fleet.world.node(address).tick_took = tick_took;
    fleet.world.run_until(9000);
    fleet.ask_until(19000);
    REQUIRE(fleet.steward() != nullptr);
    const auto before = fleet.steward()->placing.work.decisions;
    fleet.world.run_until(19000);
    return fleet.steward()->placing.work.decisions - before;
  };
  const auto at_ease = decisions_with(0);
  const auto lagging = decisions_with(200);
  CAPTURE(at_ease, lagging);
  // A decision of 200 ms is followed by a pause of four times that.
  CHECK(lagging <= 10000 / 800 + 1);
  CHECK(lagging >= 5);
  CHECK(at_ease > 2 * lagging);
}
