#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>
#include <set>

#include "core/json.hpp"
#include "tools/realfleet.hpp"

using namespace weldsail;

namespace {

RealPlan small_plan() {
  RealPlan plan;
  for (int place = 0; place < 4; ++place) {
    BackPlan worker;
    worker.service = "models";
    worker.cell = "hall";
    worker.locality = "z" + std::to_string(place % 3 + 1);
    worker.phase = place % 2 == 0 ? "prefill" : "decode";
    worker.room_mb = 100;
    worker.adapter_capacity = 2;
    worker.load_ms = 300;
    plan.workers.push_back(worker);
  }
  BackPlan seats;
  seats.service = "booking";
  seats.cell = "hall";
  seats.locality = "z1";
  seats.phase = "call";
  plan.workers.push_back(seats);
  for (std::size_t place = 0; place < plan.workers.size(); ++place)
    plan.workers[place].instance = "i" + std::to_string(place);
  return plan;
}

const std::string document = R"({
  "store": {"loads_per_s": 4},
  "models": {"m1": {"weights_mb": 40}, "m2": {"weights_mb": 40}},
  "adapters": {"a1": {"model": "m1"}},
  "cells": {"hall": {
    "services": {"models": {"kind": "model"}, "booking": {"kind": "call"}},
    "tenants": {"supra": {"routes": {
      "chat": {"kind": "stream", "model": "m1", "adapter": "a1"},
      "review": {"kind": "stream", "model": "m2", "resumable": true},
      "seat": {"kind": "call", "service": "booking"}}}}}}
}
)";

const std::string chat = R"({"caller": "guest", "prompt": "gamarjoba", "max_tokens": 7})";

bool final_stream(const Reply& reply, int pieces) {
  return reply.whole && reply.status == 200 &&
         reply.body.find("\"final\":true,\"pieces\":" + std::to_string(pieces)) != std::string::npos;
}

std::size_t runs_at(RealFleet& fleet, std::size_t worker) {
  return fleet.back().workers()[worker]->model().runs().size();
}

}  // namespace

TEST_CASE("real processes find each other, carry a configuration, hold for a cold model and serve", "[process]") {
  RealFleet fleet(WELDSAIL_BINARIES, small_plan());
  REQUIRE(fleet.start());
  const auto put = fleet.ask_until_good("PUT", fleet.datas[0].callers, "/v1/config",
                                        {{"weldsail-base", "0"}, {"weldsail-change", "first"}}, document, 20000);
  REQUIRE(put.status == 200);
  for (auto* group : {&fleet.controls, &fleet.datas})
    for (const auto& child : *group) {
      const auto read = fleet.ask_until_good("GET", child.callers, "/v1/config", {}, {}, 10000);
      CHECK(read.body == document);
    }
  const auto conflict = fleet.ask("PUT", fleet.controls[1].callers, "/v1/config",
                                  {{"weldsail-base", "0"}, {"weldsail-change", "second"}}, document);
  CHECK(conflict.status == 409);
  const auto stream =
      fleet.ask_until_good("POST", fleet.datas[1].callers, "/v1/tenants/supra/routes/chat", {}, chat, 30000);
  CHECK(final_stream(stream, 7));
  const auto seat = fleet.ask_until_good("POST", fleet.datas[0].callers, "/v1/tenants/supra/routes/seat",
                                         {{"weldsail-request", "r1"}}, R"({"caller": "seat1"})", 10000);
  CHECK(seat.status == 200);
  CHECK(seat.body.find("seat1") != std::string::npos);
  CHECK(runs_at(fleet, 4) == 1);
  CHECK(fleet.ask("POST", fleet.datas[0].callers, "/v1/tenants/nobody/routes/chat", {}, chat).status == 404);
  CHECK(fleet.ask("POST", fleet.datas[0].callers, "/v1/tenants/supra/routes/chat", {}, "{").status == 400);
  CHECK(fleet.ask("POST", fleet.datas[0].callers, "/v1/tenants/supra/routes/chat", {}, std::string(2U << 20U, 'x'))
            .status == 413);
  const auto placements = fleet.ask("GET", fleet.datas[1].callers, "/v1/placements", {}, {});
  CHECK(placements.body.find("hall/m1") != std::string::npos);
  for (auto* group : {&fleet.datas, &fleet.controls})
    for (auto& child : *group) {
      fleet.signal(child, SIGTERM);
      CHECK(fleet.reap(child) == 0);
    }
}

