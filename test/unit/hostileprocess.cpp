#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>
#include <algorithm>
#include <csignal>

#include "shell/server.hpp"
#include "tools/realfleet.hpp"

using namespace weldsail;

namespace {

/// A raw pipe of an asker that keeps to no rules.
struct Rude {
  int descriptor = -1;
  Rude(const std::string& address, const std::string& bytes) {
    const auto place = read_address(address);
    descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    REQUIRE(connect(descriptor, reinterpret_cast<const sockaddr*>(&*place), sizeof(*place)) == 0);
    for (std::size_t done = 0; done < bytes.size();) {
      const auto sent = send(descriptor, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent <= 0) return;
      done += static_cast<std::size_t>(sent);
    }
  }
  Rude(const Rude&) = delete;
  Rude& operator=(const Rude&) = delete;
  ~Rude() { close(descriptor); }
  bool closed() const {
    char bytes[4096];
    while (true) {
      const auto got = recv(descriptor, bytes, sizeof(bytes), MSG_DONTWAIT);
      if (got <= 0) return got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }
  }
};

}  // namespace

TEST_CASE("idle, half-sent, malformed and countless pipes don't wedge a process", "[process]") {
  RealPlan plan;
  plan.control = 1;
  plan.data = 1;
  plan.data_options = {"--pipes", "64", "--idle-ms", "700", "--transfer-ms", "700"};
  RealFleet fleet(WELDSAIL_BINARIES, plan);
  REQUIRE(fleet.start());
  const auto address = fleet.datas[0].callers;
  REQUIRE(fleet.ask_until_good("GET", address, "/v1/status", {}, {}, 20000).status == 200);
  std::vector<std::unique_ptr<Rude>> rude;
  const std::vector<std::string> kinds{
      "",
      "POST /v1/tenants/a/routes/b HTTP/1.1\r\nhost: x\r\ncontent-length: 1000\r\n\r\nhalf",
      "GARBAGE\r\n\r\n\r\n",
      "POST /v1/tenants/a/routes/b HTTP/1.1\r\ncontent-length: 99999999999\r\n\r\n",
      "GET /" + std::string(200000, 'a') + " HTTP/1.1\r\n\r\n",
      "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
      std::string("\0\xff\x16\x03\x01", 5)};
  for (int turn = 0; turn < 100; ++turn)
    rude.push_back(std::make_unique<Rude>(address, kinds[static_cast<std::size_t>(turn) % kinds.size()]));
  const auto all_closed = [&] { return std::ranges::all_of(rude, [](const auto& item) { return item->closed(); }); };
  CHECK(fleet.pump(all_closed, 20000));
  CHECK(fleet.ask_until_good("GET", address, "/v1/status", {}, {}, 5000).status == 200);
  rude.clear();
  for (const auto& peers : {fleet.datas[0].peers, fleet.controls[0].peers})
    for (const auto& bytes :
         {std::string("POST /v1/peer HTTP/1.1\r\nhost: x\r\n\r\n"), std::string("weldsail1\n\0\0\0\2\xff\xff", 16),
          std::string("weldsail1\n\0\0\0\3\x08\x01\x12", 17), std::string("weldsail1\n\xff\xff\xff\xff")})
      rude.push_back(std::make_unique<Rude>(peers, bytes));
  CHECK(fleet.pump(all_closed, 5000));
  for (auto* child : {&fleet.datas[0], &fleet.controls[0]}) fleet.signal(*child, SIGHUP);
  CHECK(fleet.ask_until_good("GET", address, "/v1/status", {}, {}, 5000).status == 200);
  CHECK(fleet.ask_until_good("GET", fleet.controls[0].callers, "/v1/status", {}, {}, 5000).status == 200);
  for (auto* group : {&fleet.datas, &fleet.controls})
    for (auto& child : *group) {
      fleet.signal(child, SIGTERM);
      CHECK(fleet.reap(child) == 0);
    }
}
