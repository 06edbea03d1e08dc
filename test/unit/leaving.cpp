#include "unit/pathbench.hpp"

using namespace weldsail;
using Bench = unit::PathBench;

TEST_CASE("a leaving node takes no request that could outlast it, and says at once when to come back", "[carry]") {
  Bench bench;
  const auto begun = bench.now;
  path_leave(bench.state, begun);
  const auto grace = bench.state.options.limits.grace;
  bench.ask("/note/early");
  CHECK(bench.all<OpenPipe>().size() == 1);
  bench.now = begun + grace / 3 - 1;
  bench.ask("/note/early");
  CHECK(bench.all<OpenPipe>().size() == 1);
  const auto path = GENERATE(as<std::string>(), "/note/late", "/chat/late");
  for (bench.now = begun + grace / 3; bench.now < begun + grace; bench.now += grace / 12) {
    bench.ask(path);
    CHECK(bench.all<OpenPipe>().empty());
    const auto answer = bench.only<Answer>();
    CHECK(answer.status == 503);
    const auto back = std::stod(header_value(answer.headers, "retry-after"));
    CHECK(back > 0);
    CHECK(back <= 1);
  }
}

TEST_CASE("a leaving node still takes what must be answered before its end", "[carry]") {
  Bench bench;
  path_leave(bench.state, bench.now);
  bench.now = bench.state.leave_due - 1500;
  bench.ask("/seat/x", false);
  CHECK(bench.all<OpenPipe>().size() == 1);
  ++bench.now;
  bench.ask("/seat/y", false);
  CHECK(bench.all<OpenPipe>().empty());
  CHECK(bench.only<Answer>().status == 503);
}
