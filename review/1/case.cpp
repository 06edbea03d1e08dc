// Front machines of one zone are stopped and started in turn (roll_term) while the demand moves to another model
// (model_shift). Counts answers that a leaving machine cuts though it took the request late (rule LOST).
#include <random>

#include "../common/engine.hpp"
#include "fleet.hpp"
#include "judge.hpp"

using namespace standins;

namespace {

constexpr int fronts = 3;
struct Front {
  std::string host;
  Process* process = nullptr;
  std::int64_t told_to_end = -1;
  int misses = 0;
  bool in = false;
};

class Case {
 public:
  explicit Case(Record& record) : record_(record) {}
  int run();

 private:
  void workers();
  void deployment();
  std::string busy_model(double luck);
  void platform_turn();
  int pick_front(int client);
  void call(int client, std::uint64_t seed);

  Record& record_;
  Deployment deployment_;
  std::vector<std::unique_ptr<EngineWorker>> workers_;
  Server list_;
  Front fronts_[fronts];
  std::mutex lock_;
  std::map<std::string, Try> tries_;
  std::int64_t shift_at_ = 0;
  std::int64_t roll_at_ = 0;
  const double rate_ = env_or("RATE", 36);
  const double shift_s_ = env_or("SHIFT_S", 5.1);
  const double spare_ = env_or("SPARE", 0.25);
  std::atomic<int> open_{0};
};

void Case::workers() {
  // The busy model stands on many workers, every other one on a single worker.
  const std::vector<std::vector<std::string>> first{{"a", "c", "d"}, {"a", "e", "f"}, {"a", "g", "h"},
                                                    {"a", "i", "j"}, {"a", "k", "l"}, {"b", "m", "n"}};
  for (std::size_t place = 0; place < first.size(); ++place) {
    auto worker = std::make_unique<EngineWorker>();
    worker->ident = "i-" + std::to_string(place + 1);
    worker->plant = "lm";
    worker->record = &record_;
    worker->seen = [this](const std::string& trial, const char* what) {
      {
        const std::lock_guard guard(lock_);
        tries_[trial].at_worker += std::string(tries_[trial].at_worker.empty() ? "" : ", ") + what + " " +
                                   std::to_string(now_ms());
      }
    };
    for (const auto& model : first[place]) worker->hold(model);
    worker->start("127.0.78." + std::to_string(place + 1) + ":" + std::to_string(deployment_.ports + 8));
    workers_.push_back(std::move(worker));
  }
}

void Case::deployment() {
  deployment_.ports = free_ports(10);
  deployment_.seeds = {"127.0.71.1", "127.0.71.2", "127.0.71.3"};
  workers();
  list_.start(deployment_.at(deployment_.list_host, 5), [this](int socket, Message&) {
    std::string units;
    for (const auto& worker : workers_) units += (units.empty() ? "" : ",") + worker->list_entry();
    return reply(socket, 200, "content-type: application/json\r\n", R"({"units":[)" + units + R"(],"next_token":null})");
  });
  for (int place = 1; place <= 3; ++place)
    deployment_.add("core-" + std::to_string(place), "127.0.71." + std::to_string(place), true, true).start();
  for (int place = 0; place < fronts; ++place) {
    fronts_[place].host = "127.0.72." + std::to_string(place + 1);
    fronts_[place].process = &deployment_.add("front-" + std::to_string(place + 1), fronts_[place].host, false, false);
    fronts_[place].process->start();
  }
}

/// Asks each front machine whether it is ready, as the platform does each second, and starts what has ended.
void Case::platform_turn() {
  for (auto& front : fronts_) {
    const bool good = ready(deployment_.at(front.host, 4));
    const std::lock_guard guard(lock_);
    front.misses = good ? 0 : front.misses + 1;
    if (good) front.in = true;
    if (front.misses >= 2) front.in = false;
    if (front.process->ended()) {
      record_.line("%s has ended and is started again", front.process->name.c_str());
      front.told_to_end = -1;
      deployment_.write_settings(front.process->settings, front.process->name, front.host, false, false, false);
      front.process->start();
    }
  }
}

/// Nodes that are in; where fewer than half of the zone's are, all of them.
int Case::pick_front(int client) {
  const std::lock_guard guard(lock_);
  std::vector<int> used;
  for (int place = 0; place < fronts; ++place)
    if (fronts_[place].in) used.push_back(place);
  if (used.size() * 2 < fronts) used = {0, 1, 2};
  return used[(static_cast<unsigned>(client) * 2654435761U >> 8U) % used.size()];
}

std::string Case::busy_model(double luck) {
  const auto moved = shift_at_ == 0 ? 0.0 : static_cast<double>(now_ms() - shift_at_) / (shift_s_ * second);
  return luck < moved ? "b" : "a";
}

void Case::call(int client, std::uint64_t seed) {
  std::mt19937_64 luck(seed);
  std::uniform_real_distribution<double> part(0, 1);
  const auto model = busy_model(part(luck));
  std::lognormal_distribution<double> prompts(6.0, 0.9);
  std::lognormal_distribution<double> lengths(3.66, 0.6);
  const auto prompt = static_cast<int>(std::clamp(prompts(luck), 40.0, 3310.0));
  const auto events = static_cast<int>(std::clamp(lengths(luck), 2.0, 159.0));
  // Most answers end before the most that their request allows.
  const auto most = std::min(954, static_cast<int>(events * 6 * (1 + spare_ * part(luck))));
  for (int turn = 0; turn < 2; ++turn) {
    char trial[32];
    snprintf(trial, sizeof(trial), "%016llx", static_cast<unsigned long long>(seed * 0x9e3779b97f4a7c15ULL + turn));
    const int front = pick_front(client + turn * 7);
    const auto address = deployment_.at(fronts_[front].host, 3);
    const int socket = connect_to(address, 14000);
    if (socket < 0) {
      record_.line("%s no connection to front-%d", trial, front + 1);
      continue;
    }
    const std::string body(1700, 'p');
    const auto text = "POST /chat/1 HTTP/1.1\r\nHost: lm.example\r\nX-Trial-Id: " + std::string(trial) +
                      "\r\nX-Model: " + model + "\r\nX-Tokens: " + std::to_string(prompt) + "," +
                      std::to_string(most) + "\r\nX-Made-Tokens: " + std::to_string(events * 6) + "\r\nX-Prompt-Prefix: " + std::string(trial) + ":" +
                      std::to_string(prompt) + "\r\nX-Deadline-Ms: 12000\r\ncontent-length: 1700\r\n\r\n" + body;
    Try made;
    std::string buffer;
    Message answer;
    const bool written = write_all(socket, text);
    {
      const std::lock_guard guard(lock_);
      auto& own = tries_[trial];
      own.sent = now_ms();
      own.front = front;
      own.term = fronts_[front].told_to_end;
    }
    const bool head = written && read_head(socket, buffer, answer);
    const bool whole = head && read_body(socket, buffer, answer);
    ::close(socket);
    const auto ended = now_ms();
    {
      const std::lock_guard guard(lock_);
      auto& own = tries_[trial];
      own.ended = ended;
      own.status = answer.status();
      own.whole = whole;
      record_.line("%s model %s %d,%d of %d front-%d%s: sent %lld, %d %s after %lld ms; worker: %s", trial, model.c_str(), prompt,
                   events * 6, most, front + 1, own.term >= 0 ? " (told to end)" : "", static_cast<long long>(own.sent),
                   own.status, whole ? "whole" : "CUT", static_cast<long long>(ended - own.sent), own.at_worker.c_str());
    }
    if (answer.status() != 503 || !whole) return;
    pause_ms(static_cast<std::int64_t>(std::atof(answer.header("retry-after").c_str()) * 1000));
  }
}

int Case::run() {
  deployment_.folder = std::filesystem::temp_directory_path() / ("review-lost-" + std::to_string(getpid()));
  std::filesystem::create_directories(deployment_.folder);
  deployment();
  if (deployment_.ports == 0 ||
      !put_first({deployment_.at("127.0.71.1", 2), deployment_.at("127.0.71.2", 2)}, model_document(), 15000))
    return 2;
  for (int turn = 0; turn < 50 && !ready(deployment_.at(fronts_[2].host, 4)); ++turn) pause_ms(200);
  std::atomic<bool> stop{false};
  std::thread platform([&] {
    while (!stop) {
      const auto begun = now_ms();
      platform_turn();
      pause_ms(std::max<std::int64_t>(1, begun + 1000 - now_ms()));
    }
  });
  pause_ms(2500);
  const auto traffic = now_ms();
  const auto length = static_cast<std::int64_t>(env_or("LENGTH_S", 20)) * second;
  shift_at_ = traffic + static_cast<std::int64_t>(env_or("SHIFT_AT", 8.5) * 1000);
  roll_at_ = traffic + static_cast<std::int64_t>(env_or("ROLL_AT", 8) * 1000);
  std::mt19937_64 luck(static_cast<std::uint64_t>(env_or("SEED", 1)));
  std::exponential_distribution<double> gaps(rate_);
  double next = 0;
  int rolled = 0;
  std::int64_t next_note = 0;
  while (now_ms() < traffic + length) {
    const auto now = now_ms();
    while (next * 1000 <= static_cast<double>(now - traffic)) {
      next += gaps(luck);
      const auto client = static_cast<int>(luck() % 240);
      const auto seed = luck();
      ++open_;
      std::thread([this, client, seed] {
        call(client, seed);
        --open_;
      }).detach();
    }
    if (disturbed() && rolled < 2 && now >= roll_at_ + rolled * second) {
      const std::lock_guard guard(lock_);
      fronts_[rolled].told_to_end = now;
      fronts_[rolled].process->signal(SIGTERM);
      record_.line("SIGTERM to front-%d", rolled + 1);
      ++rolled;
    }
    if (now >= next_note) {
      next_note = now + second;
      for (const auto& worker : workers_) record_.line("%s", worker->standing().c_str());
    }
    pause_ms(5);
  }
  while (open_ > 0 && now_ms() < traffic + length + 15 * second) pause_ms(50);
  stop = true;
  platform.join();
  const std::lock_guard guard(lock_);
  const auto result = judge(tries_, record_);
  deployment_.end_all();
  std::error_code ignored;
  if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(deployment_.folder, ignored);
  return result;
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
