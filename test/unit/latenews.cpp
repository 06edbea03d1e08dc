#include <catch2/catch.hpp>

#include "sim/scenarios.hpp"

using namespace weldsail::sim;

// Guards against a 404 for a route, and a 401 for a key, that a version acknowledged long before has (incident 45).
TEST_CASE("a node whose news is late refuses nothing that a newer version may allow", "[late_news]") {
  const auto seed = GENERATE(range(1, 13));
  const auto result = run_late_news(static_cast<std::uint64_t>(seed));
  CAPTURE(seed);
  for (const auto& fault : result.faults) UNSCOPED_INFO(fault);
  CHECK(result.faults.empty());
}
