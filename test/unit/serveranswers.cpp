#include <sys/resource.h>

#include <utility>

#include "unit/rawsocket.hpp"

using namespace weldsail;

namespace {

constexpr std::uint64_t none = 0;

/// A server, one raw caller of it, and the last request that came.
struct Talk {
  Loop loop;
  Server server{loop, {}};
  std::string first = *server.listen("127.0.0.1:0");
  std::string second = *server.listen("127.0.0.1:0", 7);
  RequestArrived last{none, {}, {}, {}, {}};
  std::vector<std::uint64_t> gone;
  std::unique_ptr<RawSocket> caller = raw_caller(first);
  Talk() {
    server.arrived.connect([this](const RequestArrived& request) { last = request; });
    server.gone.connect([this](std::uint64_t number) { gone.push_back(number); });
  }
  /// Says a request and waits until it has come.
  std::uint64_t ask(const std::string& text) {
    last.request = none;
    caller->say(text);
    REQUIRE(pump(loop, [&] { return last.request != none; }));
    return last.request;
  }
  bool hears(const std::string& end) {
    return pump(loop, [&] {
      caller->hear();
      return caller->got.ends_with(end);
    });
  }
  bool ends() {
    return pump(loop, [&] {
      caller->hear();
      return caller->ended;
    });
  }
  bool heard(const std::string& text) const { return caller->got.find(text) != std::string::npos; }
};

const std::string get = "GET /a HTTP/1.1\r\nhost: x\r\n\r\n";

}  // namespace

TEST_CASE("a request tells its target, its Host and the door it came through") {
  Talk talk;
  talk.ask("GET /a/b%20c?d=1&e HTTP/1.1\r\nHost: Ab.Example:81\r\n\r\n");
  CHECK(talk.last.path == "/a/b%20c");
  CHECK(talk.last.target == "/a/b%20c?d=1&e");
  CHECK(talk.last.authority == "Ab.Example:81");
  CHECK(talk.last.door == 0);
  talk.caller = raw_caller(talk.second);
  talk.ask("POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\nhi");
  CHECK(talk.last.body == "hi");
  CHECK(talk.last.authority.empty());
  CHECK(talk.last.door == 7);
}

// Guards against a connection in use that is closed as though its request came too slowly (incident 45, LOST).
TEST_CASE("a kept connection stays open though all its requests are answered between two sweeps") {
  Talk talk;
  const auto begun = monotonic_now();
  constexpr Moment pause = 250;
  constexpr Moment lasts = 120000;
  for (Moment passed = 0; passed < lasts; passed += pause) {
    talk.caller->got.clear();
    talk.server.answer({talk.ask(get), 200, {}, "four"});
    REQUIRE(talk.hears("four"));
    // Until the answer has been written out.
    talk.loop.step(1);
    talk.server.sweep(begun + passed);
    talk.caller->hear();
    CAPTURE(passed);
    REQUIRE_FALSE(talk.caller->ended);
  }
  // One that rests, or whose next request doesn't become whole, is closed as ever.
  const bool half = GENERATE(false, true);
  if (half) talk.caller->say("GET /a HT");
  if (half) talk.loop.step(1);
  talk.server.sweep(begun + lasts + pause);
  talk.server.sweep(begun + lasts + (half ? 31000 : 61000));
  CHECK(talk.ends());
}

TEST_CASE("an answer keeps its headers, and its framing is the server's own") {
  Talk talk;
  const std::vector<Header> headers{{"x-stamp", "1"},        {"content-length", "99"},
                                    {"x-stamp", "2"},        {"transfer-encoding", "gzip"},
                                    {"connection", "close"}, {"content-type", "a/b"}};
  talk.server.answer({talk.ask(get), 418, headers, "four"});
  REQUIRE(talk.hears("four"));
  CHECK(talk.caller->got.starts_with("HTTP/1.1 418 "));
  CHECK(talk.heard("x-stamp: 1\r\nx-stamp: 2\r\ncontent-type: a/b\r\n"));
  CHECK(talk.heard("Content-Length: 4\r\n"));
  CHECK_FALSE(talk.heard("99"));
  CHECK_FALSE(talk.heard("gzip"));
  CHECK_FALSE(talk.heard("close"));
  talk.caller->got.clear();
  talk.server.answer({talk.ask("HEAD /a HTTP/1.1\r\nhost: x\r\n\r\n"), 200, {}, "four"});
  REQUIRE(talk.hears("\r\n\r\n"));
  CHECK(talk.heard("Content-Length: 4\r\n"));
  talk.caller->got.clear();
  talk.server.answer({talk.ask(get), 204, {}, {}});
  REQUIRE(talk.hears("\r\n\r\n"));
  CHECK_FALSE(talk.heard("Content-Length"));
  talk.caller->got.clear();
  talk.server.answer({talk.ask(get), 200, {}, "last", true});
  REQUIRE(talk.ends());
  CHECK(talk.heard("Connection: close\r\n"));
  CHECK(talk.caller->got.ends_with("last"));
}

