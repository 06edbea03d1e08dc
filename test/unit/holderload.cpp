#include <catch2/catch.hpp>

#include "sim/holderload.hpp"

using namespace weldsail;
using namespace weldsail::sim;

TEST_CASE("workers' answers don't wait behind reports, and every model has its turn, at a holder short of time",
          "[holderload]") {
  const auto seed = GENERATE(range(1, 4));
  CAPTURE(seed);
  const auto load = run_holder_load(static_cast<std::uint64_t>(seed), {});
  CAPTURE(load.store_loads, load.messages_dropped, load.began, load.starved.never, load.starved.often);
  CHECK(load.faults.empty());
  constexpr Moment oldest_event_most = 500;
  CHECK(load.answer_wait_most <= oldest_event_most);
  CHECK(load.starved.never.size() <= 1 + load.starved.often / 10);
}
