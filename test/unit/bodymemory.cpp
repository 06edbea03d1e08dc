// What the bodies of requests cost in memory, and what becomes of those for which there is none.
#include "unit/pathbench.hpp"
#include "unit/rawsocket.hpp"

using namespace weldsail;

namespace {

constexpr std::size_t body_bytes = 256U << 10U;
constexpr std::size_t bodies_that_fit = 4;

/// A server that has memory for four bodies, and what came to it.
struct Door {
  Loop loop;
  Server server{loop, limits()};
  std::string address = *server.listen("127.0.0.1:0");
  std::vector<RequestArrived> arrived;

  Door() {
    server.arrived.connect([this](const RequestArrived& request) { arrived.push_back(request); });
  }
  static ServerLimits limits() {
    ServerLimits limits;
    limits.held = bodies_that_fit * (body_bytes + 1024);
    return limits;
  }
  TransportFigures figures() const {
    TransportFigures figures;
    server.observe(figures);
    return figures;
  }
  /// Steps the loop until the callers have said all, or for a while.
  void turn() {
    for (int count = 0; count < 30; ++count) loop.step(1);
  }
  /// Answers and forgets all requests that have come.
  void answer_all() {
    for (const auto& request : arrived) server.answer({request.request, 200, {}, "ok"});
    arrived.clear();
  }
};

/// A caller that says its request in parts.
struct LongCaller {
  LongCaller(Door& to, bool in_chunks) : door(&to), socket(raw_caller(to.address)), chunked(in_chunks) {}
  void say_head() {
    socket->say(
        "POST /a HTTP/1.1\r\nhost: x\r\n" +
        (chunked ? std::string("transfer-encoding: chunked") : "content-length: " + std::to_string(body_bytes)) +
        "\r\n\r\n");
  }
  /// Says so much more of the body, while the server reads.
  void say(std::size_t bytes) {
    constexpr std::size_t part = 16U << 10U;
    for (std::size_t place = 0; place < bytes; place += part) {
      const std::string text(std::min(part, bytes - place), 'b');
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      socket->try_say(chunked ? size + text + "\r\n" : text);
      door->loop.step(1);
    }
  }
  void say_end() {
    if (chunked) socket->try_say("0\r\n\r\n");
  }
  bool refused() {
    socket->hear();
    return socket->got.starts_with("HTTP/1.1 503 ") && socket->got.find("retry-after: ") != std::string::npos;
  }
  bool served() {
    socket->hear();
    return socket->got.starts_with("HTTP/1.1 200 ");
  }
  Door* door;
  std::unique_ptr<RawSocket> socket;
  bool chunked;
};

}  // namespace

// Guards against Fault: a burst of long bodies took a data process over its machine's memory, and it was ended.
TEST_CASE("bodies that don't fit into the memory for requests are refused, and those in hand are served", "[carry]") {
  const bool chunked = GENERATE(false, true);
  Door door;
  std::vector<LongCaller> callers;
  for (std::size_t count = 0; count < 2 * bodies_that_fit; ++count) callers.emplace_back(door, chunked);
  for (auto& caller : callers) caller.say_head();
  // All of them at once, a part in turn, so that none is whole before the last has begun.
  for (std::size_t said = 0; said < body_bytes; said += body_bytes / 8) {
    for (auto& caller : callers) caller.say(body_bytes / 8);
    CHECK(door.figures().body_bytes <= Door::limits().held);
  }
  for (auto& caller : callers) caller.say_end();
  door.turn();
  const auto refused = std::ranges::count_if(callers, &LongCaller::refused);
  CHECK(door.figures().bodies_refused == static_cast<std::uint64_t>(refused));
  CHECK(door.arrived.size() + static_cast<std::size_t>(refused) == callers.size());
  // Unannounced bodies may all have begun before there is no room; each then refused leaves room for the others.
  CHECK(door.arrived.size() == bodies_that_fit);
  for (const auto& request : door.arrived) CHECK(request.body.size() == body_bytes);
  door.answer_all();
  CHECK(pump(door.loop, [&] {
    return std::ranges::count_if(callers, &LongCaller::served) == static_cast<std::ptrdiff_t>(bodies_that_fit);
  }));
  CHECK(door.figures().body_bytes == 0);
}

TEST_CASE("a connection that carries several requests has each of them counted, and room comes back", "[carry]") {
  Door door;
  LongCaller first(door, false);
  for (std::size_t count = 0; count < 3 * bodies_that_fit; ++count) {
    first.socket->got.clear();
    first.say_head();
    first.say(body_bytes / 2);
    CHECK(door.figures().body_bytes >= body_bytes);
    first.say(body_bytes / 2);
    REQUIRE(pump(door.loop, [&] { return !door.arrived.empty(); }));
    CHECK(door.figures().body_bytes == body_bytes);
    door.answer_all();
    REQUIRE(pump(door.loop, [&] { return first.served(); }));
    CHECK(door.figures().body_bytes == 0);
  }
  CHECK(door.figures().bodies_refused == 0);
}

TEST_CASE("a caller that leaves half-way gives its room back", "[carry]") {
  Door door;
  for (std::size_t count = 0; count < 3 * bodies_that_fit; ++count) {
    LongCaller caller(door, false);
    caller.say_head();
    caller.say(body_bytes / 2);
    CHECK(door.figures().body_bytes >= body_bytes);
    caller.socket.reset();
    CHECK(pump(door.loop, [&] { return door.figures().body_bytes == 0; }));
  }
  CHECK(door.figures().bodies_refused == 0);
}

