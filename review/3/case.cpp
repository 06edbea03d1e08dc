// An invalid configuration is sent (bad_config, old_version): an operator goes back to an older file, which is sent on top
// of the current version with its old number. Tells whether it is acknowledged (rule CONFIG).
#include "../common/standins.hpp"

using namespace standins;

namespace {

constexpr int cores = 3;
constexpr std::int64_t second = 1000;
constexpr std::int64_t adopt_ms = 2000;
constexpr int bad_orders = 3;
constexpr std::int64_t bad_gap = 1000;
constexpr int requests = 20;

class Case {
 public:
  explicit Case(Record& record) : record_(record) {}
  int run();

 private:
  std::string document(int revision, const char* plant) const;
  int replace(int base, const std::string& document, std::size_t first);
  std::string runs_at();
  bool worker(int socket, const Message& request, const std::string& plant);

  Record& record_;
  Deployment deployment_;
  Server list_;
  Server workers_[2];
  std::vector<std::string> nodes_;
  std::uint64_t next_ = 1;
};

std::string Case::document(int revision, const char* plant) const {
  return R"({"revision":)" + std::to_string(revision) +
         R"(,"route_table":[{"label":"r-hold","host":"hold.example","path_prefix":"/hold/","mode":"idempotent",)"
         R"("deadline_ms":1500,"setpoint_ms":100,"precedence":2,"plant":")" +
         plant +
         R"(","trials":2,"pinned":false}],"plants":[{"label":"one","probe":"/probe","conn_limit":110,"protocol":"h1",)"
         R"("tls":false},{"label":"two","probe":"/probe","conn_limit":110,"protocol":"h1","tls":false}],"constraints":{)"
         R"("header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}})";
}

/// Sends an order until it has a clear answer, as an operator does.
int Case::replace(int base, const std::string& document, std::size_t first) {
  std::int64_t pause = 100;
  const auto until = now_ms() + 15 * second;
  for (std::size_t turn = first; now_ms() < until; ++turn) {
    const auto answer = ask(nodes_[turn % nodes_.size()], "POST", "/api/configuration/replace",
                            "host: control\r\ncontent-type: application/json\r\nx-base-revision: " + std::to_string(base) + "\r\n",
                            document, 1000);
    const auto status = answer.status();
    record_.line("replace at core-%zu, X-Base-Revision %d, %.20s... -> %d %s", turn % nodes_.size() + 1, base, document.c_str(),
                 status, answer.body.c_str());
    if (status == 200 || (status >= 400 && status < 500 && status != 408 && status != 429)) return status;
    pause_ms(pause);
    pause = std::min<std::int64_t>(pause * 2, 2000);
  }
  return 0;
}

bool Case::worker(int socket, const Message& request, const std::string& plant) {
  if (request.method() == "GET") return reply(socket, 200, "X-Unit: i-" + plant + "\r\n", "");
  const auto trial = request.header("x-trial-id");
  record_.line("run %s at %s", trial.c_str(), plant.c_str());
  return reply(socket, 200, "X-Trial-Id: " + trial + "\r\nX-Server-Seal: " + plant + "\r\n", plant);
}

/// The services that run requests now.
std::string Case::runs_at() {
  std::map<std::string, int> counts;
  for (int number = 0; number < requests; ++number) {
    char trial[32];
    snprintf(trial, sizeof(trial), "%016llx", static_cast<unsigned long long>(next_++ * 0x9e3779b97f4a7c15ULL));
    const auto answer = ask(deployment_.at("127.0.72.1", 3), "POST", "/hold/1",
                            "Host: hold.example\r\nX-Trial-Id: " + std::string(trial) + "\r\nX-Deadline-Ms: 1500\r\n", "{}", 2000);
    record_.line("%s answered %d %s", trial, answer.status(), answer.header("x-server-seal").c_str());
    ++counts[answer.status() == 200 ? answer.header("x-server-seal") : std::to_string(answer.status())];
    pause_ms(20);
  }
  std::string text;
  for (const auto& [name, count] : counts) text += (text.empty() ? "" : ", ") + std::to_string(count) + " at " + name;
  record_.line("%s", text.c_str());
  return text;
}

int Case::run() {
  deployment_.folder = std::filesystem::temp_directory_path() / ("review-older-" + std::to_string(getpid()));
  std::filesystem::create_directories(deployment_.folder);
  deployment_.ports = free_ports(10);
  deployment_.seeds = {"127.0.71.1", "127.0.71.2", "127.0.71.3"};
  std::string units;
  for (int place = 0; place < 2; ++place) {
    const std::string plant = place == 0 ? "one" : "two";
    const auto address = "127.0.78." + std::to_string(place + 1) + ":" + std::to_string(deployment_.ports + 8);
    workers_[place].start(address, [this, plant](int socket, Message& request) { return worker(socket, request, plant); });
    units += (units.empty() ? "" : ",") + std::string(R"({"ident":"i-)") + plant + R"(","plant":")" + plant +
             R"(","address":")" + address +
             R"(","zone":"z1","revision":"v1","capacity":6,"condition":"ready","warmup_ms":0,"phase":"both","models":[]})";
  }
  list_.start(deployment_.at(deployment_.list_host, 5), [units](int socket, Message&) {
    return reply(socket, 200, "content-type: application/json\r\n", R"({"units":[)" + units + R"(],"next_token":null})");
  });
  for (int place = 0; place < cores; ++place) {
    const auto& host = deployment_.seeds[static_cast<std::size_t>(place)];
    deployment_.add("core-" + std::to_string(place + 1), host, true, true).start();
    nodes_.push_back(deployment_.at(host, 2));
  }
  deployment_.add("front-1", "127.0.72.1", false, false).start();
  const auto older = document(5, "one");
  bool good = deployment_.ports != 0 && put_first(nodes_, older, 15000);
  for (int turn = 0; good && turn < 50 && !ready(deployment_.at("127.0.72.1", 4)); ++turn) pause_ms(200);
  pause_ms(4 * second);
  good = good && runs_at() == std::to_string(requests) + " at one" && replace(5, document(7, "two"), 0) == 200;
  pause_ms(adopt_ms);
  good = good && runs_at() == std::to_string(requests) + " at two";
  int acknowledged = 0;
  for (int count = 0; good && count < bad_orders; ++count) {
    // Without the disruption the older content gets a number of its own.
    const auto status = disturbed()    ? replace(7, older, static_cast<std::size_t>(count))
                        : count == 0 ? replace(7, document(9, "one"), 0)
                                     : 412;
    if (status == 200) ++acknowledged;
    pause_ms(bad_gap);
  }
  pause_ms(adopt_ms);
  const auto now_at = runs_at();
  const auto read = ask(nodes_[0], "GET", "/api/configuration/read", "host: control\r\n", "", 1000);
  record_.line("read %d %.16s", read.status(), read.body.c_str());
  printf("%d of the orders acknowledged; %s; read back: %.13s\n", acknowledged, now_at.c_str(), read.body.c_str());
  deployment_.end_all();
  std::error_code ignored;
  std::filesystem::remove_all(deployment_.folder, ignored);
  if (!good) return 2;
  return disturbed() && acknowledged > 0 ? 1 : 0;
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
