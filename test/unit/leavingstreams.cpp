#include "sim/world.hpp"
#include "unit/pathbench.hpp"

using namespace weldsail;

namespace {

constexpr Moment step = 10;
constexpr Moment tick_pace = 50;
constexpr std::uint64_t tokens_per_event = 6;
constexpr std::uint64_t most_events = 160;

/// One data node, and workers whose streams take their time: a first event after a wait, then one for each pause.
class StreamWorld {
 public:
  StreamWorld(std::uint64_t seed, Moment first, Moment pause) : chance_(seed), first_(first), pause_(pause) {}

  /// A caller's request, which the worker answers with so many events; how long the caller waits for it.
  void ask(std::uint64_t events, Moment wait = 20000) {
    RequestArrived event;
    event.request = bench.next_request++;
    event.method = "POST";
    event.path = event.target = "/note/x";
    event.authority = "h";
    event.headers = {{"x-trial-id", "t" + std::to_string(event.request)},
                     {"x-deadline-ms", std::to_string(wait)},
                     {"x-model", "m1"},
                     {"x-tokens", "600," + std::to_string(events * tokens_per_event)}};
    auto& call = calls[event.request];
    call.came = bench.now;
    call.due = bench.now + wait;
    call.events = events;
    with([&] { path_take(bench.state, event, bench.now, bench.effects); });
  }
  /// Lets time go by, with one request in every so many milliseconds; 0: none.
  void run(Moment lasts, Moment between) {
    for (const auto until = bench.now + lasts; bench.now < until;) {
      bench.now += step;
      if (between > 0 && chance_.below(static_cast<std::uint64_t>(between / step)) == 0)
        ask(1 + chance_.below(most_events), waits_[chance_.below(waits_.size())]);
      work();
      if (bench.now % tick_pace == 0) tick();
    }
  }
  void tell(const std::vector<wire::WorkerEntry>& workers, std::uint64_t version) {
    with([&] { bench.tell(workers, version); });
  }
  void leave() {
    left_at = bench.now;
    with([&] { bench.effects = reduce(bench.state, Leaving{}, bench.now); });
  }
  /// From now on callers wait for one of these times.
  void wait_for(std::vector<Moment> waits) { waits_ = std::move(waits); }
  /// From now on the workers take so many times as long, also for what they have in hand.
  void slow(Moment times) {
    first_ *= times;
    pause_ *= times;
  }
  /// Time that a stream takes from the moment when the worker has it.
  Moment length(std::uint64_t events) const { return first_ + static_cast<Moment>(events - 1) * pause_; }

  struct Call {
    Moment came = 0;
    Moment due = 0;
    std::uint64_t events = 0;
    std::uint64_t pipe = 0;
    Moment sent = 0;
    std::uint64_t given = 0;
    Moment ended = 0;
    /// Status of an answer without a stream; 200 for a whole stream, 0 for one that was cut.
    std::optional<int> status;
    std::string retry_after;
  };
  unit::PathBench bench;
  std::map<std::uint64_t, Call> calls;
  Moment left_at = 0;
  bool departed = false;

 private:
  template <typename Action>
  void with(Action action) {
    bench.effects.clear();
    action();
    for (const auto& effect : std::exchange(bench.effects, {})) take(effect);
  }
  void take(const Effect& effect) {
    if (const auto* open = std::get_if<OpenPipe>(&effect)) {
      const auto request = bench.state.path.pipes.at(open->pipe);
      calls[request].pipe = open->pipe;
      calls[request].sent = bench.now;
      requests_[open->pipe] = request;
    }
    if (const auto* cancel = std::get_if<CancelPipe>(&effect)) requests_.erase(cancel->pipe);
    if (const auto* answer = std::get_if<Answer>(&effect)) {
      end(answer->request, answer->status);
      calls[answer->request].retry_after = header_value(answer->headers, "retry-after");
    }
    if (const auto* stream = std::get_if<AnswerEnd>(&effect)) end(stream->request, stream->whole ? 200 : 0);
    if (std::holds_alternative<Depart>(effect)) departed = true;
  }
  void end(std::uint64_t request, int status) {
    calls[request].status = status;
    calls[request].ended = bench.now;
  }
  void tick() {
    with([&] { bench.effects = reduce(bench.state, Ticked{1}, bench.now); });
  }
  void work() {
    const auto running = requests_;
    for (const auto& [pipe, request] : running) give(pipe, calls[request], request);
  }
  void give(std::uint64_t pipe, Call& call, std::uint64_t request) {
    if (bench.now < call.sent + length(call.given + 1)) return;
    if (call.given == 0)
      say(PipeHead{pipe, 200, {{"x-trial-id", "t" + std::to_string(request)}, {"x-server-seal", "s"}}});
    ++call.given;
    say(PipeBytes{pipe, "id: " + std::to_string(call.given) + "\ndata: x\n\n"});
    if (call.given < call.events) return;
    requests_.erase(pipe);
    say(PipeEnded{pipe, true, true, {}});
  }
  void say(const Event& event) {
    with([&] { path_pipe(bench.state, event, bench.now, bench.effects); });
  }

