#include "tools/realfleet.hpp"
#include "unit/metricsreader.hpp"

using namespace weldsail;
using namespace weldsail::unit;

namespace {

std::string port_of(const std::string& address) { return address.substr(address.rfind(':') + 1); }

/// Waits until the process tells that a configuration is in force there; its last answer.
Reply reply_in_force(RealFleet& fleet, const std::string& door) {
  Reply reply;
  const auto in_force = [&] {
    reply = fleet.ask("GET", door, "/v1/metrics", {}, {});
    return reply.status == 200 && MetricsReader(reply.body).at("weldsail_configuration_version") >= 1;
  };
  CHECK(fleet.pump(in_force, 20000));
  return reply;
}

}  // namespace

TEST_CASE("real processes tell their metrics at the callers' address and at a port of its own", "[process]") {
  RealPlan plan;
  plan.control = 1;
  plan.data = 2;
  // The data nodes are given the same port: the second can't have it, and goes on without.
  const auto control_door = free_address();
  const auto data_door = free_address();
  plan.prepared = [&](Child& child) {
    child.arguments.emplace_back("--metrics-port");
    child.arguments.push_back(port_of(child.name.starts_with("wscp") ? control_door : data_door));
  };
  RealFleet fleet(WELDSAIL_BINARIES, plan);
  REQUIRE(fleet.start());
  REQUIRE(fleet
              .ask_until_good("PUT", fleet.datas[0].callers, "/v1/config",
                              {{"weldsail-base", "0"}, {"weldsail-change", "first"}},
                              R"({"store":{"loads_per_s":4},"models":{},"cells":{}})", 20000)
              .status == 200);
  const std::vector<std::string> doors{fleet.controls[0].callers, fleet.datas[0].callers, fleet.datas[1].callers,
                                       control_door, data_door};
  for (const auto& door : doors) {
    const bool control = door == fleet.controls[0].callers || door == control_door;
    CAPTURE(door, control);
    const auto reply = reply_in_force(fleet, door);
    REQUIRE(reply.status == 200);
    const auto type = std::ranges::find(reply.headers, std::string("content-type"), &Header::name);
    REQUIRE(type != reply.headers.end());
    CHECK(type->value == "text/plain; version=0.0.4; charset=utf-8");
    const MetricsReader figures(reply.body);
    CHECK(figures.at("weldsail_invariant_violations_total") == 0);
    CHECK(figures.at("weldsail_messages_received_total", {{"kind", "ping"}}) > 0);
    CHECK(figures.at("weldsail_message_bytes_sent_total", {{"kind", "ping"}}) > 0);
    CHECK(figures.at("weldsail_caller_connections") >= 1);
    CHECK(figures.families.contains("weldsail_key_held") == control);
    CHECK(figures.families.contains("weldsail_requests_ended_total") == !control);
  }
  for (const auto& door : {control_door, data_door}) CHECK(fleet.ask("GET", door, "/v1/status", {}, {}).status == 404);
}
