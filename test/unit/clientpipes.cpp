#include "shell/ask.hpp"
#include "tools/realfleet.hpp"
#include "unit/rawsocket.hpp"

using namespace weldsail;

namespace {

/// A raw worker, and a client with what its pipes told.
struct Work {
  Loop loop;
  Client client{loop};
  std::string address;
  int listener;
  std::vector<std::unique_ptr<RawSocket>> pipes;
  std::uint64_t next = 1;
  Reply reply;
  bool ended = false;
  explicit Work(int backlog = 16) : listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
    auto place = *read_address("127.0.0.1:0");
    socklen_t size = sizeof(place);
    REQUIRE(bind(listener, reinterpret_cast<const sockaddr*>(&place), size) == 0);
    REQUIRE(listen(listener, backlog) == 0);
    getsockname(listener, reinterpret_cast<sockaddr*>(&place), &size);
    address = "127.0.0.1:" + std::to_string(ntohs(place.sin_port));
    client.told.connect([this](const Event& event) { reply_take(reply, event, ended); });
  }
  Work(const Work&) = delete;
  Work& operator=(const Work&) = delete;
  ~Work() { close(listener); }
  void open(const std::string& method = "GET", const std::vector<Header>& headers = {}, Moment connect_due = 0) {
    reply = {};
    ended = false;
    client.open({next++, address, method, "/a", headers, {}, false, monotonic_now() + 10000, connect_due});
  }
  void serve() {
    const int got = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (got >= 0) pipes.push_back(std::make_unique<RawSocket>(got));
    for (const auto& pipe : pipes) pipe->hear();
  }
  /// The connection on which the next whole request has come.
  RawSocket& asked() {
    RawSocket* found = nullptr;
    REQUIRE(pump(loop, [&] {
      serve();
      for (const auto& pipe : pipes)
        if (pipe->got.ends_with("\r\n\r\n")) found = pipe.get();
      return found != nullptr;
    }));
    request = std::exchange(found->got, {});
    return *found;
  }
  /// Answers the next request and waits for the pipe's end.
  void answered(const std::string& text, bool close = false) {
    auto& pipe = asked();
    pipe.say(text);
    if (close) std::erase_if(pipes, [&](const auto& item) { return item.get() == &pipe; });
    finished();
  }
  void finished() {
    REQUIRE(pump(loop, [&] {
      client.sweep(monotonic_now());
      return ended;
    }));
  }
  void pass(Moment time) {
    const auto end = monotonic_now() + time;
    pump(loop, [&] {
      serve();
      client.sweep(monotonic_now());
      return monotonic_now() >= end;
    });
  }
  std::string request;
};

const std::string good = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

}  // namespace

TEST_CASE("a request has the Host that is given, and no length without a body") {
  Work work;
  work.open("GET", {{"host", "some.example"}, {"content-length", "7"}, {"x-a", "b"}});
  work.answered(good);
  CHECK(work.request == "GET /a HTTP/1.1\r\nhost: some.example\r\nx-a: b\r\n\r\n");
  CHECK((work.reply.whole && work.reply.body == "ok"));
  work.open("POST");
  work.answered(good);
  CHECK(work.request == "POST /a HTTP/1.1\r\nhost: " + work.address + "\r\ncontent-length: 0\r\n\r\n");
  CHECK(work.pipes.size() == 1);
}

TEST_CASE("a pipe that isn't connected in its time ends unsent") {
  Work work(0);
  std::vector<std::unique_ptr<RawSocket>> fill;
  const auto place = read_address(work.address);
  for (int turn = 0; turn < 4; ++turn) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    connect(descriptor, reinterpret_cast<const sockaddr*>(&*place), sizeof(*place));
    fill.push_back(std::make_unique<RawSocket>(descriptor));
  }
  work.open("GET", {}, monotonic_now() + 100);
  work.finished();
  CHECK_FALSE(work.reply.sent);
  CHECK(work.reply.reason == connect_past_due_reason);
  CHECK(work.client.open_pipes() == 0);
}

TEST_CASE("a connection is reused, but not past the time that Keep-Alive states") {
  Work work;
  work.open();
  work.answered("HTTP/1.1 200 OK\r\ncontent-length: 2\r\nKeep-Alive: max=9, timeout=1\r\n\r\nok");
  work.pass(300);
  work.open();
  work.answered("HTTP/1.1 200 OK\r\ncontent-length: 2\r\nKeep-Alive: timeout=1\r\n\r\nok");
  CHECK(work.pipes.size() == 1);
  work.pass(600);
  work.open();
  work.answered(good);
  CHECK(work.pipes.size() == 2);
  work.pass(600);
  work.open();
  work.answered(good);
  CHECK(work.pipes.size() == 2);
}

TEST_CASE("a connection that was closed, or has bytes that belong to no request, isn't reused") {
  Work work;
  work.open();
  SECTION("closed") { work.answered(good, true); }
  SECTION("bytes with the answer") { work.answered(good + good); }
  SECTION("bytes with an answer without a body") { work.answered("HTTP/1.1 204 No\r\n\r\n" + good); }
  SECTION("bytes after the answer") {
    work.answered(good);
    work.pipes.front()->say(good);
  }
  SECTION("bytes after the chunks") {
    work.answered("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" + good);
  }
  SECTION("the worker says so") {
    work.answered("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok");
  }
  CHECK(work.reply.whole);
  const auto before = work.pipes.size();
  work.open();
  work.answered("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnext");
  CHECK(work.reply.body == "next");
  CHECK(work.pipes.size() == before + 1);
}

TEST_CASE("heads without a body and interim heads end as what they are") {
  Work work;
  work.open("HEAD");
  work.answered("HTTP/1.1 200 OK\r\ncontent-length: 400\r\n\r\n");
  CHECK((work.reply.whole && work.reply.status == 200 && work.reply.body.empty()));
  for (const std::string status : {"204", "304"}) {
    work.open();
    work.answered("HTTP/1.1 " + status + " None\r\n\r\n");
    CHECK((work.reply.whole && std::to_string(work.reply.status) == status));
  }
  work.open();
  work.answered("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nlink: a\r\n\r\n" + good);
  CHECK((work.reply.whole && work.reply.status == 200 && work.reply.body == "ok"));
  CHECK(work.pipes.size() == 1);
  work.open();
  work.answered("HTTP/1.1 101 Other\r\nconnection: keep-alive, upgrade\r\n\r\n");
  CHECK_FALSE(work.reply.whole);
  work.open();
  work.answered(good);
  CHECK(work.pipes.size() == 2);
}

TEST_CASE("an answer that breaks off is never whole") {
  Work work;
  const std::string chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
  for (const std::string& text :
       {chunked + "2\r\nok\r\n", chunked + "2\r\no", chunked,
        std::string("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok"), std::string("HTTP/1.1 200 OK\r\n\r\nok"),
        std::string("HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nok")}) {
    CAPTURE(text);
    work.open();
    work.answered(text, true);
    CHECK_FALSE(work.reply.whole);
    CHECK(work.reply.sent);
  }
}
