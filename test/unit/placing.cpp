#include "checks.hpp"

using namespace weldsail::sim;

namespace {

/// One of the seeds below that is known to fail; it stands by itself meanwhile (KNOWN-RED.txt).
constexpr int known_red_seed = 15;

}  // namespace

TEST_CASE("models are placed within every rule under every kind of trouble", "[placing]") {
  const auto seed = GENERATE(filter([](int number) { return number != known_red_seed; }, range(1, 25)));
  CAPTURE(seed);
  check(run_placing(static_cast<std::uint64_t>(seed)));
}

TEST_CASE("rare models are served in time after all trouble", "[placing]") {
  check(run_placing(static_cast<std::uint64_t>(known_red_seed)));
}
