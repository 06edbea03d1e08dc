#include "checks.hpp"

using namespace weldsail::sim;

TEST_CASE("models are placed within every rule under every kind of trouble", "[placing]") {
  const auto seed = GENERATE(range(1, 25));
  CAPTURE(seed);
  check(run_placing(static_cast<std::uint64_t>(seed)));
}
