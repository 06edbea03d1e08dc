#include <algorithm>
#include <csignal>

#include "tools/realfleet.hpp"
#include "unit/rawsocket.hpp"

using namespace weldsail;

namespace {

const std::string document = R"({
  "store": {"loads_per_s": 4},
  "models": {"m1": {"weights_mb": 40}},
  "cells": {"hall": {
    "services": {"models": {"kind": "model"}},
    "tenants": {"supra": {"routes": {"chat": {"kind": "stream", "model": "m1"}}}}}}
})";

RealPlan two_workers() {
  RealPlan plan;
  for (const std::string phase : {"prefill", "decode"}) {
    BackPlan worker;
    worker.service = "models";
    worker.cell = "hall";
    worker.locality = "z1";
    worker.phase = phase;
    worker.room_mb = 100;
    worker.load_ms = 100;
    worker.piece_ms = 20;
    worker.instance = phase;
    plan.workers.push_back(worker);
  }
  return plan;
}

std::string post(const std::string& body) {
  return "POST /v1/tenants/supra/routes/chat HTTP/1.1\r\nhost: x\r\ncontent-length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

bool has(const RawSocket& caller, const std::string& text) { return caller.got.find(text) != std::string::npos; }

}  // namespace

TEST_CASE("a process that leaves finishes a begun stream, and ends kept connections after their next answer",
          "[process]") {
  constexpr Moment patience = 10000;
  RealFleet fleet(WELDSAIL_BINARIES, two_workers());
  REQUIRE(fleet.start());
  auto& node = fleet.datas[0];
  REQUIRE(fleet
              .ask_until_good("PUT", node.callers, "/v1/config", {{"weldsail-base", "0"}, {"weldsail-change", "c"}},
                              document, 20000)
              .status == 200);
  const std::string brief = R"({"caller": "b", "prompt": "gamarjoba", "max_tokens": 1})";
  REQUIRE(fleet.ask_until_good("POST", node.callers, "/v1/tenants/supra/routes/chat", {}, brief, 30000).status == 200);
  const auto kept = raw_caller(node.callers);
  const auto stream = raw_caller(node.callers);
  const auto hears = [&](RawSocket& caller, const std::function<bool()>& done) {
    return fleet.pump(
        [&] {
          caller.hear();
          return done();
        },
        patience);
  };
  kept->say(post(brief));
  REQUIRE(hears(*kept, [&] { return has(*kept, "\r\n0\r\n\r\n"); }));
  CHECK(has(*kept, "Connection: keep-alive\r\n"));
  kept->got.clear();
  stream->say(post(R"({"caller": "a", "prompt": "gamarjoba", "max_tokens": 100})"));
  REQUIRE(hears(*stream, [&] { return has(*stream, "data:"); }));
  fleet.signal(node, SIGTERM);
  fleet.pump([] { return false; }, 500);
  kept->say(post(brief));
  CHECK(hears(*kept, [&] { return kept->ended; }));
  CHECK_FALSE(kept->reset);
  CHECK(has(*kept, "HTTP/1.1 503"));
  CHECK(has(*kept, "Connection: close\r\n"));
  CHECK(has(*kept, "retry-after: "));
  CHECK(hears(*stream, [&] { return stream->ended; }));
  CHECK_FALSE(stream->reset);
  CHECK(has(*stream, "\"final\":true"));
  CHECK(stream->got.ends_with("\r\n0\r\n\r\n"));
  CHECK(fleet.reap(node) == 0);
}

TEST_CASE("whoever still asks a process that has departed hears that nothing was run", "[process]") {
  constexpr std::size_t callers_count = 40;
  constexpr Moment pause = 10;
  constexpr Moment patience = 10000;
  RealFleet fleet(WELDSAIL_BINARIES, two_workers());
  REQUIRE(fleet.start());
  auto& node = fleet.datas[0];
  REQUIRE(fleet.ask_until_good("GET", node.callers, "/v1/status", {}, {}, 20000).status == 200);
  std::vector<std::unique_ptr<RawSocket>> callers;
  while (callers.size() < callers_count) callers.push_back(raw_caller(node.callers));
  fleet.signal(node, SIGTERM);
  for (const auto& caller : callers) {
    caller->try_say(post(R"({"caller": "late", "prompt": "gamarjoba", "max_tokens": 1})"));
    fleet.pump([] { return false; }, pause);
  }
  CHECK(fleet.pump(
      [&] {
        for (const auto& caller : callers) caller->hear();
        return std::ranges::all_of(callers, &RawSocket::ended);
      },
      patience));
  std::size_t answered = 0;
  for (const auto& caller : callers) {
    if (!has(*caller, "HTTP/1.1 503")) continue;
    ++answered;
    CHECK(has(*caller, "\"outcome\":\"not_run\""));
    CHECK(has(*caller, "retry-after: "));
  }
  CHECK(answered > 0);
  CHECK(fleet.reap(node) == 0);
}