TEST_CASE("a begun answer goes in chunks whatever its status, or by its length") {
  Talk talk;
  for (const int status : {200, 201, 500}) {
    talk.caller->got.clear();
    const auto number = talk.ask(get);
    talk.server.head({number, status, {}});
    talk.server.bytes({number, "first"});
    REQUIRE(talk.hears("5\r\nfirst\r\n"));
    talk.server.bytes({number, "more"});
    talk.server.end({number, true});
    REQUIRE(talk.hears("0\r\n\r\n"));
    CHECK(talk.caller->got.starts_with("HTTP/1.1 " + std::to_string(status)));
    CHECK(talk.heard("transfer-encoding: chunked\r\n"));
    CHECK(talk.heard("4\r\nmore\r\n"));
    CHECK(talk.heard("Connection: keep-alive\r\n"));
  }
  talk.caller->got.clear();
  const auto number = talk.ask(get);
  talk.server.head({number, 200, {}, 6});
  talk.server.bytes({number, "abc"});
  talk.server.bytes({number, "def and too much"});
  talk.server.end({number, true});
  REQUIRE(talk.hears("abcdef"));
  CHECK(talk.heard("Content-Length: 6\r\n"));
  talk.server.answer({talk.ask(get), 200, {}, "next"});
  REQUIRE(talk.hears("next"));
  CHECK_FALSE(talk.heard("too much"));
}

TEST_CASE("an answer that ends not whole can never be taken for a whole one") {
  Talk talk;
  SECTION("in chunks") {
    const auto number = talk.ask(get);
    talk.server.head({number, 200, {}});
    talk.server.bytes({number, "first"});
    REQUIRE(talk.hears("first\r\n"));
    talk.server.end({number, false});
    REQUIRE(talk.ends());
    // Anything after the last whole chunk would be no answer in the protocol.
    CHECK(talk.caller->got.ends_with("5\r\nfirst\r\n"));
  }
  SECTION("in chunks, with bytes that haven't left yet") {
    const auto number = talk.ask(get);
    talk.server.head({number, 200, {}});
    talk.server.bytes({number, "first"});
    talk.server.bytes({number, "second"});
    talk.server.end({number, false});
    REQUIRE(talk.ends());
    CHECK(talk.caller->got.ends_with("6\r\nsecond\r\n"));
  }
  SECTION("with a length") {
    const auto number = talk.ask(get);
    talk.server.head({number, 200, {}, 10});
    talk.server.bytes({number, "first"});
    const bool said_whole = GENERATE(false, true);
    talk.server.end({number, said_whole});
    REQUIRE(talk.ends());
    CHECK(talk.heard("Content-Length: 10\r\n"));
    CHECK(talk.caller->got.ends_with("first"));
  }
  SECTION("with an empty body") {
    const auto number = talk.ask(get);
    talk.server.head({number, 200, {}, 0});
    talk.server.end({number, false});
    REQUIRE(talk.ends());
    CHECK(talk.caller->got.empty());
  }
  SECTION("before its head") {
    talk.server.end({talk.ask(get), false});
    REQUIRE(talk.ends());
    CHECK(talk.caller->got.empty());
  }
  SECTION("for a caller that knows no chunks") {
    const auto number = talk.ask("GET /a HTTP/1.0\r\nconnection: keep-alive\r\n\r\n");
    talk.server.head({number, 200, {}});
    talk.server.bytes({number, "first"});
    REQUIRE(talk.hears("first"));
    CHECK(talk.heard("Connection: close\r\n"));
    talk.server.end({number, false});
    REQUIRE(talk.ends());
    CHECK(talk.caller->reset);
  }
}

TEST_CASE("a caller who has gone is told of within a sweep's pause") {
  Talk talk;
  const auto number = talk.ask(get);
  talk.caller.reset();
  REQUIRE(pump(talk.loop, [&] {
    talk.server.sweep(monotonic_now());
    return !talk.gone.empty();
  }));
  CHECK(talk.gone == std::vector<std::uint64_t>{number});
  REQUIRE(pump(talk.loop, [&] { return talk.server.open_pipes() == 0; }));
}

TEST_CASE("without a descriptor left a server waits, and takes who has waited when there is one again") {
  Talk talk;
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  const int next = dup(0);
  close(next);
  const rlimit none_left{static_cast<rlim_t>(next), before.rlim_max};
  setrlimit(RLIMIT_NOFILE, &none_left);
  int turns = 0;
  for (const auto end = monotonic_now() + 100; monotonic_now() < end; ++turns) talk.loop.step(50);
  setrlimit(RLIMIT_NOFILE, &before);
  CHECK(turns < 10);
  CHECK(talk.server.open_pipes() == 0);
  talk.caller->say(get);
  CHECK(pump(talk.loop, [&] {
    talk.server.sweep(monotonic_now());
    return talk.last.request != none;
  }));
}
