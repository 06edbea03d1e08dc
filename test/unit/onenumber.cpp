#include "unit/checks.hpp"
#include "unit/pathcore.hpp"

using namespace weldsail;
using namespace weldsail::sim;

TEST_CASE("one change is acknowledged under a number, and no taken one is refused", "[hardening.one_number]") {
  const auto seed = GENERATE(range(1, 13));
  CAPTURE(seed);
  const auto result = run_one_number(static_cast<std::uint64_t>(seed));
  check(result);
  CHECK(result.figures.at(0).second >= 20);
}
