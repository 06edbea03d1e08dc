/// Where the time of lost requests goes, as the metrics and wsctl tell it.
#include "core/forwarding/paths/losses.hpp"

#include "core/operations/metrics.hpp"
#include "unit/metricsreader.hpp"
#include "unit/pathbench.hpp"
#include "wsctl/insight.hpp"

using namespace weldsail;
using namespace weldsail::unit;

namespace {

std::uint64_t ended(const PathBench& bench, const std::string& route, RequestOutcome outcome, std::size_t cause) {
  const auto found = bench.state.path.losses.find(route);
  return found == bench.state.path.losses.end() ? 0 : found->second.ended[static_cast<std::size_t>(outcome)][cause];
}

std::size_t cause(RequestPhase phase) { return static_cast<std::size_t>(phase); }

wire::WorkerEntry without_model(const std::string& identity) {
  auto entry = PathBench::worker(identity, "chat");
  entry.clear_models();
  return entry;
}

void serve(PathBench& bench, const OpenPipe& pipe, const std::string& trial, Moment until_first, Moment pause) {
  bench.now += until_first;
  bench.head(pipe, 200, trial);
  bench.happen(PipeBytes{pipe.pipe, "id: 1\ndata: a\n\n"});
  bench.now += pause;
  bench.happen(PipeBytes{pipe.pipe, "id: 2\ndata: b\n\n"});
  bench.happen(PipeEnded{pipe.pipe, true, true, {}});
}

}  // namespace

TEST_CASE("a served request is in time, late for its first event, or late for a pause", "[losses]") {
  PathBench bench;
  bench.ask("/chat/x");
  serve(bench, bench.only<OpenPipe>(), "t1", 400, 300);
  CHECK(ended(bench, "a", RequestOutcome::in_time, cause(RequestPhase::answer)) == 1);
  bench.ask("/chat/x");
  serve(bench, bench.only<OpenPipe>(), "t2", 401, 0);
  CHECK(ended(bench, "a", RequestOutcome::late, cause(RequestPhase::first_event)) == 1);
  bench.ask("/chat/x");
  serve(bench, bench.only<OpenPipe>(), "t3", 10, 301);
  CHECK(ended(bench, "a", RequestOutcome::late, request_phases) == 1);
}

TEST_CASE("a caller that leaves, and a refusal, are charged to what took most of the time", "[losses]") {
  PathBench bench;
  bench.tell({without_model("w1"), PathBench::worker("w3", "seat")}, 2);
  const auto first = bench.ask("/chat/x");
  bench.now += 1500;
  bench.tell({PathBench::worker("w1", "chat")}, 3);
  path_dispatch(bench.state, bench.now, bench.effects);
  bench.now += 400;
  path_gone(bench.state, first, bench.now, bench.effects);
  CHECK(ended(bench, "a", RequestOutcome::caller_gone, cause(RequestPhase::model)) == 1);
  const auto second = bench.ask("/chat/x");
  bench.now += 500;
  path_gone(bench.state, second, bench.now, bench.effects);
  CHECK(ended(bench, "a", RequestOutcome::caller_gone, cause(RequestPhase::first_event)) == 1);
  bench.tell({without_model("w1")}, 4);
  bench.ask("/chat/x");
  bench.now += 6000;
  path_dispatch(bench.state, bench.now, bench.effects);
  CHECK(ended(bench, "a", RequestOutcome::refused, cause(RequestPhase::model)) == 1);
}

TEST_CASE("waiting for an adapter is told apart from waiting for weights", "[losses]") {
  PathBench bench;
  RequestArrived event;
  event.request = bench.next_request++;
  event.method = "POST";
  event.path = event.target = "/chat/x";
  event.authority = "h";
  event.headers = {{"x-trial-id", "t"}, {"x-deadline-ms", "10000"}, {"x-model", "m1/a1"}};
  path_take(bench.state, event, bench.now, bench.effects);
  bench.now += 700;
  path_gone(bench.state, event.request, bench.now, bench.effects);
  CHECK(ended(bench, "a", RequestOutcome::caller_gone, cause(RequestPhase::adapter)) == 1);
}

TEST_CASE("metrics tell outcomes and phases by route, and wsctl sums them over nodes", "[losses][metrics]") {
  PathBench bench;
  bench.ask("/chat/x");
  serve(bench, bench.only<OpenPipe>(), "t1", 450, 0);
  bench.ask("/chat/x");
  serve(bench, bench.only<OpenPipe>(), "t2", 20, 0);
  const auto page = data_metrics_text(bench.state, bench.now);
  const MetricsReader figures(page);
  CHECK(figures.at("weldsail_request_outcomes_total",
                   {{"route", "a"}, {"outcome", "late"}, {"cause", "first_event"}}) == 1);
  const std::map<std::string, std::string> first{{"route", "a"}, {"phase", "first_event"}, {"part", "_count"}};
  CHECK(figures.at("weldsail_request_phase_seconds", first) == 2);
  CHECK(page.find("weldsail_request_phase_seconds_bucket{route=\"a\",phase=\"first_event\",le=\"0.025\"} 1\n") !=
        std::string::npos);
  CHECK(page.find("weldsail_request_phase_seconds_bucket{route=\"a\",phase=\"first_event\",le=\"+Inf\"} 2\n") !=
        std::string::npos);
  CHECK(page.find("weldsail_request_phase_seconds_sum{route=\"a\",phase=\"first_event\"} 0.470\n") !=
        std::string::npos);
  CHECK(losses_text({page, page}) ==
        "route=a outcome=late cause=first_event requests=2 share=50.00%\nroute=a ended=4\n");
}

TEST_CASE("routes beyond a number are counted together", "[losses]") {
  PathBench bench;
  PathCarry carry;
  for (int route = 0; route < 300; ++route) {
    carry.route.name = "r" + std::to_string(1000 + route);
    losses_count(bench.state, carry, RequestOutcome::refused, bench.now);
  }
  CHECK(bench.state.path.losses.size() == 257);
  CHECK(ended(bench, "other", RequestOutcome::refused, 0) == 44);
}

TEST_CASE("wsctl explains what a model is asked for and what it waits for", "[losses]") {
  const std::string holds =
      R"({"holds":[{"unit":"lm/m1","waiting":3,"running":0,"oldest_ms":700},{"unit":"lm/m2","waiting":1,"running":2,"oldest_ms":900}]})";
  const std::string placements =
      R"({"placements":[{"unit":"lm/m1","count":1,"reason":"Waiting","workers":["10.0.0.1:80"]},{"unit":"lm/m2","count":1,"workers":["10.0.0.2:80"]}]})";
  const std::string workers =
      R"({"workers":[{"address":"10.0.0.1:80","under_order":true,"models":{}},{"address":"10.0.0.2:80","under_order":false,"models":{"m2":[]}}]})";
  CHECK(explain_text("m1", holds, placements, workers) ==
        "unit=lm/m1 waiting=3 running=0 oldest_ms=700\n"
        "  holders: wanted=1 reason=Waiting ready=0 under_order=1 planned=0\n"
        "  waits for: weights on their way\n"
        "  owed for longer: lm/m2 (900 ms)\n");
  CHECK(explain_text("lm/m2", holds, placements, workers).find("waits for: a free worker") != std::string::npos);
  CHECK(explain_text("m", holds, placements, workers).empty());
  CHECK(explain_text("m1", "", "", "").empty());
}
