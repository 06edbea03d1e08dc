#include "shell/ask.hpp"
#include "unit/answerscripts.hpp"
#include "unit/rawsocket.hpp"
#include "unit/referenceresponse.hpp"

using namespace weldsail;
using End = ReferenceResponse::End;

namespace {

constexpr std::uint64_t seeds = 4;
constexpr int exchanges_per_seed = 1000;
constexpr std::size_t under_way_most = 6;

/// What a worker will say to one request, and what the client must make of it.
struct Script {
  std::string text;
  bool closes = false;
  bool resets = false;
  bool head_request = false;
  ReferenceResponse expected;
};

/// A worker on raw sockets that plays scripts, byte by byte or at once, and many requests to it under way.
class Playground {
 public:
  explicit Playground(std::uint64_t seed) : chance_(seed) {
    auto place = *read_address("127.0.0.1:0");
    socklen_t size = sizeof(place);
    REQUIRE(bind(listener_, reinterpret_cast<const sockaddr*>(&place), size) == 0);
    REQUIRE(listen(listener_, 64) == 0);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&place), &size);
    address_ = "127.0.0.1:" + std::to_string(ntohs(place.sin_port));
    client.told.connect([this](const Event& event) { take(event); });
  }
  Playground(const Playground&) = delete;
  Playground& operator=(const Playground&) = delete;
  ~Playground() {
    for (auto& connection : connections_) close(connection.descriptor);
    close(listener_);
  }

  void run(int count) {
    while (finished < count) {
      while (opened_ < count && client.open_pipes() < under_way_most) open();
      serve();
      loop_.step(0);
      client.sweep(monotonic_now());
      most_idle = std::max(most_idle, client.idle_connections());
    }
  }

  Loop loop_;
  Client client{loop_};
  int finished = 0;
  int whole = 0;
  int reused = 0;
  std::size_t most_idle = 0;

 private:
  struct Connection {
    int descriptor;
    std::string got;
    std::string unsaid;
    int request = 0;
    bool used = false;
    /// No further request may come on it.
    bool spent = false;
    bool ended = false;
  };

  void open() {
    const int number = ++opened_;
    auto& script = scripts_[number];
    script.head_request = chance_.happens(0.05);
    script.text = any_answer("answer-" + std::to_string(number) + "!", chance_);
    script.closes = chance_.happens(0.2);
    script.resets = script.closes && chance_.happens(0.3);
    script.expected = ReferenceReader(script.text, script.head_request).read();
    const bool fresh = chance_.happens(0.2);
    client.open({static_cast<std::uint64_t>(number),
                 address_,
                 script.head_request ? "HEAD" : "POST",
                 "/" + std::to_string(number),
                 {},
                 {},
                 fresh,
                 monotonic_now() + 20000});
  }

  void serve() {
    for (int got = 0; (got = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0;)
      connections_.push_back({got, {}, {}, 0, false, false, false});
    for (auto& connection : connections_) {
      hear(connection);
      if (!connection.ended && connection.request != 0) say(connection);
    }
    std::erase_if(connections_, [](const Connection& item) {
      if (item.ended) close(item.descriptor);
      return item.ended;
    });
  }

  void hear(Connection& connection) {
    char part[4096];
    const auto count = recv(connection.descriptor, part, sizeof(part), MSG_DONTWAIT);
    if (count == 0 || (count < 0 && errno != EAGAIN)) connection.ended = true;
    if (count <= 0) return;
    connection.got.append(part, static_cast<std::size_t>(count));
    if (!connection.got.ends_with("\r\n\r\n")) return;
    CHECK_FALSE(connection.spent);
    CHECK(connection.request == 0);
    if (std::exchange(connection.used, true)) ++reused;
    connection.request = std::stoi(connection.got.substr(connection.got.find('/') + 1));
    connection.got.clear();
    connection.unsaid = scripts_.at(connection.request).text;
  }

  void say(Connection& connection) {
    const auto& script = scripts_.at(connection.request);
    auto count = std::min<std::size_t>(connection.unsaid.size(), 1 + chance_.below(chance_.happens(0.7) ? 2000 : 12));
    // What comes later than the end of the answer may meet the next request, and is known by its id alone.
    const bool ends = script.expected.end == End::whole && connection.unsaid.size() - count <= script.expected.surplus;
    if (ends) count = connection.unsaid.size();
    send(connection.descriptor, connection.unsaid.data(), count, MSG_NOSIGNAL);
    connection.unsaid.erase(0, count);
    if (!connection.unsaid.empty()) return;
    const auto& expected = script.expected;
    connection.request = 0;
    connection.spent = expected.end != End::whole || expected.surplus > 0 || !expected.keep_alive;
    // What is incomplete can't end but by a close.
    if (!script.closes && expected.end != End::incomplete) return;
    if (script.resets) {
      const linger now{1, 0};
      setsockopt(connection.descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    connection.ended = true;
  }

  void take(const Event& event) {
    if (const auto* head = std::get_if<PipeHead>(&event)) {
      CHECK(replies_[head->pipe].status == 0);
      bool ended = false;
      reply_take(replies_[head->pipe], event, ended);
    } else if (const auto* bytes = std::get_if<PipeBytes>(&event)) {
      replies_[bytes->pipe].body += bytes->bytes;
    } else if (const auto* end = std::get_if<PipeEnded>(&event)) {
      check(scripts_.at(static_cast<int>(end->pipe)), replies_[end->pipe], *end);
      replies_.erase(end->pipe);
      ++finished;
    }
  }

  void check(const Script& script, const Reply& reply, const PipeEnded& end) {
    const auto& expected = script.expected;
    CAPTURE(script.text, script.closes, script.resets, script.head_request, end.reason, reply.body);
    CHECK(end.sent);
    // A reset may overtake bytes that were said before it.
    const bool overtaken = script.resets && !end.whole;
    if (!overtaken) CHECK(end.whole == (expected.end == End::whole));
    if (end.whole) {
      ++whole;
      CHECK(expected.end == End::whole);
      CHECK(reply.body == expected.body);
      CHECK(reply.status == expected.status);
    }
    CHECK(expected.body.starts_with(reply.body));
    CHECK((reply.status == 0 || reply.status == expected.status));
  }

  sim::Chance chance_;
  int listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  std::string address_;
  std::vector<Connection> connections_;
  std::map<int, Script> scripts_;
  std::map<std::uint64_t, Reply> replies_;
  int opened_ = 0;
};

}  // namespace

TEST_CASE("every request gets the answer that its connection gave to it, or none", "[fuzz.answers]") {
  Playground playground(GENERATE(range<std::uint64_t>(1, 1 + seeds)));
  playground.run(exchanges_per_seed);
  CHECK(playground.whole > exchanges_per_seed / 5);
  CHECK(playground.reused > exchanges_per_seed / 20);
  CHECK(playground.most_idle <= under_way_most);
  CHECK(playground.client.open_pipes() == 0);
}
