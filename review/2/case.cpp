// Many users come at once (burst); each request has the longest body that the configuration allows. Counts the processes
// that pass the memory of their machine, which the platform ends for it (rule Fault).
#include "../common/standins.hpp"

using namespace standins;

namespace {

constexpr int fronts = 2;
constexpr std::int64_t second = 1000;
constexpr std::size_t body_bytes = 4194304;
/// Requests a second at each front machine: 90 on 9 machines.
constexpr int usual_rate = 10;
constexpr double burst_x = 2.4;
constexpr std::int64_t burst_ms = 4500;
constexpr int bursts = 5;
constexpr std::int64_t burst_pause = 13 * second;
/// Ends that are a fault when two machines have so many each.
constexpr int ends_most = 3;
constexpr int events = 37;
constexpr int event_ms = 40;

struct Front {
  std::string host;
  Process* process = nullptr;
  std::atomic<double> most_mb{0};
  std::atomic<int> ends{0};
  std::atomic<bool> running{false};
};

class Case {
 public:
  explicit Case(Record& record) : record_(record) {}
  int run();

 private:
  bool answer(int socket, const Message& request);
  std::string document() const;
  void watch(Front& front);
  void call(int front);

  Record& record_;
  Deployment deployment_;
  Server list_;
  Server workers_[2];
  Front fronts_[fronts];
  const std::string body_ = std::string(body_bytes, 'b');
  std::atomic<bool> stop_{false};
  std::atomic<int> open_{0};
  std::atomic<int> whole_{0}, refused_{0}, cut_{0}, unread_{0}, begun_{0}, other_{0};
  std::atomic<std::uint64_t> next_{1};
};

/// A worker runs a request: a stream of 1.5 s.
bool Case::answer(int socket, const Message& request) {
  const auto trial = request.header("x-trial-id");
  if (request.method() == "GET") return reply(socket, 200, "X-Unit: w\r\n", "");
  ++begun_;
  record_.line("run %s with %zu bytes", trial.c_str(), request.body.size());
  bool good = write_all(socket, "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nX-Trial-Id: " + trial +
                                    "\r\nX-Server-Seal: w\r\ntransfer-encoding: chunked\r\n\r\n");
  for (int number = 1; good && number <= events; ++number) {
    const auto event = "id: " + std::to_string(number) + "\ndata: " + std::string(40, 'x') + "\n\n";
    char size[16];
    snprintf(size, sizeof(size), "%zx\r\n", event.size());
    good = write_all(socket, size + event + "\r\n");
    pause_ms(event_ms);
  }
  return good && write_all(socket, "0\r\n\r\n");
}

std::string Case::document() const {
  return R"({"revision":1,"route_table":[{"label":"r-note","host":"note.example","path_prefix":"/note/","mode":"stream",)"
         R"("deadline_ms":20000,"setpoint_ms":3000,"precedence":0,"plant":"notes","trials":1,"pinned":false,)"
         R"("continue":false,"gap_setpoint_ms":300}],"plants":[{"label":"notes","probe":"/probe","conn_limit":370,)"
         R"("protocol":"h1","tls":false}],"constraints":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,)"
         R"("idle_ms":15000}})";
}

/// The platform: ends a process that passes the memory of its machine, and starts it again after a second.
void Case::watch(Front& front) {
  front.process->start();
  front.running = true;
  std::int64_t again_at = 0;
  while (!stop_) {
    pause_ms(5);
    if (!front.running) {
      if (now_ms() < again_at) continue;
      front.process->start();
      front.running = true;
      continue;
    }
    const auto memory = front.process->memory_mb();
    if (memory > front.most_mb) front.most_mb = memory;
    const bool over = memory > deployment_.memory_mb;
    int status = 0;
    if (!over && !front.process->ended(&status)) continue;
    ++front.ends;
    record_.line("%s ends: %s (%.0f MB of %d MB)", front.process->name.c_str(), over ? "over its memory" : "by itself",
                 memory, deployment_.memory_mb);
    front.process->end();
    front.running = false;
    deployment_.write_settings(front.process->settings, front.process->name, front.host, false, false, false);
    again_at = now_ms() + second;
  }
  front.process->end();
}

void Case::call(int front) {
  char trial[32];
  snprintf(trial, sizeof(trial), "%016llx", static_cast<unsigned long long>(next_++ * 0x9e3779b97f4a7c15ULL));
  const int socket = connect_to(deployment_.at(fronts_[front].host, 3), 21000);
  if (socket < 0) {
    ++unread_;
    record_.line("%s no connection to front-%d", trial, front + 1);
    return;
  }
  const auto head = "POST /note/1 HTTP/1.1\r\nHost: note.example\r\nX-Trial-Id: " + std::string(trial) +
                    "\r\nX-Deadline-Ms: 20000\r\ncontent-length: " + std::to_string(body_.size()) + "\r\n\r\n";
  std::string buffer;
  Message answer;
  const bool written = write_all(socket, head) && write_all(socket, body_);
  const bool whole = written && read_head(socket, buffer, answer) && read_body(socket, buffer, answer);
  ::close(socket);
  if (whole && answer.status() == 200)
    ++whole_;
  else if (whole && answer.status() == 503)
    ++refused_;
  else if (!whole)
    ++(written ? cut_ : unread_);
  else
    ++other_;
  record_.line("%s at front-%d: %s, answered %d %s", trial, front + 1, written ? "sent whole" : "not taken whole",
               answer.status(), whole ? "whole" : "CUT");
}

int Case::run() {
  deployment_.folder = std::filesystem::temp_directory_path() / ("review-memory-" + std::to_string(getpid()));
  std::filesystem::create_directories(deployment_.folder);
  deployment_.ports = free_ports(10);
  deployment_.seeds = {"127.0.71.1", "127.0.71.2", "127.0.71.3"};
  std::string units;
  for (int place = 0; place < 2; ++place) {
    const auto address = "127.0.78." + std::to_string(place + 1) + ":" + std::to_string(deployment_.ports + 8);
    workers_[place].start(address, [this](int socket, Message& request) { return answer(socket, request); });
    units += (units.empty() ? "" : ",") + std::string(R"({"ident":"i-)") + std::to_string(place + 1) +
             R"(","plant":"notes","address":")" + address +
             R"(","zone":"z1","revision":"v1","capacity":64,"condition":"ready","warmup_ms":0,"phase":"both","models":[]})";
  }
  list_.start(deployment_.at(deployment_.list_host, 5), [units](int socket, Message&) {
    return reply(socket, 200, "content-type: application/json\r\n", R"({"units":[)" + units + R"(],"next_token":null})");
  });
  for (int place = 1; place <= 3; ++place)
    deployment_.add("core-" + std::to_string(place), "127.0.71." + std::to_string(place), true, true).start();
  std::vector<std::thread> watchers;
  for (int place = 0; place < fronts; ++place) {
    auto& front = fronts_[place];
    front.host = "127.0.72." + std::to_string(place + 1);
    front.process = &deployment_.add("front-" + std::to_string(place + 1), front.host, false, false);
    watchers.emplace_back([this, &front] { watch(front); });
  }
  bool good = deployment_.ports != 0 &&
              put_first({deployment_.at("127.0.71.1", 2), deployment_.at("127.0.71.2", 2)}, document(), 15000);
  for (int turn = 0; good && turn < 50 && !ready(deployment_.at(fronts_[1].host, 4)); ++turn) pause_ms(200);
  pause_ms(1000);
  const auto traffic = now_ms();
  const auto length = 4 * second + bursts * burst_pause;
  double due[fronts] = {0, 0};
  int burst_told = 0;
  while (good && now_ms() < traffic + length) {
    const auto at = now_ms() - traffic;
    const auto burst = (at - 4 * second) / burst_pause;
    const bool in_burst = disturbed() && at >= 4 * second && (at - 4 * second) % burst_pause < burst_ms;
    if (in_burst && burst >= burst_told) {
      ++burst_told;
      record_.line("burst %d", burst_told);
    }
    for (int place = 0; place < fronts; ++place) {
      if (at < due[place]) continue;
      due[place] = static_cast<double>(at) + second / (usual_rate * (in_burst ? burst_x : 1));
      ++open_;
      std::thread([this, place] {
        call(place);
        --open_;
      }).detach();
    }
    pause_ms(2);
  }
  while (open_ > 0 && now_ms() < traffic + length + 5 * second) pause_ms(50);
  stop_ = true;
  for (auto& watcher : watchers) watcher.join();
  int machines = 0;
  for (auto& front : fronts_) {
    if (front.ends >= ends_most) ++machines;
    record_.line("%s: %d ends, at most %.0f MB", front.process->name.c_str(), front.ends.load(), front.most_mb.load());
    printf("%s: %d ends, at most %.0f MB of %d MB\n", front.process->name.c_str(), front.ends.load(), front.most_mb.load(),
           deployment_.memory_mb);
  }
  char text[256];
  snprintf(text, sizeof(text), "%d whole, %d refused, %d cut after they were sent whole, %d not taken whole, %d others; %d run",
           whole_.load(), refused_.load(), cut_.load(), unread_.load(), other_.load(), begun_.load());
  record_.line("%s", text);
  printf("%s\n", text);
  deployment_.end_all();
  std::error_code ignored;
  std::filesystem::remove_all(deployment_.folder, ignored);
  if (!good || whole_ < 100) return 2;
  return machines >= 2 ? 1 : 0;
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
