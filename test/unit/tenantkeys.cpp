#include "core/operations/metrics.hpp"
#include "sim/world.hpp"
#include "unit/pathbench.hpp"
#include "unit/tenants.hpp"

/// Keys of tenants at a data node: who is let in, and what the worker is shown of it.
using namespace weldsail;
using namespace weldsail::unit;

namespace {

const std::string open_route = R"(,{"label":"o","host":"h","path_prefix":"/open/","mode":"idempotent",)"
                               R"("deadline_ms":1500,"precedence":2,"plant":"seat","trials":2,"unkeyed":true})";

struct KeyBench : PathBench {
  explicit KeyBench(const Keys& keys) { take(keys); }
  void take(const Keys& keys, const std::string& more = {}) {
    configure(next_revision++, open_route, tenants_member(keys, more));
  }
  /// The status of an answer at once; 0 where the request went to a worker.
  int status(const std::string& path, const std::vector<Header>& headers) {
    ask(path, path == "/chat/x", headers);
    return all<OpenPipe>().empty() ? only<Answer>().status : 0;
  }
  std::uint64_t next_revision = 3;
};

std::vector<std::string> values_of(const OpenPipe& pipe, const std::string& name) {
  std::vector<std::string> values;
  for (const auto& header : pipe.headers)
    if (header.name == name) values.push_back(header.value);
  return values;
}

/// The tenant of a key by a plain search; -1 for nobody's.
int owner_of(const Keys& keys, const std::string& key) {
  for (std::size_t place = 0; place < keys.size(); ++place)
    if (std::ranges::find(keys[place], key) != keys[place].end()) return static_cast<int>(place);
  return -1;
}

}  // namespace

TEST_CASE("a key is never shown to a worker, and the tenant is its owner whatever the caller wrote", "[carry]") {
  sim::Chance chance(45);
  int ran = 0;
  int refused = 0;
  for (int round = 0; round < 60; ++round) {
    const std::size_t count = 1 + chance.below(4);
    Keys keys(count);
    for (int number = 0; number < 8; ++number)
      if (chance.happens(0.6)) keys[chance.below(count)].push_back("key" + std::to_string(number));
    KeyBench bench(keys);
    for (int turn = 0; turn < 20; ++turn) {
      std::vector<Header> headers;
      std::vector<std::string> sent;
      for (auto more = chance.below(10); more > 6 || (more > 0 && sent.empty()); more = more > 6 ? 6 : 0) {
        sent.push_back("key" + std::to_string(chance.below(10)) + (chance.happens(0.1) ? "," : ""));
        headers.push_back({"x-key", sent.back()});
      }
      for (auto forged = chance.below(3); forged > 0; --forged)
        headers.insert(headers.begin(), {"x-tenant", "t" + std::to_string(chance.below(count))});
      const bool open = chance.happens(0.3);
      const auto owner = sent.size() == 1 ? owner_of(keys, sent.front()) : -1;
      const bool allowed = owner >= 0 || (open && sent.empty());
      const auto status = bench.status(open ? "/open/x" : "/seat/x", headers);
      CAPTURE(round, turn, open, sent.size());
      CHECK(status == (allowed ? 0 : 401));
      (allowed ? ran : refused) += 1;
      if (status != 0) {
        CHECK(header_value(bench.only<Answer>().headers, "www-authenticate") == "X-Key");
        continue;
      }
      const auto pipe = bench.only<OpenPipe>();
      CHECK(values_of(pipe, "x-key").empty());
      const auto tenant =
          owner >= 0 ? std::vector<std::string>{"t" + std::to_string(owner)} : std::vector<std::string>{};
      CHECK(values_of(pipe, "x-tenant") == tenant);
    }
  }
  CHECK(ran > 200);
  CHECK(refused > 200);
}

TEST_CASE("without tenants no key is asked for, and neither a key nor a forged tenant goes along", "[carry]") {
  PathBench bench;
  bench.ask("/seat/x", false, {{"x-key", "k"}, {"x-tenant", "t"}, {"x-other", "o"}});
  const auto pipe = bench.only<OpenPipe>();
  CHECK(values_of(pipe, "x-key").empty());
  CHECK(values_of(pipe, "x-tenant").empty());
  CHECK(value_of(pipe, "x-other") == "o");
}

TEST_CASE("a list of tenants that is empty lets nobody in but on open routes", "[carry]") {
  KeyBench bench(Keys{});
  CHECK(bench.status("/seat/x", {{"x-key", "k"}}) == 401);
  CHECK(bench.status("/seat/x", {}) == 401);
  CHECK(bench.status("/open/x", {}) == 0);
}

TEST_CASE("a tenant's urgency goes before the route's", "[carry]") {
  KeyBench bench({{"k0"}});
  REQUIRE(bench.status("/chat/x", {{"x-key", "k0"}}) == 0);
  CHECK(value_of(bench.only<OpenPipe>(), "x-precedence") == "1");
  bench.take({{"k0"}}, R"(,"precedence":4)");
  REQUIRE(bench.status("/chat/x", {{"x-key", "k0"}}) == 0);
  CHECK(value_of(bench.only<OpenPipe>(), "x-precedence") == "4");
}

TEST_CASE("a key that moved between two tries makes the second one its new owner's", "[carry]") {
  KeyBench bench({{"k0"}, {"k1"}});
  REQUIRE(bench.status("/chat/x", {{"x-key", "k0"}}) == 0);
  const auto first = bench.only<OpenPipe>();
  CHECK(value_of(first, "x-tenant") == "t0");
  bench.take({{}, {"k1", "k0"}});
  bench.happen(PipeEnded{first.pipe, false, true, "reset"});
  const auto second = bench.only<OpenPipe>();
  CHECK(values_of(second, "x-tenant") == std::vector<std::string>{"t1"});
}

