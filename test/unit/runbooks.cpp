#include <catch2/catch.hpp>

#include <sys/wait.h>
#include <unistd.h>
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "core/json.hpp"
#include "core/membership/member.hpp"
#include "tools/realfleet.hpp"

using namespace weldsail;

namespace {

const std::string halls = R"({"store":{"loads_per_s":4},"models":{"m1":{"weights_mb":40}},
 "cells":{"old":{"services":{"models":{"kind":"model"},"booking":{"kind":"call"}},
   "tenants":{"supra":{"routes":{"chat":{"kind":"stream","model":"m1"},"seat":{"kind":"call","service":"booking"}}}}},
  "new":{"services":{"models2":{"kind":"model"},"booking2":{"kind":"call"}},"tenants":{}}}})";

RealPlan two_halls() {
  RealPlan plan;
  plan.data = 2;
  for (const auto* service : {"models", "models", "models2", "models2", "booking", "booking2"}) {
    BackPlan worker;
    worker.service = service;
    worker.instance = "i" + std::to_string(plan.workers.size());
    worker.locality = "z" + std::to_string(plan.workers.size() % 3 + 1);
    worker.phase = worker.service.starts_with("booking") ? "call" : plan.workers.size() % 2 == 0 ? "prefill" : "decode";
    worker.room_mb = 100;
    worker.load_ms = 200;
    plan.workers.push_back(worker);
  }
  return plan;
}

struct Told {
  int code = -1;
  std::string text;
};

