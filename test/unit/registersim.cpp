#include <catch2/catch.hpp>

#include "sim/scenarios.hpp"

using namespace weldsail::sim;

namespace {

void check(const ScenarioResult& result) {
  for (const auto& fault : result.faults) UNSCOPED_INFO(fault);
  CHECK(result.faults.empty());
}

}  // namespace

TEST_CASE("configuration is one linearizable register under loss, kills, cuts, freezes and lost writes", "[register]") {
  const auto seed = GENERATE(range(1, 13));
  CAPTURE(seed);
  const auto result = run_register(static_cast<std::uint64_t>(seed));
  check(result);
  CHECK(result.figures.at(1).second >= 1);
}

TEST_CASE("an owner keeps its key when answers take longer than the pause between confirmations", "[register]") {
  const auto seed = GENERATE(39, 1005, 3033);
  CAPTURE(seed);
  check(run_register(static_cast<std::uint64_t>(seed)));
}

TEST_CASE("core machines are replaced by empty ones until none of the first remains", "[replace]") {
  const auto seed = GENERATE(1, 2, 3, 4);
  CAPTURE(seed);
  check(run_replace(static_cast<std::uint64_t>(seed)));
}
