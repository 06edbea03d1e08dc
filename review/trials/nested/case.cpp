// Invalid configurations are sent (bad_config): amendments with an item that is nested deeply. Tells whether valid changes
// are acknowledged in time meanwhile (rule Acks), and counts the control processes that end by themselves.
#include "../../common/standins.hpp"

using namespace standins;

namespace {

constexpr int cores = 3;
constexpr std::int64_t second = 1000;
constexpr std::int64_t ack_ms = 4000;
constexpr int bad_orders = 3;
constexpr std::int64_t bad_gap = 1000;
constexpr std::size_t depth = 300000;
constexpr std::int64_t length = 35 * second;
/// The rule's bound for one route.
constexpr std::int64_t bound_ms = ack_ms + 3;

struct Core {
  std::string host;
  Process* process = nullptr;
  std::atomic<int> ends{0};
};

class Case {
 public:
  explicit Case(Record& record) : record_(record) {}
  int run();

 private:
  std::string node(std::size_t turn) const { return deployment_.at(cores_[turn % cores].host, 2); }
  void watch(Core& core);
  int order(const std::string& name, const std::string& base, const std::string& body, std::size_t first);
  void change();

  Record& record_;
  Deployment deployment_;
  Server list_;
  Core cores_[cores];
  std::atomic<bool> stop_{false};
  int taken_ = 0;
  int late_ = 0;
  int revision_ = 1;
};

/// The platform: starts again what has ended, after a second.
void Case::watch(Core& core) {
  core.process->start();
  while (!stop_) {
    pause_ms(5);
    int status = 0;
    if (!core.process->ended(&status)) continue;
    ++core.ends;
    record_.line("%s has ended by itself, signal %d", core.process->name.c_str(), WIFSIGNALED(status) ? WTERMSIG(status) : 0);
    deployment_.write_settings(core.process->settings, core.process->name, core.host, true, true, false);
    pause_ms(second);
    core.process->start();
  }
  core.process->end();
}

/// Sends an order until it has a clear answer, as an operator does: to the next node after a failure, a 5xx or a second
/// of silence, with a pause that grows.
int Case::order(const std::string& name, const std::string& base, const std::string& body, std::size_t first) {
  std::int64_t pause = 100;
  for (std::size_t turn = first; !stop_; ++turn) {
    const auto answer = ask(node(turn), "POST", "/api/configuration/amend",
                            "host: control\r\ncontent-type: application/json\r\nx-base-revision: " + base + "\r\n", body, 1000);
    const auto status = answer.status();
    record_.line("%s at core-%zu: %d", name.c_str(), turn % cores + 1, status);
    if (status == 200 || (status >= 400 && status < 500 && status != 408 && status != 429)) return status;
    pause_ms(pause);
    pause = std::min<std::int64_t>(pause * 2, 3000);
  }
  return 0;
}

/// A valid change: another time limit of the route.
void Case::change() {
  const auto next = revision_ + 2;
  const auto body = R"({"revision":)" + std::to_string(next) +
                    R"(,"apply":{"route_table":[{"label":"r-hold","host":"hold.example","path_prefix":"/hold/",)"
                    R"("mode":"idempotent","deadline_ms":)" +
                    std::to_string(1500 + next) +
                    R"(,"setpoint_ms":100,"precedence":2,"plant":"hold","trials":2,"pinned":false}]}})";
  const auto sent = now_ms();
  const auto status = order("valid change " + std::to_string(next), std::to_string(revision_), body, static_cast<std::size_t>(next));
  const auto time = now_ms() - sent;
  if (time > bound_ms) ++late_;
  if (status != 200) {
    record_.line("valid change %d not acknowledged after %lld ms", next, static_cast<long long>(time));
    return;
  }
  revision_ = next;
  ++taken_;
  record_.line("valid change %d acknowledged after %lld ms", next, static_cast<long long>(time));
}

int Case::run() {
  deployment_.folder = std::filesystem::temp_directory_path() / ("review-nested-" + std::to_string(getpid()));
  std::filesystem::create_directories(deployment_.folder);
  deployment_.ports = free_ports(10);
  deployment_.seeds = {"127.0.71.1", "127.0.71.2", "127.0.71.3"};
  list_.start(deployment_.at(deployment_.list_host, 5), [](int socket, Message&) {
    return reply(socket, 200, "content-type: application/json\r\n", R"({"units":[],"next_token":null})");
  });
  std::vector<std::thread> watchers;
  for (int place = 0; place < cores; ++place) {
    auto& core = cores_[place];
    core.host = deployment_.seeds[static_cast<std::size_t>(place)];
    core.process = &deployment_.add("core-" + std::to_string(place + 1), core.host, true, true);
    watchers.emplace_back([this, &core] { watch(core); });
  }
  const std::string first =
      R"({"revision":1,"route_table":[{"label":"r-hold","host":"hold.example","path_prefix":"/hold/","mode":"idempotent",)"
      R"("deadline_ms":1500,"setpoint_ms":100,"precedence":2,"plant":"hold","trials":2,"pinned":false}],"plants":[)"
      R"({"label":"hold","probe":"/probe","conn_limit":110,"protocol":"h1","tls":false}],"constraints":{)"
      R"("header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}})";
  const bool good = deployment_.ports != 0 && put_first({node(0), node(1)}, first, 15000);
  pause_ms(4 * second);
  const auto begun = now_ms();
  std::vector<std::thread> bad;
  std::thread operator_thread([&] {
    while (good && now_ms() < begun + length) {
      change();
      pause_ms(second);
    }
  });
  while (good && now_ms() < begun + length) {
    const auto count = static_cast<std::int64_t>(bad.size());
    if (disturbed() && count < bad_orders && now_ms() >= begun + 5 * second + count * bad_gap) {
      bad.emplace_back([this, count] {
        // No route and no service gets this name: the item's plant is unknown, so the configuration is invalid.
        const auto body = R"({"revision":)" + std::to_string(1000 + count) +
                          R"(,"apply":{"route_table":[{"label":"r-bad","host":"bad.example","path_prefix":"/bad/",)"
                          R"("mode":"idempotent","deadline_ms":1500,"plant":"unknown","more":)" +
                          std::string(depth, '[') + std::string(depth, ']') + "}]}}";
        order("invalid configuration " + std::to_string(count + 1), std::to_string(revision_), body,
              static_cast<std::size_t>(count));
      });
    }
    pause_ms(20);
  }
  stop_ = true;
  operator_thread.join();
  for (auto& thread : bad) thread.join();
  for (auto& watcher : watchers) watcher.join();
  for (auto& core : cores_) {
    printf("%s: %d ends\n", core.process->name.c_str(), core.ends.load());
    record_.line("%s: %d ends", core.process->name.c_str(), core.ends.load());
  }
  printf("%d valid changes acknowledged, %d later than %lld ms or not at all\n", taken_, late_, static_cast<long long>(bound_ms));
  record_.line("%d valid changes acknowledged, %d later than %lld ms or not at all", taken_, late_, static_cast<long long>(bound_ms));
  std::error_code ignored;
  std::filesystem::remove_all(deployment_.folder, ignored);
  if (!good || taken_ == 0) return 2;
  return late_ > 0 ? 1 : 0;
}

}  // namespace

/// Called with the folder of the case.
int main(int, char** arguments) {
  ::signal(SIGPIPE, SIG_IGN);
  Record record(std::string(arguments[1]) + "/record.txt");
  // Never destroyed: threads of the stand-ins go on until the end of the process.
  const auto result = (new Case(record))->run();
  std::fflush(stdout);
  _exit(result);
}
