#include "tools/realfleet.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <csignal>

#include <filesystem>
#include <set>

namespace weldsail {
namespace {

std::string locality_of(std::size_t place, const RealPlan& plan) {
  return "z" + std::to_string(place % plan.localities + 1);
}

}  // namespace

std::string free_address() {
  static std::set<int> given;
  while (true) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in place{};
    place.sin_family = AF_INET;
    place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(place);
    const bool bound = bind(descriptor, reinterpret_cast<sockaddr*>(&place), length) == 0 &&
                       getsockname(descriptor, reinterpret_cast<sockaddr*>(&place), &length) == 0;
    close(descriptor);
    const int port = ntohs(place.sin_port);
    if (bound && given.insert(port).second) return "127.0.0.1:" + std::to_string(port);
  }
}

RealFleet::RealFleet(std::string binaries, RealPlan plan) : binaries_(std::move(binaries)), plan_(std::move(plan)) {
  char path[] = "/tmp/weldsail-XXXXXX";
  folder_ = mkdtemp(path);
  for (auto& worker : plan_.workers)
    if (worker.address.empty()) worker.address = free_address();
}

RealFleet::~RealFleet() {
  for (auto* group : {&controls, &datas})
    for (auto& child : *group) {
      if (child.pid == 0) continue;
      kill(child.pid, SIGCONT);
      kill(child.pid, SIGKILL);
      reap(child);
    }
  std::filesystem::remove_all(folder_);
}

bool RealFleet::start() {
  back_ = std::make_unique<Back>(loop_, PlatformPlan{free_address(), 1000, 1000}, plan_.workers, plan_.loads_per_s);
  if (back_->listen()) return false;
  std::string seeds;
  for (std::size_t place = 0; place < plan_.control; ++place) {
    Child child;
    child.name = "wscp" + std::to_string(place);
    child.peers = free_address();
    child.callers = free_address();
    child.folder = folder_ + "/" + child.name;
    if (place < 3) seeds += (seeds.empty() ? "" : ",") + child.peers;
    controls.push_back(std::move(child));
  }
  for (std::size_t place = 0; place < plan_.data; ++place) {
    Child child;
    child.name = "wsdp" + std::to_string(place);
    child.peers = free_address();
    child.callers = free_address();
    datas.push_back(std::move(child));
  }
  const auto common = [&](Child& child, const std::string& program, std::size_t place) {
    child.arguments = {binaries_ + "/" + program,
                       "--peers",
                       child.peers,
                       "--callers",
                       child.callers,
                       "--locality",
                       locality_of(place, plan_),
                       "--seeds",
                       seeds,
                       "--bound-ms",
                       std::to_string(plan_.bound),
                       "--log-file",
                       folder_ + "/" + child.name + ".log"};
  };
  for (std::size_t place = 0; place < controls.size(); ++place) {
    auto& child = controls[place];
    common(child, "wscp", place);
    for (const auto& argument :
         {std::string("--folder"), child.folder, std::string("--core-size"), std::to_string(plan_.control),
          std::string("--platform"), plan_.platform.empty() ? back_->platform_address() : plan_.platform,
          std::string("--platform-pace-ms"), std::string("1500")})
      child.arguments.push_back(argument);
    if (plan_.prepared) plan_.prepared(child);
    start_child(child);
  }
  for (std::size_t place = 0; place < datas.size(); ++place) {
    common(datas[place], "wsdp", place);
    for (const auto& option : plan_.data_options) datas[place].arguments.push_back(option);
    if (plan_.prepared) plan_.prepared(datas[place]);
    start_child(datas[place]);
  }
  return true;
}

void RealFleet::start_child(Child& child) {
  std::vector<char*> arguments;
  for (auto& argument : child.arguments) arguments.push_back(argument.data());
  arguments.push_back(nullptr);
  const int pid = fork();
  if (pid == 0) {
    // A test that is killed leaves no process behind.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  child.pid = pid;
}

void RealFleet::signal(Child& child, int number) {
  if (child.pid != 0) kill(child.pid, number);
}

int RealFleet::reap(Child& child) {
  int status = 0;
  waitpid(child.pid, &status, 0);
  child.pid = 0;
  return status;
}

bool RealFleet::pump(const std::function<bool()>& done, Moment within) {
  const auto end = monotonic_now() + within;
  while (!done()) {
    if (monotonic_now() >= end) return false;
    loop_.step(2);
    back_->tick(monotonic_now());
    if (plan_.served) plan_.served();
  }
  return true;
}

Reply RealFleet::ask(const std::string& method, const std::string& address, const std::string& path,
                     const std::vector<Header>& headers, const std::string& body, Moment within) {
  Client client(loop_);
  Reply reply;
  bool ended = false;
  client.told.connect([&](const Event& event) { reply_take(reply, event, ended); });
  client.open({1, address, method, path, headers, body, true, monotonic_now() + within});
  pump(
      [&] {
        client.sweep(monotonic_now());
        return ended;
      },
      within + 1000);
  return reply;
}

Reply RealFleet::ask_until_good(const std::string& method, const std::string& address, const std::string& path,
                                const std::vector<Header>& headers, const std::string& body, Moment within) {
  const auto end = monotonic_now() + within;
  Reply reply;
  do {
    reply = ask(method, address, path, headers, body, std::max<Moment>(1, end - monotonic_now()));
    if (reply.whole && reply.status < 300) break;
    const auto pause = monotonic_now() + 100;
    pump([&] { return monotonic_now() >= pause; }, 200);
  } while (monotonic_now() < end);
  return reply;
}

}  // namespace weldsail
