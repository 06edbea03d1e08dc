#include "workers.hpp"

#include <csignal>
#include <fstream>

#include "core/json.hpp"
#include "hosts.hpp"

namespace weldsail::soak {
namespace {

constexpr std::size_t roles = 3;
constexpr std::size_t call_role = 2;
constexpr std::size_t localities = 3;
constexpr std::uint64_t room_mb = 100;
constexpr std::uint64_t load_ms = 300;
constexpr std::uint64_t piece_ms = 20;

}  // namespace

std::vector<std::string> own_hosts(const std::string& library, int process) {
  return {"/usr/bin/env", "ASAN_OPTIONS=verify_asan_link_order=0", "LD_PRELOAD=" + library,
          "WELDSAIL_LISTEN_HOST=" + host_of(listen_hosts, process),
          "WELDSAIL_CONNECT_HOST=" + host_of(connect_hosts, process)};
}

Workers::Workers(RealFleet& fleet, std::string binaries) : fleet_(fleet), binaries_(std::move(binaries)) {}

Workers::~Workers() {
  for (auto& child : children) {
    if (child.pid == 0) continue;
    fleet_.signal(child, SIGKILL);
    fleet_.reap(child);
  }
}

void Workers::make(std::size_t count, int first_process, const std::string& library) {
  for (std::size_t place = 0; place < count; ++place) {
    Child child;
    child.name = "worker" + std::to_string(place);
    child.callers = free_address();
    child.arguments = own_hosts(library, first_process + static_cast<int>(place));
    for (const auto& argument :
         {binaries_ + "/test/wsback", std::string("--plan"), plan_path(place), std::string("--runs"), runs_path(place)})
      child.arguments.push_back(argument);
    children.push_back(std::move(child));
    services_.emplace_back(place % roles == call_role ? "booking" : "models");
  }
}

void Workers::start(std::size_t place) {
  write_plan(place);
  fleet_.start_child(children[place]);
}

void Workers::write_plan(std::size_t place) {
  const auto role = place % roles;
  JsonText text;
  text.object().key("platform").object().field("address", "127.0.0.1:0").close().key("workers").array().object();
  text.field("address", children[place].callers).field("instance", "i" + std::to_string(++births_));
  text.field("service", services_[place]).field("cell", "hall");
  text.field("locality", "z" + std::to_string(place % localities + 1));
  text.field("phase", role == call_role ? "call" : role == 0 ? "prefill" : "decode");
  text.number("room_mb", room_mb).number("load_ms", load_ms).number("piece_ms", piece_ms).close().end().close();
  std::ofstream(plan_path(place)) << text.text();
}

std::map<std::string, std::size_t> Workers::runs_by_caller() const {
  std::map<std::string, std::size_t> runs;
  for (std::size_t place = 0; place < children.size(); ++place) {
    std::ifstream file(runs_path(place));
    for (std::string caller; std::getline(file, caller);) ++runs[caller];
  }
  return runs;
}

}  // namespace weldsail::soak
