#include "unit/pathbench.hpp"

using namespace weldsail;
using Bench = unit::PathBench;
using unit::value_of;

namespace {

constexpr Moment silence = 1100;

/// A stream that has begun at one of two workers and is offered to the other one, as the first has been silent.
struct SilentStream {
  SilentStream() {
    bench.ask("/chat/x");
    first = bench.only<OpenPipe>();
    bench.head(first, 200, "t1");
    bench.happen(PipeBytes{first.pipe, "id: 1\ndata: a\n\n"});
    second = offered();
  }

  /// Lets the open worker be silent for long.
  OpenPipe offered() {
    wait();
    return bench.only<OpenPipe>();
  }
  void wait() {
    bench.now += silence;
    bench.effects.clear();
    path_tick(bench.state, bench.now, bench.effects);
  }
  void event(const OpenPipe& pipe, int number) {
    bench.happen(PipeBytes{pipe.pipe, "id: " + std::to_string(number) + "\ndata: x\n\n"});
  }
  void turn_away(const OpenPipe& pipe) {
    bench.head(pipe, 503, "t1", {{"x-not-run", "1"}});
    if (bench.state.path.pipes.contains(pipe.pipe)) bench.happen(PipeEnded{pipe.pipe, true, true, {}});
  }
  void check_nothing_open() const {
    CHECK(bench.state.path.carries.empty());
    CHECK(bench.state.path.pipes.empty());
    for (const auto& [worker, track] : bench.state.path.tracks) CHECK(track.open == 0);
    for (const auto& [unit, use] : bench.state.path.units) CHECK(use.running == 0);
  }

  Bench bench;
  OpenPipe first;
  OpenPipe second;
};

}  // namespace

// Guards against LOST: a stream was taken from a sound worker that paused, offered to a full one, and cut.
TEST_CASE("a begun stream whose worker pauses goes on there where no other worker takes it", "[carry]") {
  SilentStream stream;
  auto& bench = stream.bench;
  CHECK(bench.all<CancelPipe>().empty());
  CHECK(stream.second.address != stream.first.address);
  CHECK(value_of(stream.second, "last-event-id") == "1");
  const auto refusal = GENERATE(as<std::string>(), "full", "full, with its load", "unreachable", "reset", "foreign");
  if (refusal == "full") stream.turn_away(stream.second);
  if (refusal == "full, with its load")
    bench.head(stream.second, 503, "t1", {{"x-not-run", "1"}, {"x-unit-load", "64,192,64"}});
  if (refusal == "unreachable") bench.happen(PipeEnded{stream.second.pipe, false, false, "refused"});
  if (refusal == "reset") bench.happen(PipeEnded{stream.second.pipe, false, true, "reset"});
  if (refusal == "foreign") bench.head(stream.second, 200, "another");
  CHECK(bench.all<AnswerEnd>().empty());
  CHECK(bench.all<OpenPipe>().empty());
  stream.event(stream.first, 2);
  CHECK(bench.only<AnswerBytes>().bytes == "id: 2\ndata: x\n\n");
  bench.happen(PipeEnded{stream.first.pipe, true, true, {}});
  CHECK(bench.only<AnswerEnd>().whole);
  stream.check_nothing_open();
}

TEST_CASE("a begun stream whose worker is dead goes on at another worker", "[carry]") {
  SilentStream stream;
  auto& bench = stream.bench;
  bench.head(stream.second, 200, "t1");
  CHECK(bench.all<CancelPipe>().empty());
  stream.event(stream.second, 2);
  CHECK(bench.only<CancelPipe>().pipe == stream.first.pipe);
  CHECK(bench.only<AnswerBytes>().bytes == "id: 2\ndata: x\n\n");
  bench.happen(PipeEnded{stream.second.pipe, true, true, {}});
  CHECK(bench.only<AnswerEnd>().whole);
  stream.check_nothing_open();
}

TEST_CASE("a full worker is asked again for a begun stream whose own worker stays silent", "[carry]") {
  SilentStream stream;
  auto& bench = stream.bench;
  stream.turn_away(stream.second);
  const auto third = stream.offered();
  CHECK(third.address == stream.second.address);
  bench.head(third, 200, "t1");
  stream.event(third, 2);
  bench.happen(PipeEnded{third.pipe, true, true, {}});
  CHECK(bench.only<AnswerEnd>().whole);
  stream.check_nothing_open();
}

