#include <utility>

#include "unit/pathbench.hpp"
#include "unit/rawsocket.hpp"

using namespace weldsail;
using Bench = unit::PathBench;

namespace {

constexpr std::uint64_t none = 0;
const std::string get = "GET /a HTTP/1.1\r\nhost: x\r\n\r\n";

/// A server with one raw caller, and the last request that came.
struct Connection {
  Loop loop;
  Server server{loop, {}};
  std::string address = *server.listen("127.0.0.1:0");
  std::uint64_t last = none;
  std::unique_ptr<RawSocket> caller = raw_caller(address);

  Connection() {
    server.arrived.connect([this](const RequestArrived& request) { last = request.request; });
  }
  /// Says a request and waits until it has come.
  std::uint64_t ask() {
    last = none;
    caller->say(get);
    REQUIRE(pump(loop, [&] { return last != none; }));
    return last;
  }
  /// Asks once and takes the whole answer; then the connection rests.
  void use_once() {
    server.answer({ask(), 200, {}, "first"});
    REQUIRE(hears("first"));
    REQUIRE(pump(loop, [&] { return !server.writing(); }));
  }
  bool hears(const std::string& text) {
    return pump(loop, [&] {
      caller->hear();
      return caller->got.find(text) != std::string::npos;
    });
  }
  /// Steps the loop until the server has ended the connection.
  bool ends() {
    return pump(loop, [&] {
      caller->hear();
      return caller->ended;
    });
  }
  /// Steps the loop for a moment; true when the server has kept the connection.
  bool stays() {
    for (int turn = 0; turn < 50; ++turn) loop.step(1);
    caller->hear();
    return !caller->ended;
  }
};

}  // namespace

TEST_CASE("a leaving node takes no request that could outlast it, and says at once when to come back", "[carry]") {
  constexpr Moment first = 500;
  constexpr Moment rest = 500;
  Bench bench;
  const bool known = GENERATE(true, false);
  if (known) bench.answers_seen(first, rest);
  const auto path = GENERATE(as<std::string>(), "/note/x", "/chat/x");
  const auto begun = bench.now;
  path_leave(bench.state, begun);
  const auto grace = bench.state.options.limits.grace;
  const auto longest = (first + rest) * 5 / 4;
  const auto estimates_until = bench.state.path.estimates_until;
  std::size_t taken = 0;
  for (; bench.now < begun + grace; bench.now += grace / 48) {
    bench.ask(path);
    const bool fits = known && bench.now < estimates_until && bench.now + longest <= bench.state.leave_due;
    CHECK(bench.all<OpenPipe>().size() == (fits ? 1 : 0));
    if (fits) ++taken;
    if (fits) continue;
    CHECK(bench.only<Answer>().status == 503);
    const auto back = std::stod(header_value(bench.only<Answer>().headers, "retry-after"));
    CHECK((back > 0 && back <= 1));
  }
  CHECK((taken > 12) == known);
  CHECK(estimates_until < begun + bench.state.options.limits.owed_after);
}

TEST_CASE("a leaving node still takes what must be answered before its end", "[carry]") {
  Bench bench;
  path_leave(bench.state, bench.now);
  bench.now = bench.state.leave_due - 1500;
  bench.ask("/seat/x", false);
  CHECK(bench.all<OpenPipe>().size() == 1);
  ++bench.now;
  bench.ask("/seat/y", false);
  CHECK(bench.all<OpenPipe>().empty());
  CHECK(bench.only<Answer>().status == 503);
}

TEST_CASE("a leaving node lets no answer keep its connection, and ends those that rest before it stops taking work",
          "[carry]") {
  Bench bench;
  const auto begun = bench.now;
  bench.effects = reduce(bench.state, Leaving{}, begun);
  CHECK(bench.all<CloseAfterAnswers>().size() == 1);
  CHECK(bench.all<CloseResting>().empty());
  CHECK_FALSE(path_ready(bench.state, begun));
  std::size_t closed = 0;
  for (bench.now = begun; bench.now < begun + bench.state.options.limits.grace / 3; bench.now += 50) {
    bench.effects.clear();
    CHECK_FALSE(path_may_depart(bench.state, bench.now, bench.effects));
    closed += bench.all<CloseResting>().size();
    if (bench.now < begun + bench.state.options.limits.grace / 8) CHECK(closed == 0);
  }
  CHECK(closed == 1);
}

TEST_CASE("a leaving node has time left to write its answers out, and not more than its grace") {
  Bench bench;
  const auto begun = bench.now;
  reduce(bench.state, Leaving{}, begun);
  bench.ask("/note/x");
  bench.now = bench.state.leave_due;
  bench.effects = reduce(bench.state, Ticked{1}, bench.now);
  const auto write_time = bench.only<Depart>().write_time;
  CHECK(write_time >= 200);
  CHECK(bench.now + write_time < begun + bench.state.options.limits.grace);
}

