#include "unit/pathbench.hpp"

using namespace weldsail;
using Bench = unit::PathBench;
using unit::value_of;

TEST_CASE("a begun stream that another worker turns away waits and goes there again", "[carry]") {
  Bench bench;
  bench.ask("/chat/x");
  const auto first = bench.only<OpenPipe>();
  bench.head(first, 200, "t1");
  bench.now += 5000;
  bench.happen(PipeBytes{first.pipe, "id: 1\ndata: a\n\n"});
  bench.happen(PipeEnded{first.pipe, false, true, "reset"});
  const auto second = bench.only<OpenPipe>();
  bench.head(second, 503, "t1", {{"x-not-run", "1"}});
  CHECK(bench.all<AnswerEnd>().empty());
  bench.effects.clear();
  bench.now += bench.state.options.member.bound / 6;
  path_dispatch(bench.state, bench.now, bench.effects);
  const auto third = bench.only<OpenPipe>();
  CHECK(third.address == second.address);
  CHECK(value_of(third, "last-event-id") == "1");
  bench.head(third, 200, "t1");
  bench.happen(PipeBytes{third.pipe, "id: 2\ndata: b\n\n"});
  bench.happen(PipeEnded{third.pipe, true, true, {}});
  CHECK(bench.only<AnswerEnd>().whole);
}

TEST_CASE("a begun stream ends at once when no worker may take it any more", "[carry]") {
  Bench bench;
  bench.ask("/chat/x");
  const auto first = bench.only<OpenPipe>();
  bench.head(first, 200, "t1");
  bench.now += GENERATE(0, 5000);
  bench.happen(PipeBytes{first.pipe, "id: 1\ndata: a\n\n"});
  const auto state = GENERATE(as<std::string>(), "workers cut it", "worker left");
  bench.happen(PipeEnded{first.pipe, false, true, "reset"});
  const auto second = bench.only<OpenPipe>();
  if (state == "workers cut it") {
    bench.happen(PipeEnded{second.pipe, false, true, "reset"});
  } else {
    bench.head(second, 503, "t1", {{"x-not-run", "1"}});
    REQUIRE(bench.all<AnswerEnd>().empty());
    bench.effects.clear();
    bench.tell({Bench::worker("w3", "seat")}, 2);
    path_dispatch(bench.state, bench.now, bench.effects);
  }
  CHECK(bench.all<OpenPipe>().empty());
  CHECK_FALSE(bench.only<AnswerEnd>().whole);
}

TEST_CASE("a stream that went to no more workers than its route allows goes to no other one", "[carry]") {
  Bench bench;
  bench.tell({Bench::worker("w1", "chat"), Bench::worker("w2", "chat"), Bench::worker("w4", "chat")}, 2);
  bench.ask("/chat/x");
  const auto first = bench.only<OpenPipe>();
  bench.head(first, 200, "t1");
  bench.happen(PipeBytes{first.pipe, "id: 1\ndata: a\n\n"});
  bench.happen(PipeEnded{first.pipe, false, true, "reset"});
  std::set<std::string> addresses{first.address};
  const auto cut = bench.now;
  Moment ended = 0;
  std::size_t sends = 0;
  for (; ended == 0 && bench.now < cut + 10000; bench.now += 100) {
    for (const auto& open : bench.all<OpenPipe>()) {
      ++sends;
      addresses.insert(open.address);
      bench.head(open, 503, "t1", {{"x-not-run", "1"}});
    }
    path_dispatch(bench.state, bench.now, bench.effects);
    if (bench.state.path.carries.empty()) ended = bench.now;
  }
  // The caller bears 2,400 ms of silence: it hears of the end before that, and the worker isn't asked at each turn.
  CHECK(addresses.size() == 2);
  CHECK(sends > 1);
  CHECK(sends <= 4);
  CHECK(ended - cut >= 1700);
  CHECK(ended - cut <= 2000);
}
