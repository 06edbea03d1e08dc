#include <catch2/catch.hpp>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "shell/server.hpp"
#include "tools/realfleet.hpp"

using namespace weldsail;

namespace {

/// A call worker, and the platform that lists it, on raw sockets: it breaks HTTP in the way it is told to.
class RudeWorker {
 public:
  RudeWorker() : address(free_address()) {
    const auto place = read_address(address);
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    REQUIRE(bind(listener_, reinterpret_cast<const sockaddr*>(&*place), sizeof(*place)) == 0);
    REQUIRE(listen(listener_, 64) == 0);
  }
  RudeWorker(const RudeWorker&) = delete;
  RudeWorker& operator=(const RudeWorker&) = delete;
  ~RudeWorker() {
    for (const auto& [descriptor, bytes] : pipes_) close(descriptor);
    close(listener_);
  }
  void serve() {
    for (int got = 0; (got = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0;) pipes_[got];
    for (auto item = pipes_.begin(); item != pipes_.end();)
      item = take(item->first, item->second) ? std::next(item) : drop(item);
  }
  std::string address;
  std::string manner;
  std::size_t runs = 0;

 private:
  using Pipes = std::map<int, std::string>;
  Pipes::iterator drop(Pipes::iterator item) {
    close(item->first);
    return pipes_.erase(item);
  }
  static void say(int descriptor, const std::string& text) {
    CHECK(send(descriptor, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
  }
  static std::string whole(const std::string& body) {
    return "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  bool take(int descriptor, std::string& bytes) {
    char part[65536];
    const auto got = recv(descriptor, part, sizeof(part), 0);
    if (got == 0 || (got < 0 && errno != EAGAIN)) return false;
    if (got > 0) bytes.append(part, static_cast<std::size_t>(got));
    const auto end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) return true;
    if (bytes.starts_with("GET /v1/status"))
      say(descriptor, whole(R"({"instance":"r","service":"booking","locality":"z1","phase":"call","slots":64})"));
    else if (bytes.starts_with("GET /v1/workers"))
      say(descriptor, whole(R"({"workers":[{"address":")" + address + R"(","service":"booking"}]})"));
    else
      return run(descriptor, bytes, end);
    bytes.clear();
    return true;
  }
  bool run(int descriptor, std::string& bytes, std::size_t end) {
    const auto length = bytes.find("content-length: ");
    const auto wanted = length == std::string::npos ? 0 : std::stoul(bytes.substr(length + 16));
    if (manner != "early" && bytes.size() < end + 4 + wanted) return true;
    ++runs;
    bytes.clear();
    if (manner == "whole" || manner == "early") say(descriptor, whole(R"({"granted":1})"));
    if (manner == "short") say(descriptor, "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"granted\":");
    if (manner == "without length") say(descriptor, "HTTP/1.1 200 OK\r\n\r\n{\"granted\":1}");
    if (manner == "over-long")
      say(descriptor, "HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"granted\":1}{\"granted\":2}");
    if (manner == "cut chunk") say(descriptor, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n20\r\n{\"gra");
    if (manner == "head only") say(descriptor, "HTTP/1.1 200 OK\r\ncontent-le");
    if (manner == "garbage") say(descriptor, "granted\r\n\r\n");
    if (manner == "reset") {
      const linger now{1, 0};
      setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    if (manner == "half-closed") {
      shutdown(descriptor, SHUT_WR);
      return true;
    }
    return manner == "whole" || manner == "early";
  }
  int listener_ = -1;
  Pipes pipes_;
};

}  // namespace

TEST_CASE("a call whose answer is cut, reset, misframed or early is told as what it is and never runs twice",
          "[process]") {
  RudeWorker worker;
  RealPlan plan;
  plan.control = 1;
  plan.data = 1;
  plan.platform = worker.address;
  plan.served = [&] { worker.serve(); };
  RealFleet fleet(WELDSAIL_BINARIES, plan);
  REQUIRE(fleet.start());
  const std::string document = R"({"cells":{"c":{"services":{"booking":{"kind":"call"}},"tenants":{"t":{"routes":{
      "seat":{"kind":"call","service":"booking","due_ms":4000}}}}}}})";
  const auto node = fleet.datas[0].callers;
  REQUIRE(fleet.ask_until_good("PUT", node, "/v1/config", {{"weldsail-base", "0"}}, document, 20000).status == 200);
  worker.manner = "whole";
  REQUIRE(fleet.ask_until_good("POST", node, "/v1/tenants/t/routes/seat", {}, "{}", 20000).status == 200);
  for (const std::string manner : {"short", "without length", "cut chunk", "head only", "garbage", "reset",
                                   "half-closed", "over-long", "early", "whole"}) {
    CAPTURE(manner);
    worker.manner = "whole";
    REQUIRE(fleet.ask_until_good("POST", node, "/v1/tenants/t/routes/seat", {}, "{}", 10000).status == 200);
    worker.manner = manner;
    const auto before = worker.runs;
    const auto body = "{\"guest\":\"" + std::string(manner == "early" ? 600000 : 10, 'g') + "\"}";
    const auto reply = fleet.ask("POST", node, "/v1/tenants/t/routes/seat", {{"idempotency-key", manner}}, body);
    CHECK(reply.whole);
    const bool good = manner == "over-long" || manner == "early" || manner == "whole";
    if (reply.status == 200)
      CHECK((good && reply.body == R"({"granted":1})"));
    else
      CHECK(reply.body.find("unknown") != std::string::npos);
    if (manner == "whole") CHECK(reply.status == 200);
    CHECK(worker.runs == before + 1);
    worker.manner = "whole";
    const auto again = fleet.ask("POST", node, "/v1/tenants/t/routes/seat", {{"idempotency-key", manner}}, body);
    CHECK(again.status == 409);
    CHECK(worker.runs == before + 1);
  }
}