TEST_CASE("a request that waits while its key is taken away is refused; who may have run is not told so", "[carry]") {
  KeyBench bench({{"k0"}});
  bench.tell({}, 2);
  bench.ask("/seat/x", false, {{"x-key", "k0"}});
  CHECK(bench.effects.empty());
  bench.effects.clear();
  bench.take({{}});
  CHECK(bench.only<Answer>().status == 401);

  KeyBench sent({{"k0"}});
  REQUIRE(sent.status("/seat/x", {{"x-key", "k0"}}) == 0);
  const auto pipe = sent.only<OpenPipe>();
  sent.take({{}});
  sent.happen(PipeEnded{pipe.pipe, false, true, "reset"});
  CHECK(sent.only<Answer>().status == 502);
}

TEST_CASE("a stream runs on when its key is taken away, and isn't taken up elsewhere after a cut", "[carry]") {
  KeyBench bench({{"k0"}});
  REQUIRE(bench.status("/chat/x", {{"x-key", "k0"}}) == 0);
  const auto pipe = bench.only<OpenPipe>();
  bench.head(pipe, 200, "t" + std::to_string(bench.next_request - 1));
  bench.happen(PipeBytes{pipe.pipe, "id: 1\ndata: a\n\n"});
  bench.take({{}});
  bench.happen(PipeBytes{pipe.pipe, "id: 2\ndata: b\n\n"});
  CHECK(bench.only<AnswerBytes>().bytes == "id: 2\ndata: b\n\n");
  bench.happen(PipeEnded{pipe.pipe, false, true, "reset"});
  CHECK(bench.all<OpenPipe>().empty());
  CHECK_FALSE(bench.only<AnswerEnd>().whole);
}

TEST_CASE("a key is judged by the configuration that a request finds, however it came before it", "[carry]") {
  KeyBench bench({{"k0"}});
  auto starting = make_data(PathBench::options());
  const auto ask = [&](std::uint64_t number) {
    RequestArrived event{number, "POST", "/seat/x", {{"x-trial-id", "t"}, {"x-key", "k0"}}, {}, "/seat/x", "h"};
    Effects effects;
    path_take(starting, event, bench.now, effects);
    CHECK(effects.empty());
  };
  ask(1);
  Effects effects;
  path_early(starting, bench.now + 60000, effects);
  REQUIRE(effects.size() == 1);
  CHECK(std::get<Answer>(effects.front()).status == 503);
  ask(2);
  starting.path.config = bench.state.path.config;
  starting.path.index = bench.state.path.index;
  starting.path.keys = bench.state.path.keys;
  starting.path.fleet = bench.state.path.fleet;
  effects.clear();
  path_early(starting, bench.now, effects);
  REQUIRE(effects.size() == 1);
  CHECK(std::holds_alternative<OpenPipe>(effects.front()));
}

TEST_CASE("keys in quick turn: route and key of each request are of one version", "[carry]") {
  sim::Chance chance(7);
  KeyBench bench({{"a"}, {"b"}});
  Keys keys{{"a"}, {"b"}};
  for (int turn = 0; turn < 300; ++turn) {
    const auto key = std::string(1, static_cast<char>('a' + chance.below(4)));
    for (auto& list : keys) std::erase(list, key);
    if (chance.happens(0.7)) keys[chance.below(2)].push_back(key);
    bench.take(keys);
    for (const auto* asked : {"a", "b", "c", "d"}) {
      const auto owner = owner_of(keys, asked);
      CAPTURE(turn, asked);
      CHECK(bench.status("/seat/x", {{"x-key", asked}}) == (owner < 0 ? 401 : 0));
      if (owner >= 0) CHECK(value_of(bench.only<OpenPipe>(), "x-tenant") == "t" + std::to_string(owner));
      path_gone(bench.state, bench.next_request - 1, bench.now, bench.effects);
    }
  }
}

TEST_CASE("no log line, answer, message or figure tells a key", "[carry]") {
  const std::string key = "a-very-secret-key";
  KeyBench bench({{key}, {"k1"}});
  std::string told;
  const auto collect = [&] {
    for (const auto& effect : bench.effects) {
      if (const auto* line = std::get_if<Note>(&effect))
        for (const auto& [name, value] : line->fields) told += name + value;
      if (const auto* answer = std::get_if<Answer>(&effect)) {
        for (const auto& header : answer->headers) told += header.name + header.value;
        told += answer->body;
      }
      if (const auto* message = std::get_if<SendMessage>(&effect)) told += message->envelope.DebugString();
      if (const auto* pipe = std::get_if<OpenPipe>(&effect))
        for (const auto& header : pipe->headers) told += header.name + header.value;
    }
  };
  for (const auto* path : {"/seat/x", "/chat/x", "/none/x", "/open/x"})
    for (const auto& sent : {key, key + "x"}) {
      bench.ask(path, true, {{"x-key", sent}});
      collect();
      for (const auto& pipe : bench.all<OpenPipe>()) {
        bench.happen(PipeEnded{pipe.pipe, false, true, "reset"});
        collect();
      }
    }
  bench.effects.clear();
  path_report(bench.state, 1, "c", 1, bench.now, bench.effects);
  collect();
  told += data_metrics_text(bench.state, bench.now) + data_status_text(bench.state, bench.now);
  CHECK(told.size() > 1000);
  CHECK(told.find(key) == std::string::npos);
}
