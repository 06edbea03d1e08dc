#include "core/configuration/fetch.hpp"
#include "unit/pathbench.hpp"

/// What a data node answers to a request that the configuration here has no place for, at each moment of its life. The
/// users' rules: 404 for what all configurations of the day allow counts from any machine, in touch or not, and who
/// knows no configuration yet answers 503 (DENIED); in touch, nothing is refused any more that a version acknowledged
/// for longer than the bound allows (CONFIG). So 404 needs a proof that nothing newer had been acknowledged for that
/// long when the request arrived; a node that is cut off has none, and answers 503.
using namespace weldsail;
using namespace weldsail::unit;

namespace {

RequestArrived request_to(const std::string& path, std::uint64_t number, std::size_t body = 0) {
  RequestArrived event;
  event.request = number;
  event.method = "POST";
  event.path = event.target = path;
  event.authority = "h";
  event.headers = {{"x-trial-id", "t" + std::to_string(number)}, {"x-deadline-ms", "1000"}};
  event.body = std::string(body, 'x');
  return event;
}

/// One data node, told of time and of what is committed only.
struct Life {
  explicit Life(DataState initial) : state(std::move(initial)) {}

  /// The status of the answer that comes within the caller's time; 0 where the request went to a worker.
  int status(const std::string& path, std::size_t body = 0) {
    const auto number = next++;
    auto effects = reduce(state, request_to(path, number, body), now);
    for (const auto until = now + 1500; now < until; now += 25) {
      for (const auto& effect : effects) {
        if (const auto* answer = std::get_if<Answer>(&effect); answer != nullptr && answer->request == number) {
          const bool returns = answer->status != 503 || !header_value(answer->headers, "retry-after").empty();
          CHECK(returns);
          return answer->status;
        }
        if (std::holds_alternative<OpenPipe>(effect)) return 0;
      }
      effects = reduce(state, Ticked{next}, now);
    }
    return -1;
  }

  void pass(Moment time) {
    for (const auto until = now + time; now < until; now += 25) reduce(state, Ticked{1}, now);
  }

  /// As though a source had just proved that the configuration in force is the newest.
  void prove() { state.current_as_of = now; }

  void hear_of(std::uint64_t version) {
    wire::Known known;
    known.set_key(config_key);
    known.set_version(version);
    fetch_missing(state.news, known, now);
  }

  void have(std::uint64_t version) {
    wire::RegisterValue value;
    value.set_key(config_key);
    value.set_version(version);
    Effects effects;
    news_learn(state.news, state.member, state.formation.core, value, now, effects);
  }

  DataState state;
  Moment now = 10000;
  std::uint64_t next = 1;
};

Life begun_life() {
  PathBench bench;
  Life life(bench.state);
  reduce(life.state, Started{1, {}}, life.now);
  return life;
}

}  // namespace

TEST_CASE("a node that knows no configuration yet answers 503 to all, and never 404") {
  Life life(make_data(PathBench::options()));
  reduce(life.state, Started{1, {}}, life.now);
  for (int turn = 0; turn < 20; ++turn) {
    CHECK(life.status("/seat/x") == 503);
    CHECK(life.status("/none/x") == 503);
    CHECK(life.status("/none/x", 9U << 20U) == 503);
    // It may hear that there are versions without getting any of them.
    if (turn == 5) life.hear_of(3);
    if (turn == 10) life.pass(60000);
  }
}

TEST_CASE("a node that has a configuration and no view of the workers answers 503, and never 404") {
  auto life = begun_life();
  life.state.path.fleet = {};
  CHECK(life.status("/seat/x") == 503);
  CHECK(life.status("/none/x") == 503);
}

TEST_CASE("a node in touch answers 404 for what no configuration has, and serves what its own has") {
  auto life = begun_life();
  CHECK(life.status("/seat/x") == 0);
  CHECK(life.status("/none/x") == 404);
  CHECK(life.status("/seat/x", 9U << 20U) == 413);
}

