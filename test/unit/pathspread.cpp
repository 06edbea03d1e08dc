#include "unit/frontsbench.hpp"

using namespace weldsail;
using unit::Fronts;

TEST_CASE("many data nodes that know little of each other fill seven tenths of a model's slots evenly", "[carry]") {
  Fronts fronts(12);
  fronts.ask(0.7 * 12 * Fronts::worker_rate, 10000);
  fronts.finish();
  CHECK(fronts.answered == fronts.asked);
  CHECK(fronts.refused == 0);
  CHECK(fronts.in_time * 100 >= fronts.asked * 93);
  CHECK(fronts.misplaced * 100 <= fronts.asked * 20);
}

TEST_CASE("holders that come up one by one are taken into use while the others are full", "[carry]") {
  Fronts fronts(3);
  constexpr double rate = 0.85 * 12 * Fronts::worker_rate;
  for (int more = 0; more < 9; ++more) {
    fronts.ask(rate, 1000);
    fronts.add_worker();
  }
  fronts.ask(rate, 10000);
  fronts.finish();
  CHECK(fronts.answered * 100 >= fronts.asked * 90);
  CHECK(fronts.misplaced * 100 <= fronts.asked * 40);
}

TEST_CASE("requests spread over holders that don't tell their load, for any engine and number of data nodes",
          "[carry]") {
  const auto nodes = GENERATE(std::size_t{8}, std::size_t{80});
  const auto run_time = GENERATE(Moment{375}, Moment{1500}, Moment{6000});
  CAPTURE(nodes, run_time);
  Fronts fronts(12, {nodes, run_time, false});
  const Fronts::Form form{nodes, run_time, false};
  fronts.ask(0.5 * 12 * form.rate(), 6 * run_time);
  fronts.finish();
  CHECK(fronts.in_time * 100 >= fronts.asked * 95);
  CHECK(fronts.misplaced * 100 <= fronts.asked * 5);
}