TEST_CASE("a server that ends connections after answers says so, and ends those of answers already begun") {
  Connection connection;
  const auto number = connection.ask();
  if (GENERATE(true, false)) {
    connection.server.close_after_answers();
    connection.server.answer({number, 200, {}, "whole"});
    REQUIRE(connection.hears("whole"));
    CHECK(connection.hears("Connection: close\r\n"));
  } else {
    connection.server.head({number, 200, {}});
    connection.server.bytes({number, "part"});
    REQUIRE(connection.hears("part"));
    CHECK(connection.hears("Connection: keep-alive\r\n"));
    connection.server.close_after_answers();
    connection.server.bytes({number, "rest"});
    connection.server.end({number, true});
    CHECK(connection.hears("rest\r\n0\r\n\r\n"));
  }
  REQUIRE(connection.ends());
  CHECK_FALSE(connection.caller->reset);
}

TEST_CASE("a resting connection is ended in order, one in use or not yet used is kept") {
  Connection connection;
  SECTION("resting") {
    connection.use_once();
    connection.server.close_resting();
    REQUIRE(connection.ends());
    CHECK_FALSE(connection.caller->reset);
    CHECK(pump(connection.loop, [&] { return connection.server.open_pipes() == 0; }));
  }
  SECTION("not yet used") {
    REQUIRE(pump(connection.loop, [&] { return connection.server.open_pipes() == 1; }));
    connection.server.close_resting();
    CHECK(connection.stays());
    connection.ask();
  }
  SECTION("with a request in hand") {
    const auto number = connection.ask();
    connection.server.close_resting();
    CHECK(connection.stays());
    connection.server.answer({number, 200, {}, "whole"});
    CHECK(connection.hears("whole"));
  }
  SECTION("with a part of a request") {
    connection.use_once();
    const auto half = get.size() / 2;
    connection.caller->say(get.substr(0, half));
    if (GENERATE(true, false)) CHECK(connection.stays());
    connection.server.close_resting();
    CHECK(connection.stays());
    connection.last = none;
    connection.caller->say(get.substr(half));
    CHECK(pump(connection.loop, [&] { return connection.last != none; }));
  }
}

TEST_CASE("a request that crosses the end of its connection is never told") {
  Connection connection;
  connection.use_once();
  connection.last = none;
  connection.server.close_resting();
  connection.caller->try_say(get);
  REQUIRE(connection.ends());
  for (int turn = 0; turn < 20; ++turn) connection.loop.step(1);
  CHECK(connection.last == none);
}

TEST_CASE("a server knows that an answer is still being written") {
  Connection connection;
  const auto number = connection.ask();
  CHECK_FALSE(connection.server.writing());
  connection.server.answer({number, 200, {}, std::string(16U << 20U, 'x')});
  CHECK(connection.server.writing());
  CHECK(pump(connection.loop, [&] {
    connection.caller->hear();
    return !connection.server.writing();
  }));
}

TEST_CASE("a server knows that a request is half here, and answers it when it is whole") {
  Connection connection;
  for (int turn = 0; turn < 20; ++turn) connection.loop.step(1);
  // A connection on which nothing has come keeps nobody.
  CHECK_FALSE(connection.server.receiving());
  connection.use_once();
  CHECK_FALSE(connection.server.receiving());
  connection.last = none;
  connection.caller->say("POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\n12345");
  REQUIRE(pump(connection.loop, [&] { return connection.server.receiving(); }));
  connection.server.close_after_answers();
  connection.server.close_resting();
  CHECK(connection.stays());
  CHECK(connection.last == none);
  connection.caller->say("67890");
  REQUIRE(pump(connection.loop, [&] { return connection.last != none; }));
  CHECK_FALSE(connection.server.receiving());
  connection.server.answer({connection.last, 503, {}, {}, true});
  CHECK(connection.hears("HTTP/1.1 503"));
  CHECK(connection.ends());
}

TEST_CASE("a second request to leave changes nothing, and who waits for a first configuration is answered", "[carry]") {
  Bench bench;
  bench.state.path.config.reset();
  const auto begun = bench.now;
  const auto held = bench.ask("/note/x");
  CHECK(bench.all<Answer>().empty());
  reduce(bench.state, Leaving{}, begun);
  const auto due = bench.state.leave_due;
  bool answered = false;
  for (bool departed = false; !departed; bench.now += 50) {
    REQUIRE(bench.now < begun + bench.state.options.limits.grace);
    CHECK(reduce(bench.state, Leaving{}, bench.now).empty());
    bench.effects = reduce(bench.state, Ticked{1}, bench.now);
    for (const auto& answer : bench.all<Answer>()) answered = answered || answer.request == held;
    departed = !bench.all<Depart>().empty();
    CHECK((!departed || answered));
  }
  CHECK(bench.state.leave_due == due);
}
