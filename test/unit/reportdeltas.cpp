#include <catch2/catch.hpp>

#include "core/placement/demand.hpp"
#include "core/placement/wants.hpp"
#include "sim/world.hpp"
#include "unit/pathbench.hpp"

/// Reports of data nodes that tell what has changed since the one that the placement's holder has.
using namespace weldsail;
using namespace weldsail::unit;

namespace {

constexpr std::uint64_t holder = 1;
constexpr std::uint64_t data_node = 7;
const std::string unit_of_bench = "chat/m1";

/// A data node and what the holder keeps of it.
struct ReportPair {
  /// The holder's ask, and the node's answer to it.
  wire::CounterReport answer(std::uint64_t round) {
    const auto found = demand.baselines.find(data_node);
    bench.state.path.known_reports = {holder, wants_known(wants, data_node),
                                      found == demand.baselines.end() ? 0 : found->second.number};
    return report(round);
  }

  wire::CounterReport report(std::uint64_t round) {
    Effects effects;
    path_report(bench.state, holder, "c1", round, bench.now, effects);
    return std::get<SendMessage>(effects.at(0)).envelope.counter_report();
  }

  DemandPass take(const wire::CounterReport& report) {
    wants_take(wants, data_node, report, bench.now);
    wire::Envelope envelope;
    envelope.set_from(data_node);
    *envelope.mutable_counter_report() = report;
    demand.open = true;
    demand.round = report.round();
    demand.expected = {data_node};
    demand.reports.clear();
    demand_take_counters(demand, envelope);
    return demand_close(demand, 1000, {}, bench.now);
  }

  void run_one() {
    const auto request = bench.ask("/note/x");
    const auto pipe = bench.only<OpenPipe>();
    bench.head(pipe, 200, "t" + std::to_string(request));
    bench.happen(PipeBytes{pipe.pipe, "id: 1\ndata: a\n\n"});
    bench.happen(PipeEnded{pipe.pipe, true, true, ""});
  }

  PathBench bench;
  WantsIndex wants;
  DemandState demand;
};

}  // namespace

TEST_CASE("a report tells nothing of models that rest since the report that the holder has", "[reports]") {
  ReportPair pair;
  pair.run_one();
  const auto whole = pair.answer(1);
  REQUIRE(whole.backlogs_size() == 1);
  REQUIRE(whole.counters_size() == 1);
  CHECK_FALSE(whole.partial());
  pair.take(whole);
  pair.bench.now += 1000;
  const auto resting = pair.answer(2);
  CHECK(resting.partial());
  CHECK(resting.base() == whole.number());
  CHECK(resting.backlogs_size() == 0);
  CHECK(resting.counters_size() == 0);
  pair.take(resting);
  pair.run_one();
  const auto changed = pair.answer(3);
  CHECK(changed.backlogs_size() == 1);
  CHECK(changed.counters_size() == 1);
}

TEST_CASE("what a lost report told is told again, until the holder has it", "[reports]") {
  ReportPair pair;
  pair.run_one();
  pair.take(pair.answer(1));
  pair.run_one();
  const auto lost = pair.answer(2);
  REQUIRE(lost.counters_size() == 1);
  pair.bench.now += 1000;
  const auto again = pair.report(0);
  CHECK(again.backlogs_size() == 1);
  CHECK(pair.answer(3).counters_size() == 1);
}

TEST_CASE("another holder, and one that has forgotten the node, is told all", "[reports]") {
  ReportPair pair;
  pair.run_one();
  pair.take(pair.answer(1));
  pair.bench.now += 1000;
  SECTION("another holder") {
    Effects effects;
    path_report(pair.bench.state, holder + 1, "c2", 0, pair.bench.now, effects);
    const auto report = std::get<SendMessage>(effects.at(0)).envelope.counter_report();
    CHECK_FALSE(report.partial());
    CHECK(report.backlogs_size() == 1);
  }
  SECTION("a holder that heard nothing for a bound") {
    pair.bench.now += 2 * pair.wants.bound;
    wants_expire(pair.wants, pair.bench.now);
    const auto report = pair.answer(2);
    CHECK_FALSE(report.partial());
    CHECK(report.backlogs_size() == 1);
  }
}

TEST_CASE("a report on some models alone doesn't stand for all that changed before it", "[reports]") {
  ReportPair pair;
  pair.run_one();
  pair.take(pair.answer(1));
  const auto known = wants_known(pair.wants, data_node);
  pair.run_one();
  Effects effects;
  pair.bench.state.path.fresh = {unit_of_bench};
  path_report_fresh(pair.bench.state, holder, "c1", pair.bench.now, effects);
  wants_take(pair.wants, data_node, std::get<SendMessage>(effects.at(0)).envelope.counter_report(), pair.bench.now);
  CHECK(wants_known(pair.wants, data_node) == known);
}

TEST_CASE("a holder that lacks a node's whole report doesn't take a part of it for what its callers ask for",
          "[reports]") {
  ReportPair pair;
  pair.run_one();
  pair.take(pair.answer(1));
  pair.take(pair.answer(2));
  CHECK(wants_heard(pair.wants, data_node, pair.bench.now));
  // The same process holds the placement again, and the node doesn't know that it has forgotten all.
  pair.wants = {};
  pair.bench.now += 1000;
  const auto part = pair.report(0);
  REQUIRE(part.partial());
  wants_take(pair.wants, data_node, part, pair.bench.now);
  CHECK_FALSE(wants_heard(pair.wants, data_node, pair.bench.now));
  pair.take(pair.answer(3));
  CHECK(wants_heard(pair.wants, data_node, pair.bench.now));
}

TEST_CASE("the holder counts each request once and knows what runs, whatever reports are lost", "[reports]") {
  const auto seed = GENERATE(range(1, 31));
  CAPTURE(seed);
  sim::Chance chance(static_cast<std::uint64_t>(seed));
  ReportPair pair;
  double counted = 0;
  std::uint64_t ran = 0;
  bool missed = true;
  for (std::uint64_t round = 1; round <= 60; ++round) {
    if (chance.happens(0.3)) wants_take(pair.wants, data_node, pair.report(0), pair.bench.now);
    const auto report = pair.answer(round);
    const bool lost = round < 60 && chance.happens(0.3);
    if (!lost) {
      const auto pass = pair.take(report);
      const auto found = pass.samples.find(unit_of_bench);
      if (found != pass.samples.end()) counted += static_cast<double>(found->second.first_token.count);
      // The first report has nothing to compare with.
      if (missed) counted = static_cast<double>(ran);
      missed = false;
      CHECK(pair.wants.active.empty());
    }
    pair.bench.now += 1000;
    if (round == 60) break;
    for (auto requests = chance.below(3); requests > 0; --requests) {
      pair.run_one();
      ++ran;
    }
  }
  CHECK(counted == static_cast<double>(ran));
}
