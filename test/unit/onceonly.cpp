#include "sim/world.hpp"
#include "unit/pathbench.hpp"

using namespace weldsail;
using unit::PathBench;

namespace {

/// How the exchange with a worker ends.
struct Ending {
  std::string name;
  /// The worker has said that the request didn't run, or nothing has been sent to it.
  bool not_run;
  std::function<void(PathBench&, const OpenPipe&, const std::string& trial)> play;
  /// A whole answer with a status below 500: it is the answer, whatever the kind of request.
  bool answer = false;
};

void refuse(PathBench& bench, const OpenPipe& pipe, int status, const std::string& trial, bool says, bool whole) {
  bench.head(pipe, status, trial, says ? std::vector<Header>{{"x-not-run", "1"}} : std::vector<Header>{});
  if (bench.all<CancelPipe>().empty()) bench.happen(PipeEnded{pipe.pipe, whole, true, whole ? "" : "reset"});
}

Ending refusal(const std::string& name, int status, bool says, bool whole) {
  return {name, says && whole,
          [=](PathBench& bench, const OpenPipe& pipe, const std::string& trial) {
            refuse(bench, pipe, status, trial, says, whole);
          },
          !says && whole && status < 500};
}

Ending end(const std::string& name, bool sent, const std::string& reason) {
  return {name, !sent, [=](PathBench& bench, const OpenPipe& pipe, const std::string&) {
            bench.happen(PipeEnded{pipe.pipe, false, sent, reason});
          }};
}

const std::vector<Ending>& endings() {
  static const std::vector<Ending> all{
      end("no connection", false, "connection refused"),
      end("no connection in its time", false, connect_past_due_reason),
      end("reset before the head", true, "reset"),
      end("close of a connection that rested", true, "closed"),
      end("malformed head", true, "malformed head"),
      refusal("503 that says not run", 503, true, true),
      refusal("429 that says not run", 429, true, true),
      refusal("421 that says not run, of a worker in another's place", 421, true, true),
      refusal("400 that says not run", 400, true, true),
      refusal("503 that says not run, cut", 503, true, false),
      refusal("503 that says nothing", 503, false, true),
      refusal("429 that says nothing", 429, false, true),
      refusal("421 that says nothing", 421, false, true),
      refusal("500 that says nothing, cut", 500, false, false),
      {"reset after the head", false,
       [](PathBench& bench, const OpenPipe& pipe, const std::string& trial) {
         bench.head(pipe, 200, trial);
         bench.happen(PipeEnded{pipe.pipe, false, true, "reset"});
       }},
      {"reset in the body", false,
       [](PathBench& bench, const OpenPipe& pipe, const std::string& trial) {
         bench.head(pipe, 200, trial);
         bench.happen(PipeBytes{pipe.pipe, "half"});
         bench.happen(PipeEnded{pipe.pipe, false, true, "reset"});
       }},
      {"another request's answer", false,
       [](PathBench& bench, const OpenPipe& pipe, const std::string&) { bench.head(pipe, 200, "another"); }},
      {"another request's refusal", false,
       [](PathBench& bench, const OpenPipe& pipe, const std::string&) {
         refuse(bench, pipe, 503, "another", true, true);
       }},
      {"an answer without a seal", false,
       [](PathBench& bench, const OpenPipe& pipe, const std::string& trial) {
         bench.happen(PipeHead{pipe.pipe, 200, {{"x-trial-id", trial}}});
       }},
      {"reset after a freeze of this process", false,
       [](PathBench& bench, const OpenPipe& pipe, const std::string&) {
         bench.now += 1000;
         bench.happen(PipeEnded{pipe.pipe, false, true, "reset"});
       }},
  };
  return all;
}

/// A kind of request, by its path.
struct Kind {
  std::string path;
  bool model;
  bool repeatable;
};

const std::vector<Kind> kinds{
    {"/grant/x", false, false}, {"/note/x", true, false}, {"/chat/x", true, true}, {"/seat/x", false, true}};

/// Workers enough for a second try of every kind, and a route whose requests may run once.
struct OnceBench : PathBench {
  OnceBench() {
    configure(3, R"(,{"label":"d","host":"h","path_prefix":"/grant/","mode":"effectful","deadline_ms":9000,)"
                 R"("setpoint_ms":100,"precedence":2,"plant":"seat","trials":3})");
    tell({worker("w1", "chat"), worker("w2", "chat"), worker("w3", "seat"), worker("w4", "seat")}, 2);
  }
  bool answered() const { return all<Answer>().size() + all<AnswerEnd>().size() > 0; }
};

bool is_promise(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

}  // namespace

TEST_CASE("each kind of request and each kind of end: sent once more, or answered for good at once",
          "[hardening.right_answer]") {
  for (const auto& kind : kinds)
    for (const auto& ending : endings()) {
      CAPTURE(kind.path, ending.name);
      OnceBench bench;
      // The budget of repeats allows one.
      for (int turn = 0; turn < 40; ++turn) bench.ask(kind.path, kind.model);
      const auto request = bench.ask(kind.path, kind.model);
      const auto pipe = bench.only<OpenPipe>();
      CHECK(pipe.fresh != kind.repeatable);
      ending.play(bench, pipe, "t" + std::to_string(request));
      const bool again = ending.not_run || (kind.repeatable && !ending.answer);
      CHECK(bench.all<OpenPipe>().size() == (again ? 1 : 0));
      CHECK(bench.answered() != again);
      for (const auto& answer : bench.all<Answer>()) {
        CHECK(answer.request == request);
        CHECK(answer.status >= 500);
        CHECK_FALSE(is_promise(answer.status));
      }
    }
}

TEST_CASE("silence until the end of its time is the final answer of every kind of request",
          "[hardening.right_answer]") {
  for (const auto& kind : kinds) {
    CAPTURE(kind.path);
    OnceBench bench;
    const auto request = bench.ask(kind.path, kind.model);
    const auto pipe = bench.only<OpenPipe>();
    bench.now += 10000;
    // The same after a freeze of this process that outlasts the request: the worker may have run it meanwhile.
    const char* reason = GENERATE(past_due_reason, "reset");
    bench.happen(PipeEnded{pipe.pipe, false, true, reason});
    CHECK(bench.all<OpenPipe>().empty());
    CHECK(bench.only<Answer>().request == request);
    CHECK(bench.only<Answer>().status == 504);
  }
}

TEST_CASE("whatever a hundred workers do, what may run once is sent on only after each said that it didn't run",
          "[hardening.right_answer]") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 9));
  sim::Chance chance(seed);
  for (int turn = 0; turn < 400; ++turn) {
    OnceBench bench;
    const auto& kind = kinds[chance.below(kinds.size())];
    const auto request = bench.ask(kind.path, kind.model);
    bool may_have_run = false;
    std::string story;
    for (int step = 0; step < 60 && !bench.answered(); ++step) {
      const auto opened = bench.all<OpenPipe>();
      CAPTURE(seed, turn, kind.path, story);
      REQUIRE(opened.size() <= 1);
      if (opened.empty()) {
        bench.now += 500;
        bench.effects.clear();
        path_tick(bench.state, bench.now, bench.effects);
        continue;
      }
      CHECK((!may_have_run || kind.repeatable));
      const auto& ending = endings()[chance.below(endings().size())];
      story += ending.name + "; ";
      may_have_run = may_have_run || !ending.not_run;
      ending.play(bench, opened.front(), "t" + std::to_string(request));
    }
    CAPTURE(seed, turn, kind.path, story);
    REQUIRE(bench.answered());
    // A promise that it never runs is kept only where nobody can have run it.
    for (const auto& answer : bench.all<Answer>()) CHECK((!is_promise(answer.status) || !may_have_run));
  }
}