TEST_CASE("the wall clock jumps hours both ways and nothing moves", "[process]") {
  RealFleet fleet(WELDSAIL_BINARIES, small_plan());
  const auto clock = fleet.folder() + "/clock";
  const auto jump = [&](long seconds) { std::ofstream(clock) << seconds; };
  jump(0);
  setenv("WELDSAIL_CLOCK", clock.c_str(), 1);
  setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
  setenv("LD_PRELOAD", WELDSAIL_CLOCK_LIBRARY, 1);
  const bool started = fleet.start();
  unsetenv("LD_PRELOAD");
  unsetenv("ASAN_OPTIONS");
  REQUIRE(started);
  REQUIRE(fleet
              .ask_until_good("PUT", fleet.datas[0].callers, "/v1/config",
                              {{"weldsail-base", "0"}, {"weldsail-change", "first"}}, document, 20000)
              .status == 200);
  REQUIRE(final_stream(
      fleet.ask_until_good("POST", fleet.datas[0].callers, "/v1/tenants/supra/routes/review", {}, chat, 20000), 7));
  const auto owners = [&] {
    rapidjson::Document status;
    status.Parse(fleet.ask("GET", fleet.controls[0].callers, "/v1/status", {}, {}).body.c_str());
    const auto* found = rapidjson::Pointer("/owners").Get(status);
    return found == nullptr ? std::string() : json_text(*found);
  };
  const auto before = owners();
  int version = 1;
  for (const long seconds : {18000L, -36000L, 0L}) {
    jump(seconds);
    CHECK(final_stream(fleet.ask("POST", fleet.datas[1].callers, "/v1/tenants/supra/routes/review", {}, chat), 7));
    CHECK(fleet.ask("POST", fleet.datas[0].callers, "/v1/tenants/supra/routes/seat", {}, R"({"caller": "s"})").status ==
          200);
    const auto put =
        fleet.ask("PUT", fleet.datas[0].callers, "/v1/config",
                  {{"weldsail-base", std::to_string(version)}, {"weldsail-change", "c" + std::to_string(version)}},
                  document + std::string(static_cast<std::size_t>(version), ' '));
    CHECK(put.status == 200);
    ++version;
  }
  CHECK(owners() == before);
  const auto members = fleet.ask("GET", fleet.datas[0].callers, "/v1/members", {}, {}).body;
  CHECK(members.find("broken") == std::string::npos);
  CHECK(members.find("suspect") == std::string::npos);
  std::ifstream log(fleet.folder() + "/wsdp0.log");
  const std::string lines{std::istreambuf_iterator<char>(log), {}};
  std::set<std::string> hours;
  for (std::size_t place = 0; (place = lines.find("event=", place)) != std::string::npos; ++place) {
    const auto begin = lines.rfind('\n', place) + 1;
    hours.insert(lines.substr(begin, 18));
  }
  CHECK(hours.size() >= 2);
}

TEST_CASE("a killed owner, a killed data node and a power cut of the core lose nothing accepted", "[process]") {
  RealFleet fleet(WELDSAIL_BINARIES, small_plan());
  REQUIRE(fleet.start());
  REQUIRE(fleet
              .ask_until_good("PUT", fleet.datas[0].callers, "/v1/config",
                              {{"weldsail-base", "0"}, {"weldsail-change", "first"}}, document, 20000)
              .status == 200);
  const auto members = fleet.ask("GET", fleet.datas[0].callers, "/v1/status", {}, {});
  CHECK(members.status == 200);
  const auto status = fleet.ask_until_good("GET", fleet.controls[0].callers, "/v1/status", {}, {}, 5000);
  rapidjson::Document parsed;
  parsed.Parse(status.body.c_str());
  const auto holder = json_string_at(parsed, "/owners/config");
  for (auto& child : fleet.controls)
    if (child.peers == holder) {
      fleet.signal(child, SIGKILL);
      fleet.reap(child);
    }
  fleet.signal(fleet.datas[1], SIGKILL);
  fleet.reap(fleet.datas[1]);
  const auto second = document + " ";
  const auto put = fleet.ask_until_good("PUT", fleet.datas[0].callers, "/v1/config",
                                        {{"weldsail-base", "1"}, {"weldsail-change", "second"}}, second, 15000);
  CHECK(put.status == 200);
  CHECK(final_stream(
      fleet.ask_until_good("POST", fleet.datas[0].callers, "/v1/tenants/supra/routes/review", {}, chat, 20000), 7));
  for (auto& child : fleet.controls)
    if (child.pid != 0) {
      fleet.signal(child, SIGKILL);
      fleet.reap(child);
    }
  CHECK(final_stream(fleet.ask("POST", fleet.datas[0].callers, "/v1/tenants/supra/routes/review", {}, chat, 20000), 7));
  for (auto& child : fleet.controls) fleet.start_child(child);
  const auto read = fleet.ask_until_good("GET", fleet.datas[0].callers, "/v1/config", {}, {}, 15000);
  CHECK(read.body == second);
}