TEST_CASE("a body that is longer than all memory for requests is refused for good", "[carry]") {
  Door door;
  const auto length = GENERATE(2 * Door::limits().held, std::size_t{1} << 40U);
  auto caller = raw_caller(door.address);
  caller->say("POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: " + std::to_string(length) + "\r\n\r\n");
  caller->say(std::string(8192, 'b'));
  CHECK(pump(door.loop, [&] {
    caller->hear();
    return caller->got.starts_with("HTTP/1.1 413 ");
  }));
  CHECK(door.figures().body_bytes == 0);
}

TEST_CASE("a small request is served while there is no memory for long ones", "[carry]") {
  Door door;
  std::vector<LongCaller> callers;
  for (std::size_t count = 0; count < bodies_that_fit; ++count) callers.emplace_back(door, false);
  for (auto& caller : callers) caller.say_head();
  for (auto& caller : callers) caller.say(body_bytes / 2);
  auto small = raw_caller(door.address);
  small->say("GET /a HTTP/1.1\r\nhost: x\r\n\r\n");
  REQUIRE(pump(door.loop, [&] { return door.arrived.size() == 1; }));
}

// Guards against Fault: each slow reader's unsent answer was bounded, but not all of them together.
TEST_CASE("the longest of many unread answers ends while they take too much memory, and the others go on", "[carry]") {
  Door door;
  std::vector<std::unique_ptr<RawSocket>> readers;
  for (std::size_t count = 0; count < 8; ++count) {
    readers.push_back(raw_caller(door.address));
    readers.back()->say("GET /a HTTP/1.1\r\nhost: x\r\n\r\n");
    REQUIRE(pump(door.loop, [&] { return door.arrived.size() == count + 1; }));
    door.server.head({door.arrived.back().request, 200, {}});
  }
  std::vector<std::uint64_t> gone;
  door.server.gone.connect([&](std::uint64_t request) { gone.push_back(request); });
  // Nobody reads: what the system doesn't take stays here.
  constexpr std::size_t part = 64U << 10U;
  for (int turn = 0; turn < 120 && gone.empty(); ++turn) {
    for (const auto& request : door.arrived) door.server.bytes({request.request, std::string(part, 'x')});
    door.turn();
    door.server.sweep(monotonic_now() + turn * 1000);
  }
  CHECK(gone.size() == 1);
}

// Guards against Fault: bodies were kept until the answer's end, also where they could be of no more use.
TEST_CASE("a body is let go once its request can't be sent to a worker any more", "[carry]") {
  unit::PathBench bench;
  const auto path = GENERATE(as<std::string>(), "/note/x", "/chat/x", "/seat/x");
  const bool not_run = GENERATE(false, true);
  auto bytes = std::make_shared<const std::string>(body_bytes, 'b');
  const std::weak_ptr<const std::string> body = bytes;
  RequestArrived event{bench.next_request, "POST", path, {}, Body(std::move(bytes)), path, "h"};
  event.headers = {{"x-trial-id", "t"}, {"x-deadline-ms", "10000"}};
  if (path != "/seat/x") event.headers.push_back({"x-model", "m1"});
  path_take(bench.state, event, bench.now, bench.effects);
  event.body = {};
  const auto pipe = bench.only<OpenPipe>().pipe;
  bench.effects.clear();
  REQUIRE_FALSE(body.expired());
  CHECK(body.use_count() == 1);
  std::vector<Header> headers{{"x-trial-id", "t"}, {"x-server-seal", "s"}};
  if (not_run) headers.push_back({"x-not-run", "1"});
  path_pipe(bench.state, PipeHead{pipe, not_run ? 503 : 200, headers}, bench.now, bench.effects);
  const bool repeatable = path != "/note/x";
  CHECK(body.expired() == (!repeatable && !not_run));
}

// Guards against Fault: four answers of 512 MB without the end of an event took a data process to 1,037 MB.
TEST_CASE("an event that doesn't end, and an answer in one piece, hold a bounded part of the memory", "[carry]") {
  unit::PathBench bench;
  bench.state.options.held_limit = 8U << 20U;
  const auto path = GENERATE(as<std::string>(), "/note/x", "/seat/x");
  std::vector<std::uint64_t> pipes;
  for (int count = 0; count < 6; ++count) {
    const auto request = bench.ask(path, path != "/seat/x");
    const auto pipe = bench.only<OpenPipe>();
    bench.head(pipe, 200, "t" + std::to_string(request));
    pipes.push_back(pipe.pipe);
  }
  std::size_t most = 0;
  for (int turn = 0; turn < 200; ++turn) {
    for (const auto pipe : pipes) bench.happen(PipeBytes{pipe, "data: " + std::string(64U << 10U, 'x')});
    std::size_t held = 0;
    for (const auto& [request, carry] : bench.state.path.carries)
      held += carry.answer.size() + carry.reader.buffer.size();
    most = std::max(most, held);
  }
  CHECK(most > bench.state.options.held_limit / 4);
  CHECK(most <= bench.state.options.held_limit / 2 + pipes.size() * (65U << 10U));
}
