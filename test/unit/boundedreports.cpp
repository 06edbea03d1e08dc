#include "core/placement/demand.hpp"
#include "sim/placingfleet.hpp"
#include "unit/pathbench.hpp"

/// Data nodes' reports of counters stay as large as what is there, however many workers and models come and go.
using namespace weldsail;
using namespace weldsail::unit;

namespace {

constexpr Moment minute = 60000;

/// A data node's report of counters, as the holder of the placement receives it.
wire::Envelope report_of(PathBench& bench, std::uint64_t round) {
  Effects effects;
  path_report(bench.state, 1, "c1", round, bench.now, effects);
  REQUIRE(effects.size() == 1);
  auto envelope = std::get<SendMessage>(effects.front()).envelope;
  envelope.set_from(7);
  return envelope;
}

std::set<std::string> counted_in(const wire::Envelope& report) {
  std::set<std::string> units;
  for (const auto& counter : report.counter_report().counters()) units.insert(counter.unit());
  return units;
}

/// Has one request run whole on whatever worker is there.
void run_one(PathBench& bench) {
  const auto request = bench.ask("/note/x");
  const auto pipe = bench.only<OpenPipe>();
  bench.head(pipe, 200, "t" + std::to_string(request));
  bench.happen(PipeBytes{pipe.pipe, "id: 1\ndata: a\n\n"});
  bench.happen(PipeEnded{pipe.pipe, true, true, ""});
}

/// Brings a configuration into force that has the other service alone.
void configure_without_chat(PathBench& bench) {
  path_configure(
      bench.state,
      R"({"revision":9,"route_table":[{"label":"c","host":"h","path_prefix":"/seat/","mode":"idempotent","deadline_ms":1500,"setpoint_ms":100,"precedence":2,"plant":"seat","trials":2}],"plants":[{"label":"seat","probe":"/p","conn_limit":100}]})",
      bench.now, bench.effects);
  REQUIRE(bench.state.path.config->revision == 9);
}

}  // namespace

TEST_CASE("counters of a model are one sum, which neither falls nor grows with the workers that come and go") {
  PathBench bench;
  bench.tell({PathBench::worker("w1", "chat")}, 2);
  run_one(bench);
  const auto first = report_of(bench, 1).counter_report();
  REQUIRE(first.counters_size() == 1);
  bench.tell({PathBench::worker("w2", "chat")}, 3);
  run_one(bench);
  bench.now += 2 * minute;
  const auto second = report_of(bench, 2).counter_report();
  REQUIRE(second.counters_size() == 1);
  CHECK(second.counters(0).first_token().count() == first.counters(0).first_token().count() + 1);
  // A model that is configured keeps its counters, however long it rests.
  bench.now += 60 * minute;
  const auto third = report_of(bench, 3).counter_report();
  REQUIRE(third.counters_size() == 1);
  CHECK(third.counters(0).SerializeAsString() == second.counters(0).SerializeAsString());
}

TEST_CASE("counters and backlogs of models that aren't configured any more are dropped after a while") {
  PathBench bench;
  run_one(bench);
  REQUIRE_FALSE(counted_in(report_of(bench, 1)).empty());
  configure_without_chat(bench);
  bench.now += 30000;
  CHECK_FALSE(counted_in(report_of(bench, 2)).empty());
  bench.now += minute;
  CHECK(counted_in(report_of(bench, 3)).empty());
  CHECK(bench.state.path.counters.empty());
  CHECK(bench.state.path.units.empty());
}

TEST_CASE("without a view of the workers no counters are dropped") {
  PathBench bench;
  run_one(bench);
  bench.now += 10 * minute;
  bench.state.path.fleet = {};
  CHECK_FALSE(counted_in(report_of(bench, 1)).empty());
}

TEST_CASE("a report doesn't grow with the lives of workers that have come and gone") {
  PathBench bench;
  run_one(bench);
  std::size_t most = 0;
  for (std::uint64_t life = 1; life <= 300; ++life) {
    bench.tell({PathBench::worker("w" + std::to_string(life), "chat")}, life + 1);
    run_one(bench);
    bench.now += 15000;
    most = std::max(most, report_of(bench, life).ByteSizeLong());
  }
  // One model's counters: two histograms of some 60 bytes, and its backlog.
  CHECK(most < 2 * 200);
}

TEST_CASE("the holder counts all work and no more, whatever counters are dropped between its passes") {
  const auto seed = GENERATE(range(1, 41));
  CAPTURE(seed);
  sim::Chance chance(static_cast<std::uint64_t>(seed));
  PathBench bench;
  DemandState demand;
  double counted = 0;
  std::uint64_t ran = 0;
  std::uint64_t life = 1;
  for (std::uint64_t round = 1; round <= 80; ++round) {
    demand.open = true;
    demand.round = round;
    demand.expected = {7};
    demand.reports.clear();
    demand_take_counters(demand, report_of(bench, round));
    const auto pass = demand_close(demand, 1000, {}, bench.now);
    // The first pass has nothing to compare with.
    if (round > 1) CHECK(pass.measured);
    if (const auto found = pass.samples.find("chat/m1"); round > 1 && found != pass.samples.end())
      counted += static_cast<double>(found->second.first_token.count);
    if (round == 80) break;
    bench.now += chance.happens(0.2) ? 2 * minute : 15000;
    if (chance.happens(0.3)) {
      // Another worker's life, or a former worker's address and name again.
      life = chance.happens(0.5) ? life + 1 : 1 + chance.below(life);
      bench.tell({PathBench::worker("w" + std::to_string(life), "chat")}, round + 1);
    }
    for (auto requests = chance.below(3); requests > 0; --requests) {
      run_one(bench);
      ++ran;
    }
  }
  CHECK(counted == static_cast<double>(ran));
}

namespace {

/// A data node of the product's own form that has counted something for each of some workers.
DataState counting_node(const std::vector<std::string>& workers, Moment now) {
  auto state = make_data({});
  state.document = read_config(R"({"store":{"loads_per_s":4},"models":{"m":{"weights_mb":40}},"cells":{"a":{
    "services":{"s":{"kind":"model"}},"tenants":{"t":{"routes":{"r":{"kind":"stream","model":"m"}}}}}}})")
                       .document;
  for (const auto& worker : workers) {
    state.counters["a/m"][worker].generated_tokens = 5;
    state.counters["a/m"][worker].counted = now;
  }
  return state;
}

int counters_told(DataState& state, std::uint64_t round, Moment now) {
  Effects effects;
  report_counters(state, 1, "c1", round, now, effects);
  return std::get<SendMessage>(effects.front()).envelope.counter_report().counters_size();
}

}  // namespace

TEST_CASE("the product's own counters of workers and models that have left are dropped, too") {
  const Moment begun = 5000;
  auto state = counting_node({"w1", "w2"}, begun);
  state.watch.views["w2"];
  CHECK(counters_told(state, 1, begun + 30000) == 2);
  CHECK(counters_told(state, 2, begun + 2 * minute) == 1);
  state.document->models.clear();
  state.document->cells.clear();
  state.document->tenants.clear();
  CHECK(counters_told(state, 3, begun + 2 * minute) == 0);
}
