#include "shell/ask.hpp"
#include "unit/rawsocket.hpp"

using namespace weldsail;

namespace {

/// A raw worker that answers each request with the given bytes, and a client.
struct Exchanges {
  Loop loop;
  Client client{loop};
  std::string address;
  int listener;
  std::vector<std::unique_ptr<RawSocket>> connections;
  std::uint64_t next = 1;

  Exchanges() : listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
    auto place = *read_address("127.0.0.1:0");
    socklen_t size = sizeof(place);
    REQUIRE(bind(listener, reinterpret_cast<const sockaddr*>(&place), size) == 0);
    REQUIRE(listen(listener, 16) == 0);
    getsockname(listener, reinterpret_cast<sockaddr*>(&place), &size);
    address = "127.0.0.1:" + std::to_string(ntohs(place.sin_port));
  }
  Exchanges(const Exchanges&) = delete;
  Exchanges& operator=(const Exchanges&) = delete;
  ~Exchanges() { close(listener); }

  /// The connection on which a whole request has come.
  RawSocket* asked() {
    const int got = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (got >= 0) connections.push_back(std::make_unique<RawSocket>(got));
    RawSocket* found = nullptr;
    for (const auto& connection : connections) {
      connection->hear();
      if (connection->got.ends_with("\r\n\r\n")) found = connection.get();
    }
    return found;
  }

  /// One exchange: what the client tells when the worker says `text` and then, perhaps, closes.
  Reply run(const std::string& text, bool closes, const std::string& method = "GET") {
    Reply reply;
    bool ended = false;
    auto told = client.told.connect([&](const Event& event) { reply_take(reply, event, ended); });
    client.open({next++, address, method, "/", {}, {}, false, monotonic_now() + 10000});
    REQUIRE(pump(loop, [&] {
      if (auto* connection = asked()) {
        connection->got.clear();
        connection->say(text);
        if (closes) std::erase_if(connections, [&](const auto& item) { return item.get() == connection; });
      }
      return ended;
    }));
    told.disconnect();
    return reply;
  }
};

const std::string line = "HTTP/1.1 200 OK\r\n";
const std::string chunked = line + "transfer-encoding: chunked\r\n\r\n";
const std::string good = line + "content-length: 2\r\n\r\nok";

}  // namespace