/// Runs wsctl against a live fleet, which goes on being served meanwhile.
Told wsctl(RealFleet& fleet, std::vector<std::string> words) {
  words.insert(words.begin(), std::string(WELDSAIL_BINARIES) + "/wsctl");
  words.insert(words.end(), {"--runbooks", WELDSAIL_RUNBOOKS});
  const auto path = fleet.folder() + "/wsctl.out";
  std::fflush(stdout);
  const int child = fork();
  if (child == 0) {
    if (std::freopen(path.c_str(), "w", stdout) == nullptr || dup2(STDOUT_FILENO, STDERR_FILENO) < 0) _exit(126);
    if (std::freopen("/dev/null", "r", stdin) == nullptr) _exit(126);
    std::vector<char*> arguments;
    for (auto& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  int status = 0;
  if (!fleet.pump([&] { return waitpid(child, &status, WNOHANG) == child; }, 120000)) {
    kill(child, SIGKILL);
    waitpid(child, &status, 0);
  }
  std::ifstream file(path);
  Told told{WIFEXITED(status) ? WEXITSTATUS(status) : -1, {}};
  told.text.assign(std::istreambuf_iterator<char>(file), {});
  return told;
}

Child& add_control(RealFleet& fleet, const std::string& name) {
  auto child = fleet.controls.front();
  child.name = name;
  child.peers = free_address();
  child.callers = free_address();
  child.folder = fleet.folder() + "/" + name;
  for (std::size_t place = 1; place < child.arguments.size(); ++place) {
    auto& argument = child.arguments[place];
    if (child.arguments[place - 1] == "--peers") argument = child.peers;
    if (child.arguments[place - 1] == "--callers") argument = child.callers;
    if (child.arguments[place - 1] == "--folder") argument = child.folder;
    if (child.arguments[place - 1] == "--seeds") argument = fleet.controls.back().peers + "," + fleet.datas[0].peers;
    if (child.arguments[place - 1] == "--log-file") argument = fleet.folder() + "/" + name + ".log";
  }
  child.pid = 0;
  fleet.controls.push_back(child);
  fleet.start_child(fleet.controls.back());
  return fleet.controls.back();
}

std::string write_file(const RealFleet& fleet, const std::string& name, const std::string& text) {
  const auto path = fleet.folder() + "/" + name;
  std::ofstream(path) << text;
  return path;
}

}  // namespace

TEST_CASE("wsctl answers the same at every node of either program", "[runbook]") {
  RealFleet fleet(WELDSAIL_BINARIES, two_halls());
  REQUIRE(fleet.start());
  const auto file = write_file(fleet, "halls.json", halls);
  const auto wrong =
      write_file(fleet, "wrong.json", R"({"cells":{"a":{"tenants":{"t":{"routes":{"r":{"kind":"odd"}}}}}}})");
  REQUIRE(fleet.ask_until_good("PUT", fleet.datas[0].callers, "/v1/config", {{"weldsail-base", "0"}}, halls, 20000)
              .status == 200);
  REQUIRE(fleet
              .ask_until_good("POST", fleet.datas[0].callers, "/v1/tenants/supra/routes/chat", {},
                              R"({"prompt":"a","max_tokens":2})", 20000)
              .status == 200);
  std::vector<std::string> nodes;
  for (auto* group : {&fleet.controls, &fleet.datas})
    for (const auto& child : *group) nodes.push_back(child.callers);
  const std::vector<std::vector<std::string>> commands{{"config", "get"},
                                                       {"config", "history"},
                                                       {"config", "check", file},
                                                       {"config", "check", wrong},
                                                       {"config", "put", file, "--base", "0", "--change", "again"},
                                                       {"config", "put", wrong, "--base", "1", "--change", "odd"},
                                                       {"config", "outcome", "none"},
                                                       {"core", "show"},
                                                       {"core", "remove", "127.0.0.1:1"},
                                                       {"drain", "nothing"},
                                                       {"config", "move-tenant", "nobody", "old", "new"},
                                                       {"odd"},
                                                       {"core"},
                                                       {"runbook", "list"}};
  for (const auto& words : commands) {
    std::set<std::pair<int, std::string>> answers;
    for (const auto& node : nodes) {
      auto asked = words;
      asked.insert(asked.end(), {"--node", node, "--json"});
      const auto told = wsctl(fleet, asked);
      answers.insert({told.code, told.text});
    }
    CAPTURE(words, answers);
    CHECK(answers.size() == 1);
  }
  for (const auto& node : nodes) {
    const auto told = wsctl(fleet, {"metrics", "--node", node});
    CHECK(told.code == 0);
    CHECK(told.text.starts_with("# HELP weldsail_process_info "));
  }
  for (const auto* flag : {"--help", "--version"}) CHECK(wsctl(fleet, {flag}).code == 0);
  CHECK(wsctl(fleet, {"status", "--node", "127.0.0.1:1"}).code == 5);
}

TEST_CASE("runbooks run against a fleet: each checked whole, reported step by step, resumable", "[runbook]") {
  RealFleet fleet(WELDSAIL_BINARIES, two_halls());
  fleet.controls.reserve(8);
  REQUIRE(fleet.start());
  const auto node = fleet.datas[0].callers;
  REQUIRE(fleet.ask_until_good("PUT", node, "/v1/config", {{"weldsail-base", "0"}}, halls, 20000).status == 200);
  // Books about workers need an owner of the placement, which may come after that of the configuration.
  REQUIRE(fleet.ask_until_good("GET", node, "/v1/placements", {}, {}, 20000).status == 200);
  const auto run = [&](const std::string& name, std::vector<std::string> inputs, const std::string& at = {}) {
    std::vector<std::string> words{"runbook", "run", name, "--node", at.empty() ? node : at, "--yes"};
    for (const auto& input : inputs) words.insert(words.end(), {"--set", input});
    const auto told = wsctl(fleet, words);
    INFO(name << ": " << told.text);
    CHECK(told.code == 0);
    return told.code;
  };
  CHECK(wsctl(fleet, {"runbook", "run", "drain-locality", "--node", node}).code == 2);
  CHECK(wsctl(fleet, {"runbook", "run", "drain-locality", "--node", node, "--set", "locality=z1", "--set", "odd=1"})
            .code == 2);
  const auto dry =
      wsctl(fleet, {"runbook", "run", "drain-locality", "--node", node, "--set", "locality=z1", "--dry-run"});
  CHECK(dry.code == 0);
  CHECK(dry.text.find("would run") != std::string::npos);
  run("drain-locality", {"locality=z1"});
  run("undrain-locality", {"locality=z1"});
  const auto next = write_file(fleet, "next.json", halls + " ");
  const auto backup = fleet.folder() + "/backup.json";
  CHECK(wsctl(fleet, {"runbook", "run", "roll-configuration", "--node", node, "--set", "file=" + next, "--set",
                      "backup=" + backup})
            .code == 6);
  run("roll-configuration", {"file=" + next, "backup=" + backup});
  CHECK(fleet.ask("GET", node, "/v1/config", {}, {}).body == halls + " ");
  run("back-out-configuration", {"backup=" + backup});
  CHECK(fleet.ask("GET", node, "/v1/config", {}, {}).body == halls);
  run("move-tenant", {"tenant=supra", "from=old", "to=new", "service=booking=booking2", "backup=" + backup});
  const auto seat = fleet.ask_until_good("POST", node, "/v1/tenants/supra/routes/seat", {}, R"({"caller":"s"})", 10000);
  CHECK(seat.status == 200);
  CHECK(fleet.back().workers()[4]->model().runs().empty());
  CHECK(fleet.back().workers()[5]->model().runs().size() == 1);
  const auto waits = wsctl(fleet, {"runbook", "run", "roll-process", "--node", node, "--dry-run", "--set",
                                   "peer=" + fleet.datas[1].peers, "--set", "callers=" + fleet.datas[1].callers});
  CHECK(waits.text.find("\"release\":" + std::to_string(wire_release) + "}") != std::string::npos);
  run("roll-process", {"peer=" + fleet.datas[1].peers, "callers=" + fleet.datas[1].callers});
  auto& fresh = add_control(fleet, "fresh");
  fleet.signal(fleet.controls[0], SIGKILL);
  fleet.reap(fleet.controls[0]);
  const auto lost = fleet.controls[0].peers;
  run("replace-core-machine", {"old=" + lost, "new=" + fresh.peers});
  for (const std::size_t place : {1, 2}) {
    fleet.signal(fleet.controls[place], SIGKILL);
    fleet.reap(fleet.controls[place]);
  }
  add_control(fleet, "first");
  add_control(fleet, "second");
  rapidjson::Document members;
  std::string disk;
  const auto gone = [&] {
    members.Parse(fleet.ask("GET", fresh.callers, "/v1/members", {}, {}).body.c_str());
    std::size_t broken = 0;
    for (const auto& item : members["members"].GetArray()) {
      if (json_string_at(item, "/state") == "broken") ++broken;
      if (json_string_at(item, "/address") == fresh.peers) disk = json_string_at(item, "/disk");
    }
    return broken >= 3;
  };
  CHECK(fleet.pump(gone, 20000));
  rapidjson::Document status;
  status.Parse(fleet.ask("GET", fresh.callers, "/v1/status", {}, {}).body.c_str());
  run("recover-core",
      {"cluster=" + json_string_at(status, "/cluster"), "disk=" + disk, "first=" + fleet.controls[4].peers,
       "second=" + fleet.controls[5].peers},
      fresh.callers);
  CHECK(fleet.ask_until_good("GET", node, "/v1/config", {}, {}, 10000).status == 200);
}