TEST_CASE("a worker that speaks again keeps its stream, half an event included", "[carry]") {
  SilentStream stream;
  auto& bench = stream.bench;
  const bool begun = GENERATE(true, false);
  if (begun) bench.head(stream.second, 200, "t1");
  bench.happen(PipeBytes{stream.first.pipe, "id: 2\nda"});
  CHECK(bench.only<CancelPipe>().pipe == stream.second.pipe);
  CHECK(bench.all<AnswerBytes>().empty());
  bench.happen(PipeBytes{stream.first.pipe, "ta: x\n\n"});
  CHECK(bench.only<AnswerBytes>().bytes == "id: 2\ndata: x\n\n");
  bench.happen(PipeEnded{stream.first.pipe, true, true, {}});
  CHECK(bench.only<AnswerEnd>().whole);
  stream.check_nothing_open();
}

TEST_CASE("a stream that was silent before its end is whole when the end comes", "[carry]") {
  SilentStream stream;
  auto& bench = stream.bench;
  bench.happen(PipeEnded{stream.first.pipe, true, true, {}});
  CHECK(bench.only<CancelPipe>().pipe == stream.second.pipe);
  CHECK(bench.only<AnswerEnd>().whole);
  stream.check_nothing_open();
}

TEST_CASE("a stream goes back to the worker that it left when the next one breaks or falls silent", "[carry]") {
  SilentStream stream;
  auto& bench = stream.bench;
  bench.head(stream.second, 200, "t1");
  stream.event(stream.second, 2);
  const bool breaks = GENERATE(true, false);
  if (breaks)
    bench.happen(PipeEnded{stream.second.pipe, false, true, "reset"});
  else
    stream.wait();
  const auto third = bench.only<OpenPipe>();
  CHECK(third.address == stream.first.address);
  CHECK(value_of(third, "last-event-id") == "2");
  bench.head(third, 200, "t1");
  stream.event(third, 3);
  bench.happen(PipeEnded{third.pipe, true, true, {}});
  CHECK(bench.only<AnswerEnd>().whole);
  stream.check_nothing_open();
}

TEST_CASE("a worker that repeats events leaves the first worker's stream as it was", "[carry]") {
  SilentStream stream;
  auto& bench = stream.bench;
  bench.head(stream.second, 200, "t1");
  stream.event(stream.second, 1);
  CHECK(bench.only<CancelPipe>().pipe == stream.second.pipe);
  CHECK(bench.all<AnswerBytes>().empty());
  stream.event(stream.first, 2);
  bench.happen(PipeEnded{stream.first.pipe, true, true, {}});
  CHECK(bench.only<AnswerEnd>().whole);
  stream.check_nothing_open();
}

TEST_CASE("a caller that goes while its stream is offered leaves nothing open", "[carry]") {
  SilentStream stream;
  auto& bench = stream.bench;
  bench.effects.clear();
  path_gone(bench.state, 1, bench.now, bench.effects);
  CHECK(bench.all<CancelPipe>().size() == 2);
  stream.check_nothing_open();
}

// Guards against LOST: a repeatable request was taken from a worker that only needed longer, and the next one was full.
TEST_CASE("a repeatable request stays with a slow worker until another one has answered", "[carry]") {
  Bench bench;
  bench.tell({Bench::worker("w3", "seat"), Bench::worker("w4", "seat")}, 2);
  bench.ask("/seat/x", false);
  const auto first = bench.only<OpenPipe>();
  bench.now += silence;
  bench.effects.clear();
  path_tick(bench.state, bench.now, bench.effects);
  const auto second = bench.only<OpenPipe>();
  CHECK(second.address != first.address);
  CHECK(bench.all<CancelPipe>().empty());
  const auto answers = GENERATE(as<std::string>(), "slow", "other", "slow, other is full", "other, slow one is full");
  const bool by_slow = answers.starts_with("slow");
  const auto& by = by_slow ? first : second;
  if (answers == "slow, other is full") bench.head(second, 503, "t1", {{"x-not-run", "1"}});
  if (answers == "slow, other is full") bench.happen(PipeEnded{second.pipe, true, true, {}});
  if (answers == "other, slow one is full") bench.head(first, 503, "t1", {{"x-not-run", "1"}});
  CHECK(bench.all<Answer>().empty());
  bench.head(by, 200, "t1");
  bench.happen(PipeBytes{by.pipe, "taken"});
  bench.happen(PipeEnded{by.pipe, true, true, {}});
  const auto answer = bench.only<Answer>();
  CHECK(answer.status == 200);
  CHECK(answer.body == "taken");
  CHECK(bench.state.path.pipes.empty());
  for (const auto& [worker, track] : bench.state.path.tracks) CHECK(track.open == 0);
}
