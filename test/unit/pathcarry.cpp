#include <catch2/catch.hpp>

#include "core/forwarding/paths/path.hpp"
#include "platform/dialect.hpp"

using namespace weldsail;

namespace {

struct Bench {
  DataState state;
  Effects effects;
  Moment now = 10000;
  std::uint64_t next_request = 1;

  Bench() : state(make_data(options())) {
    state.document.emplace();
    configure(2);
    tell({worker("w1", "chat"), worker("w2", "chat"), worker("w3", "seat")}, 1);
  }

  static DataOptions options() {
    DataOptions options;
    options.member.locality = "z1";
    options.dialect = &platform_dialect();
    return options;
  }

  void configure(std::uint64_t revision, const std::string& extra = {}) {
    const std::string routes =
        R"([{"label":"a","host":"h","path_prefix":"/chat/","mode":"stream","deadline_ms":12000,"setpoint_ms":400,"precedence":1,"plant":"chat","trials":2,"pinned":true,"continue":true,"gap_setpoint_ms":300},)"
        R"({"label":"b","host":"h","path_prefix":"/note/","mode":"stream","deadline_ms":20000,"setpoint_ms":3000,"precedence":0,"plant":"chat","trials":2,"pinned":true,"continue":false,"gap_setpoint_ms":300},)"
        R"({"label":"c","host":"h","path_prefix":"/seat/","mode":"idempotent","deadline_ms":1500,"setpoint_ms":100,"precedence":2,"plant":"seat","trials":2})" +
        extra + "]";
    const std::string plants =
        R"([{"label":"chat","probe":"/p","conn_limit":300,"runtime":{"capacity":64,"cache_tokens":100000,"stride":6,"models":[{"label":"m1","weights_mb":70000,"load_s":2,"adapters":2,"adapter_mb":50}],"weights_mb":220000,"adapter_capacity":8,"loads_per_s":4}},{"label":"seat","probe":"/p","conn_limit":100}])";
    path_configure(
        state,
        R"({"revision":)" + std::to_string(revision) + R"(,"route_table":)" + routes + R"(,"plants":)" + plants + "}",
        now, effects);
    REQUIRE(state.path.config);
    REQUIRE(state.path.config->revision == revision);
  }

  static wire::WorkerEntry worker(const std::string& identity, const std::string& service, bool draining = false) {
    wire::WorkerEntry entry;
    entry.set_identity(identity);
    entry.set_service(service);
    entry.set_address(identity + ":80");
    entry.set_locality("z1");
    entry.set_slots(64);
    entry.set_draining(draining);
    if (service == "chat") entry.add_models()->set_name("m1");
    return entry;
  }

  void tell(const std::vector<wire::WorkerEntry>& workers, std::uint64_t version) {
    wire::Envelope envelope;
    envelope.mutable_fleet()->set_term(1);
    envelope.mutable_fleet()->set_version(version);
    for (const auto& entry : workers) *envelope.mutable_fleet()->add_workers() = entry;
    path_fleet(state, envelope, now, effects);
  }

  std::uint64_t ask(const std::string& path, bool model = true) {
    RequestArrived event;
    event.request = next_request++;
    event.method = "POST";
    event.path = event.target = path;
    event.authority = "h";
    event.headers = {{"x-trial-id", "t" + std::to_string(event.request)}, {"x-deadline-ms", "10000"}};
    if (model) event.headers.push_back({"x-model", "m1"});
    effects.clear();
    path_take(state, event, now, effects);
    return event.request;
  }

  template <typename Kind>
  std::vector<Kind> all() const {
    std::vector<Kind> found;
    for (const auto& effect : effects)
      if (const auto* item = std::get_if<Kind>(&effect)) found.push_back(*item);
    return found;
  }

  template <typename Kind>
  Kind only() const {
    const auto found = all<Kind>();
    REQUIRE(found.size() == 1);
    return found.front();
  }

  void happen(const Event& event) {
    effects.clear();
    path_pipe(state, event, now, effects);
  }

  void head(const OpenPipe& pipe, int status, const std::string& trial, std::vector<Header> more = {}) {
    more.push_back({"x-trial-id", trial});
    if (status == 200) more.push_back({"x-server-seal", "seal-" + std::to_string(pipe.pipe)});
    happen(PipeHead{pipe.pipe, status, std::move(more)});
  }
};

std::string value_of(const OpenPipe& pipe, const std::string& name) { return header_value(pipe.headers, name); }

}  // namespace

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
  bench.tell({Bench::worker("w3", "seat")}, 2);
  path_leave(bench.state, bench.now);
  bench.now += 2000;
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