  sim::Chance chance_;
  Moment first_;
  Moment pause_;
  std::vector<Moment> waits_{20000};
  std::map<std::uint64_t, std::uint64_t> requests_;
};

}  // namespace

TEST_CASE("a leaving node hands a stream to a worker only where its answer is whole before the node's end", "[carry]") {
  const auto seed = GENERATE(range(1U, 9U));
  const Moment pause = 25 + static_cast<Moment>(seed) * 4;
  StreamWorld world(seed, 60, pause);
  world.run(20000, 40);
  world.leave();
  const auto grace = world.bench.state.options.limits.grace;
  const auto due = world.bench.state.leave_due;
  world.run(grace, 40);
  CHECK(world.departed);
  std::size_t cut = 0;
  std::size_t fit = 0;
  std::size_t served = 0;
  for (const auto& [request, call] : world.calls) {
    if (call.came <= world.left_at || call.came >= due) continue;
    REQUIRE(call.status);
    if (call.sent > world.left_at && call.status != 200) ++cut;
    if (call.sent == 0) {
      CHECK(*call.status == 503);
      CHECK(call.ended == call.came);
      CHECK(std::stod(call.retry_after) > 0);
    }
    // What would have been whole with a third of its length to spare.
    if (call.came + world.length(call.events) * 4 / 3 >= due || call.came >= world.left_at + grace / 4) continue;
    ++fit;
    if (call.status == 200) ++served;
  }
  CHECK(cut == 0);
  CHECK(fit >= 10);
  CHECK(served * 10 >= fit * 9);
}

// Guards against LOST: a request that came later than three seconds after SIGTERM was cut, as its worker became slower.
TEST_CASE("a leaving node cuts nothing that came late, however slow its workers become", "[carry]") {
  const auto seed = GENERATE(range(1U, 51U));
  CAPTURE(seed);
  sim::Chance chance(seed);
  StreamWorld world(seed, 60, 5 + static_cast<Moment>(chance.below(30)));
  world.run(20000, 40);
  world.wait_for({300, 1500, 4000, 20000});
  world.leave();
  const auto& limits = world.bench.state.options.limits;
  const auto due = world.bench.state.leave_due;
  while (!world.departed && world.bench.now < world.left_at + limits.grace) {
    world.run(limits.grace / 8, 40);
    world.slow(1 + static_cast<Moment>(chance.below(3)));
  }
  std::size_t taken = 0;
  for (const auto& [request, call] : world.calls) {
    if (call.came < world.left_at + limits.owed_after || call.came >= due) continue;
    REQUIRE(call.status);
    // A worker that isn't done by its caller's deadline is broken off there, and not before.
    const bool cut = *call.status != 200 && *call.status != 503;
    if (cut) CHECK(call.ended >= call.due);
    if (*call.status == 503) CHECK(call.sent == 0);
    if (call.due <= due) CHECK(call.sent != 0);
    if (call.sent != 0) ++taken;
  }
  CHECK(taken > 0);
}

TEST_CASE("a request held at a leaving node is refused once no worker could finish it in time", "[carry]") {
  StreamWorld world(1, 60, 30);
  world.run(20000, 60);
  world.run(10000, 0);
  world.tell({unit::PathBench::worker("w3", "seat")}, 2);
  const bool before = GENERATE(true, false);
  if (before) world.ask(most_events);
  world.leave();
  if (!before) world.ask(most_events);
  const auto held = world.calls.rbegin()->first;
  REQUIRE_FALSE(world.calls[held].status);
  world.run(world.bench.state.options.limits.grace / 2, 0);
  world.tell({unit::PathBench::worker("w1", "chat"), unit::PathBench::worker("w3", "seat")}, 3);
  world.run(world.bench.state.options.limits.grace / 2, 0);
  CHECK(world.calls[held].sent == 0);
  CHECK(world.calls[held].status.value_or(-1) == 503);
}

TEST_CASE("answers in one piece tell a leaving node nothing of how long a stream of the same model takes", "[carry]") {
  unit::PathBench bench;
  for (int count = 0; count < 64; ++count)
    bench.state.path.units[path_unit("chat", "m1")].lengths.in_one_piece.add({150, 0, 0});
  path_leave(bench.state, bench.now);
  bench.ask("/note/x");
  CHECK(bench.all<OpenPipe>().empty());
  CHECK(bench.only<Answer>().status == 503);
}
