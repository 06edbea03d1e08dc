#include <iostream>

#include "sim/modelplans.hpp"
#include "unit/checks.hpp"

using namespace weldsail::sim;

namespace {

constexpr std::size_t states_most = 200000;

void search_one(const model::Setup& setup) {
  const auto found = model::search_states(setup.root, {setup.depth, states_most});
  std::cout << model::search_text(setup.name, found) << std::endl;
  CAPTURE(setup.name);
  if (!found.fault.empty())
    for (const auto& line : model::describe(setup.root, found.trace)) UNSCOPED_INFO(line);
  CHECK(found.fault.empty());
  CHECK((found.depth == setup.depth || found.exhausted));
}

}  // namespace

TEST_CASE("no reachable state of the registers breaks an invariant, to a bounded depth", "[model.registers]") {
  for (const auto& setup : model::search_setups()) search_one(setup);
}

TEST_CASE("the searched roots are what they are said to be", "[model.registers]") {
  for (const auto& setup : model::search_setups()) {
    CAPTURE(setup.name);
    const auto changes = setup.root.observations().acknowledged.size();
    const bool empty = setup.name == "race" || setup.name == "crash";
    const bool two = setup.name == "stale" || setup.name == "joint" || setup.name == "copying";
    CHECK(changes == (empty ? 0U : two ? 2U : 1U));
    const bool joint = setup.name == "copying" || setup.name == "filled";
    CHECK(setup.root.newest_core().version() == (setup.name == "stale" ? 3U : joint ? 2U : 1U));
    CHECK(setup.root.newest_core().next_size() == (joint ? 3 : 0));
    CHECK(setup.root.fault().empty());
  }
}

TEST_CASE("walks far beyond the searched depth break no invariant of the registers", "[model.registers]") {
  const auto seed = GENERATE(1, 2, 3);
  CAPTURE(seed);
  const auto result = run_model(static_cast<std::uint64_t>(seed));
  check(result);
  CHECK(result.figures.at(1).second >= 1);
}
