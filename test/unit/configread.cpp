#include <catch2/catch.hpp>

#include "sim/fleet.hpp"

using namespace weldsail;
using namespace weldsail::sim;

/// Reads of a large configuration through processes that don't own it.
namespace {

constexpr Moment formed_at = 8000;
constexpr Moment delivered_within = 12000;
constexpr std::size_t many_routes = 7000;
/// Bytes that the asked process's link carries in a millisecond.
constexpr double slow_link = 100;

RequestArrived request(const std::string& method, const std::string& path, const std::string& body) {
  RequestArrived event{};
  event.method = method;
  event.path = path;
  event.headers = {{"weldsail-base", "0"}, {"weldsail-change", "first"}};
  event.body = body;
  return event;
}

/// A fleet whose processes all have one large configuration.
struct LargeConfiguration {
  LargeConfiguration() : fleet(7, {}), document(fleet.document("large", many_routes)) {
    fleet.world.run_until(formed_at);
    fleet.world.ask(fleet.holder(config_key), request("PUT", config_path, document),
                    [this](const Told& told) { put_status = told.status; });
    fleet.world.run_until(formed_at + delivered_within);
    for (const auto& address : fleet.controls)
      if (address != fleet.holder(config_key)) other = address;
  }

  Told read(const std::string& address) {
    Told answer;
    bool answered = false;
    fleet.world.ask(address, request("GET", config_path, ""), [&](const Told& told) {
      answer = told;
      answered = true;
    });
    const auto end = fleet.world.now() + delivered_within;
    while (!answered && fleet.world.now() < end) fleet.world.run_until(fleet.world.now() + 1);
    return answer;
  }

  Fleet fleet;
  std::string document;
  std::string other;
  int put_status = 0;
};

}  // namespace

TEST_CASE("a large configuration is read in time through a process on a slow link that has it", "[readback]") {
  LargeConfiguration large;
  REQUIRE(large.put_status == 200);
  REQUIRE(large.document.size() > 200000);
  auto& world = large.fleet.world;
  for (const auto& address : {large.other, large.fleet.datas.front()}) {
    CAPTURE(address);
    world.links.limit(address, {slow_link, slow_link});
    const auto asked = world.now();
    const auto answer = large.read(address);
    CHECK(answer.status == 200);
    CHECK((answer.body == large.document));
    CHECK(answer.at - asked <= operate_config_patience(3000));
  }
}

TEST_CASE("a process that lacks the newest configuration gets the whole document from its owner", "[readback]") {
  LargeConfiguration large;
  auto& state = std::get<ControlState>(large.fleet.world.node(large.other).state);
  state.member.self.set_config_version(0);
  const auto answer = large.read(large.other);
  CHECK(answer.status == 200);
  CHECK((answer.body == large.document));
}

TEST_CASE("a read through a process that has the configuration is confirmed by the owner, not answered from memory",
          "[readback]") {
  LargeConfiguration large;
  std::set<std::string> others(large.fleet.controls.begin(), large.fleet.controls.end());
  others.insert(large.fleet.datas.begin(), large.fleet.datas.end());
  others.erase(large.other);
  large.fleet.world.cut({large.other}, others);
  CHECK(large.read(large.other).status == 503);
}