TEST_CASE("a malformed answer is a breakdown at once, whichever rule it breaks", "[hardening.right_answer]") {
  const std::vector<std::string> malformed{
      // Each of these, on a connection that could be kept, ended the process while h2o's client read answers.
      line + "transfer-encoding: gzip\r\n\r\n",
      line + "transfer-encoding: \r\n\r\n",
      line + "transfer-encoding: identity\r\ncontent-length: 2\r\n\r\nok",
      line + "transfer-encoding: chunked, chunked\r\n\r\n",
      line + "content-length: x\r\n\r\n",
      line + "content-length: -1\r\n\r\n",
      line + "content-length: \r\n\r\n",
      line + "content-length: 2, 2\r\n\r\nok",
      line + "content-length: 99999999999999999999999\r\n\r\n",
      // Two tellings of one body's end.
      line + "content-length: 2\r\ncontent-length: 2\r\n\r\nok",
      line + "content-length: 2\r\ncontent-length: 3\r\n\r\nok",
      line + "content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
      line + "transfer-encoding: chunked\r\ncontent-length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
      line + "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
      // Heads.
      "granted\r\n\r\n",
      "granted",
      "HTTP/2.0 200 OK\r\ncontent-length: 2\r\n\r\nok",
      "HTTP/1.1 20 OK\r\ncontent-length: 2\r\n\r\nok",
      "HTTP/1.1  200 OK\r\ncontent-length: 2\r\n\r\nok",
      "HTTP/1.1 0200 OK\r\ncontent-length: 2\r\n\r\nok",
      "HTTP/1.1 2000 OK\r\ncontent-length: 2\r\n\r\nok",
      "HTTP/1.1 -20 OK\r\ncontent-length: 2\r\n\r\nok",
      "\r\n" + good,
      "HTTP/1.1 200 OK\ncontent-length: 2\n\nok",
      line + "content-length: 2\n\r\nok",
      line + "content-length: 2\r\r\n\r\nok",
      line + "content-length : 2\r\n\r\nok",
      line + "a b: c\r\ncontent-length: 2\r\n\r\nok",
      line + "no colon\r\ncontent-length: 2\r\n\r\nok",
      line + ": no name\r\ncontent-length: 2\r\n\r\nok",
      line + "x: a\r\n b\r\ncontent-length: 2\r\n\r\nok",
      line + std::string("x: a\0b\r\n", 8) + "content-length: 2\r\n\r\nok",
      line + "x: \001b\r\ncontent-length: 2\r\n\r\nok",
      line + "x: " + std::string(70000, 'x'),
      // Chunks.
      chunked + "-2\r\nok\r\n0\r\n\r\n",
      chunked + "0x2\r\nok\r\n0\r\n\r\n",
      chunked + "2\nok\r\n0\r\n\r\n",
      chunked + "2\r\nokay\r\n0\r\n\r\n",
      chunked + "2\r\nok\n0\r\n\r\n",
      chunked + "ffffffffffffffffff\r\nok\r\n0\r\n\r\n",
      chunked + "2 2\r\nok\r\n0\r\n\r\n",
      chunked + "\r\n",
      chunked + "2;" + std::string(5000, 'x'),
      chunked + "0\r\n" + std::string(5000, 'x'),
  };
  Exchanges exchanges;
  for (const auto& text : malformed) {
    CAPTURE(text.substr(0, 200));
    const auto reply = exchanges.run(text, false);
    CHECK_FALSE(reply.whole);
    CHECK(reply.sent);
    CHECK_FALSE(reply.reason.empty());
    CHECK(exchanges.client.idle_connections() == 0);
    // The next request finds a connection of its own, and its own answer.
    const auto next = exchanges.run(good, true);
    CHECK((next.whole && next.body == "ok"));
  }
}

TEST_CASE("odd but sound answers are read as what they are", "[hardening.right_answer]") {
  Exchanges exchanges;
  const std::vector<std::string> sound{
      good,
      "HTTP/1.1 200\r\ncontent-length: 2\r\n\r\nok",
      "HTTP/1.0 200 OK\r\nContent-Length:2  \r\n\r\nok",
      line + "Transfer-Encoding: Chunked\r\n\r\n1\r\no\r\n1;a=\"b\"\r\nk\r\n0\r\nx: y\r\n\r\n",
      chunked + "00000002 ;x\r\nok\r\n000\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nlink: a\r\n\r\n" + good,
  };
  for (const auto& text : sound) {
    CAPTURE(text);
    const auto reply = exchanges.run(text, false);
    CHECK(reply.whole);
    CHECK(reply.status == 200);
    CHECK(reply.body == "ok");
  }
}

TEST_CASE("what comes on a resting connection drops it", "[hardening.right_answer]") {
  Exchanges exchanges;
  REQUIRE(exchanges.run(good, false).whole);
  REQUIRE(exchanges.client.idle_connections() == 1);
  auto& resting = exchanges.connections.back();
  const bool seen_by_loop = GENERATE(true, false);
  SECTION("an answer too many") { resting->say(good); }
  SECTION("a byte") { resting->say("x"); }
  SECTION("its end") { exchanges.connections.clear(); }
  if (seen_by_loop) REQUIRE(pump(exchanges.loop, [&] { return exchanges.client.idle_connections() == 0; }));
  const auto reply = exchanges.run(line + "content-length: 4\r\n\r\nnext", false);
  CHECK((reply.whole && reply.body == "next"));
  CHECK(exchanges.client.idle_connections() == 1);
}