TEST_CASE("a node that is behind answers 503 in place of 404 and 413, and without a young proof to all") {
  auto life = begun_life();
  const auto adopt = life.state.options.limits.adopt;
  life.have(2);
  life.hear_of(3);
  life.prove();
  const auto proved = life.now;
  CHECK(life.status("/seat/x") == 0);
  CHECK(life.status("/none/x") == 503);
  CHECK(life.status("/seat/x", 9U << 20U) == 503);
  life.now = proved + adopt * 49 / 50;
  CHECK(life.status("/seat/x") == 0);
  life.now = proved + adopt;
  CHECK(life.status("/seat/x") == 503);
  CHECK(life.status("/none/x") == 503);
  // It has caught up, and hears that this is the newest: what it doesn't have now is nowhere.
  life.have(3);
  CHECK(life.status("/seat/x") == 0);
  CHECK(life.status("/none/x") == 503);
  life.prove();
  CHECK(life.status("/none/x") == 404);
}

// Guards against a 404 by a node that had heard of nothing newer, 2.5 s after an acknowledgement (incident 45).
TEST_CASE("a node whose last proof is older than a new version may take answers 503 in place of 404 and 413") {
  auto life = begun_life();
  const auto adopt = life.state.options.limits.adopt;
  life.prove();
  const auto proved = life.now;
  life.now = proved + adopt * 49 / 50;
  CHECK(life.status("/none/x") == 404);
  CHECK(life.status("/seat/x", 9U << 20U) == 413);
  life.now = proved + adopt;
  CHECK(life.status("/none/x") == 503);
  CHECK(life.status("/seat/x", 9U << 20U) == 503);
  CHECK(life.status("/seat/x") == 0);
  CHECK(life.state.unproved_refusals == std::map<int, std::uint64_t>{{404, 1}, {413, 1}});
  life.prove();
  CHECK(life.status("/none/x") == 404);
}

TEST_CASE("a request is judged by the moment at which it was read, not by that of its turn") {
  auto life = begun_life();
  life.prove();
  auto request = request_to("/none/x", 1000);
  request.read_at = life.now + life.state.options.limits.adopt / 2;
  const auto effects = reduce(life.state, request, life.now + 2 * life.state.options.limits.adopt);
  const auto found =
      std::ranges::find_if(effects, [](const Effect& effect) { return std::holds_alternative<Answer>(effect); });
  REQUIRE(found != effects.end());
  CHECK(std::get<Answer>(*found).status == 404);
}

TEST_CASE("a node that is cut off and has heard of nothing newer never refuses a route that it has") {
  auto life = begun_life();
  for (int turn = 0; turn < 10; ++turn) {
    life.pass(10000);
    const auto known = life.status("/seat/x");
    CAPTURE(turn, known);
    CHECK((known == 0 || known == 503 || known == 504));
    // It can't know whether a newer version has it.
    CHECK(life.status("/none/x") == 503);
  }
  // As soon as it hears of a newer version, it can't tell any more.
  life.hear_of(9);
  CHECK(life.status("/none/x") == 503);
}

// Guards against a hint that is dropped: the ping of a data node that has a newer version (incident 45).
TEST_CASE("a node that hears of a newer version from another data node answers 503 in place of 404, proof or not") {
  auto life = begun_life();
  life.have(2);
  constexpr std::uint64_t neighbour = 7;
  wire::Envelope envelope;
  envelope.set_from(neighbour);
  envelope.set_address("d7");
  auto* entry = envelope.mutable_ping()->add_members();
  entry->set_node(neighbour);
  entry->set_address("d7");
  entry->set_program(static_cast<std::uint32_t>(Program::data));
  auto* known = envelope.mutable_ping()->add_known();
  known->set_key(config_key);
  known->set_version(3);
  life.prove();
  news_prove_current(life.state.news, life.now);
  CHECK(life.status("/none/x") == 404);
  life.prove();
  reduce(life.state, MessageArrived{envelope}, life.now);
  CHECK(life.status("/none/x") == 503);
  CHECK(life.status("/seat/x") == 0);
}
