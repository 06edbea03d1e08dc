#include "unit/pathbench.hpp"

using namespace weldsail;
using Bench = unit::PathBench;
using unit::value_of;

TEST_CASE("what may run once is sent once, and ends at once when that breaks", "[carry]") {
  Bench bench;
  bench.ask("/note/x");
  const auto pipe = bench.only<OpenPipe>();
  CHECK(value_of(pipe, "x-expect-unit") + ":80" == pipe.address);
  bench.happen(PipeEnded{pipe.pipe, false, true, "reset"});
  CHECK(bench.all<OpenPipe>().empty());
  CHECK(bench.only<Answer>().status == 502);
}

TEST_CASE("a refusal that says not run goes on to another worker, then back with a time to return", "[carry]") {
  Bench bench;
  bench.ask("/note/x");
  const auto first = bench.only<OpenPipe>();
  bench.head(first, 503, "t1", {{"x-not-run", "1"}});
  bench.happen(PipeEnded{first.pipe, true, true, {}});
  const auto second = bench.only<OpenPipe>();
  CHECK(second.address != first.address);
  bench.head(second, 503, "t1", {{"x-not-run", "1"}});
  bench.happen(PipeEnded{second.pipe, true, true, {}});
  const auto answer = bench.only<Answer>();
  CHECK(answer.status == 503);
  CHECK_FALSE(header_value(answer.headers, "retry-after").empty());
}

TEST_CASE("a 503 that doesn't say not run is never passed on as a promise", "[carry]") {
  Bench bench;
  bench.ask("/note/x");
  const auto pipe = bench.only<OpenPipe>();
  bench.happen(PipeHead{pipe.pipe, 503, {}});
  bench.happen(PipeEnded{pipe.pipe, true, true, {}});
  CHECK(bench.only<Answer>().status == 502);
}

TEST_CASE("an answer to another request, or without a seal, reaches nobody", "[carry]") {
  Bench bench;
  bench.ask("/seat/x", false);
  const auto first = bench.only<OpenPipe>();
  if (GENERATE(true, false))
    bench.head(first, 200, "another");
  else
    bench.happen(PipeHead{first.pipe, 200, {{"x-trial-id", "t1"}}});
  CHECK(bench.all<CancelPipe>().size() == 1);
  CHECK(bench.all<AnswerHead>().empty());
  for (const auto& answer : bench.all<Answer>()) CHECK(answer.status >= 500);
}

TEST_CASE("a stream that may be resumed goes on elsewhere from its last whole event", "[carry]") {
  Bench bench;
  bench.ask("/chat/x");
  const auto first = bench.only<OpenPipe>();
  bench.head(first, 200, "t1");
  bench.happen(PipeBytes{first.pipe, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"});
  CHECK(bench.only<AnswerBytes>().bytes == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  bench.happen(PipeEnded{first.pipe, false, true, "reset"});
  const auto second = bench.only<OpenPipe>();
  CHECK(value_of(second, "last-event-id") == "2");
  CHECK(second.address != first.address);
  bench.head(second, 200, "t1");
  CHECK(bench.all<AnswerHead>().empty());
  bench.happen(PipeBytes{second.pipe, "id: 3\ndata: c\n\n"});
  CHECK(bench.only<AnswerBytes>().bytes == "id: 3\ndata: c\n\n");
  bench.happen(PipeEnded{second.pipe, true, true, {}});
  CHECK(bench.only<AnswerEnd>().whole);
}

TEST_CASE("events out of order, or a stream cut inside one, never look complete", "[carry]") {
  Bench bench;
  bench.ask("/note/x");
  const auto pipe = bench.only<OpenPipe>();
  bench.head(pipe, 200, "t1");
  bench.happen(PipeBytes{pipe.pipe, "id: 1\ndata: a\n\n"});
  if (GENERATE(true, false))
    bench.happen(PipeBytes{pipe.pipe, "id: 1\ndata: a\n\n"});
  else {
    bench.happen(PipeBytes{pipe.pipe, "id: 2\nda"});
    bench.happen(PipeEnded{pipe.pipe, true, true, {}});
  }
  CHECK_FALSE(bench.only<AnswerEnd>().whole);
}

TEST_CASE("a draining worker gets no work, a dropped route no request that waits", "[carry]") {
  Bench bench;
  bench.tell({Bench::worker("w1", "chat", true), Bench::worker("w2", "chat")}, 2);
  for (int turn = 0; turn < 8; ++turn) {
    bench.ask("/chat/x");
    CHECK(bench.only<OpenPipe>().address == "w2:80");
  }
  bench.tell({Bench::worker("w1", "chat", true)}, 3);
  bench.ask("/chat/y");
  CHECK(bench.all<OpenPipe>().empty());
  CHECK(bench.all<Answer>().empty());
  bench.effects.clear();
  path_configure(bench.state, R"({"revision":3,"route_table":[],"plants":[]})", bench.now, bench.effects);
  CHECK(bench.only<Answer>().status == 404);
}

TEST_CASE("a node that leaves gives all that it holds a final answer before its end", "[carry]") {
  Bench bench;
  bench.ask("/note/x");
  REQUIRE(bench.all<OpenPipe>().size() == 1);
  bench.answers_seen(1, 0);
  bench.tell({Bench::worker("w3", "seat")}, 2);
  path_leave(bench.state, bench.now);
  bench.now += 2500;
  bench.ask("/note/y");
  REQUIRE(bench.all<Answer>().empty());
  bench.effects.clear();
  bench.now = bench.state.leave_due - bench.state.options.member.bound / 3;
  path_dispatch(bench.state, bench.now - 1, bench.effects);
  CHECK(bench.all<Answer>().empty());
  path_dispatch(bench.state, bench.now, bench.effects);
  CHECK(bench.only<Answer>().status == 503);
  bench.effects.clear();
  bench.now = bench.state.leave_due;
  CHECK(path_may_depart(bench.state, bench.now, bench.effects));
  CHECK(bench.all<CancelPipe>().size() == 1);
  CHECK(bench.only<Answer>().status == 502);
  CHECK(bench.state.path.carries.empty());
}
