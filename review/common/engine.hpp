// A stand-in for a model worker with an engine as the users' sheet describes it: requests run in one batch, each token
// comes more slowly as more of them run, and prompts are read piece by piece between the tokens of other requests.
#pragma once
#include <algorithm>
#include <condition_variable>
#include <deque>

#include "workerorders.hpp"

namespace standins {

class EngineWorker {
 public:
  std::string ident;
  std::string plant;
  std::string zone = "z1";
  /// Figures of the sheet of supra-book.
  std::size_t slots = 64;
  std::size_t queue_most = 192;
  double step_ms = 4.43;
  double step_ms_per_slot = 0.0194;
  double prompt_tokens_per_ms = 38.1;
  double chunk_tokens = 2048;
  int tokens_per_event = 6;
  Record* record = nullptr;
  std::function<void(const std::string& trial, const char* what)> seen;

  bool start(const std::string& address) {
    std::thread([this] { work(); }).detach();
    return server_.start(address, [this](int socket, Message& request) { return take(socket, request); });
  }
  const std::string& address() const { return server_.address(); }
  void hold(const std::string& model) {
    const std::lock_guard guard(lock_);
    orders_.hold(model);
  }
  std::string list_entry() {
    const std::lock_guard guard(lock_);
    orders_.finish_order();
    return R"({"plant":")" + plant + R"(","address":")" + address() + R"(","zone":")" + zone +
           R"(","revision":"v1","capacity":)" + std::to_string(slots) +
           R"(,"condition":"ready","warmup_ms":0,"phase":"both","models":)" + orders_.models_text() + R"(,"ident":")" + ident +
           R"("})";
  }
  std::string standing() {
    const std::lock_guard guard(lock_);
    std::string models;
    for (const auto& model : orders_.held()) models += " " + model;
    return ident + " runs " + std::to_string(running_.size()) + " waits " + std::to_string(queue_.size()) + " step " +
           std::to_string(last_step_ms_) + " ms holds" + models;
  }

 private:
  struct Job {
    int socket;
    std::string trial;
    std::string model;
    int precedence = 5;
    double prompt_left = 0;
    int tokens = 0;
    int made = 0;
    int first_event = 1;
    std::int64_t due = 0;
    bool begun = false;
    bool good = true;
    bool done = false;
  };
  using JobPointer = std::shared_ptr<Job>;

  bool take(int socket, Message& request) {
    const auto unit = request.header("x-expect-unit");
    const auto echo = "X-Trial-Id: " + request.header("x-trial-id") + "\r\n";
    if (!unit.empty() && unit != ident) return reply(socket, 421, "X-Not-Run: 1\r\n" + echo, "");
    const auto target = request.target();
    if (target == "/probe") return reply(socket, 200, "X-Unit: " + ident + "\r\n", "");
    if (target == "/api/report") {
      std::string text;
      {
        const std::lock_guard guard(lock_);
        orders_.finish_order();
        text = R"({"phase":"both","models":)" + orders_.models_text() + R"(,"saturated":)" +
               (orders_.busy() ? "true" : "false") + R"(,"sequence":)" + std::to_string(orders_.sequence()) +
               R"(,"queued":)" + std::to_string(queue_.size()) + R"(,"active":)" + std::to_string(running_.size()) +
               R"(,"cache_used":0,"cache_total":157145,"handles":0})";
      }
      return reply(socket, 200, "content-type: application/json\r\n", text);
    }
    if (target == "/api/order") {
      int status = 0;
      {
        const std::lock_guard guard(lock_);
        status = orders_.order(request.body);
      }
      if (record != nullptr) record->line("order at %s: %s -> %d", ident.c_str(), request.body.c_str(), status);
      return reply(socket, status, "", "");
    }
    return run(socket, request, echo);
  }

  bool run(int socket, const Message& request, const std::string& echo) {
    auto job = std::make_shared<Job>();
    job->socket = socket;
    job->trial = request.header("x-trial-id");
    job->model = request.header("x-model");
    const auto tokens = request.header("x-tokens");
    job->prompt_left = std::atof(tokens.c_str());
    const auto comma = tokens.find(',');
    job->tokens = comma == std::string::npos ? 0 : std::atoi(tokens.c_str() + comma + 1);
    // The callers tell how long the answer is; a model would find out.
    if (const auto made = request.header("x-made-tokens"); !made.empty()) job->tokens = std::atoi(made.c_str());
    if (const auto last = request.header("last-event-id"); !last.empty()) {
      job->first_event = std::atoi(last.c_str()) + 1;
      job->prompt_left += job->first_event * tokens_per_event;
      job->tokens -= (job->first_event - 1) * tokens_per_event;
    }
    if (const auto rank = request.header("x-precedence"); !rank.empty()) job->precedence = std::atoi(rank.c_str());
    if (const auto wait = request.header("x-deadline-ms"); !wait.empty()) job->due = now_ms() + std::atoi(wait.c_str());
    std::unique_lock guard(lock_);
    orders_.finish_order();
    if (!orders_.serves(job->model)) {
      guard.unlock();
      return reply(socket, 421, "X-Not-Run: 1\r\n" + echo, "");
    }
    if (queue_.size() >= queue_most) {
      guard.unlock();
      return reply(socket, 503, "X-Not-Run: 1\r\n" + echo, "");
    }
    queue_.push_back(job);
    changed_.notify_all();
    ended_.wait(guard, [&] { return job->done; });
    return job->good;
  }

  /// True when the one who asked has closed the connection.
  static bool left(int socket) {
    char byte = 0;
    return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  void end(const JobPointer& job, bool good) {
    job->good = good;
    job->done = true;
    ended_.notify_all();
  }

  std::string head_of(const Job& job) const {
    return "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nX-Trial-Id: " + job.trial + "\r\nX-Server-Seal: " +
           ident + "\r\nX-Weight-Revisions: 1\r\nX-Unit-Load: " + std::to_string(running_.size()) + "," +
           std::to_string(queue_.size()) + "," + std::to_string(slots) + "\r\ntransfer-encoding: chunked\r\n\r\n";
  }

  /// The token that this step gives to one request.
  void token(const JobPointer& job) {
    ++job->made;
    const bool last = job->made >= job->tokens;
    if (job->made % tokens_per_event != 0 && !last) return;
    const auto number = job->first_event + (job->made - 1) / tokens_per_event;
    const auto event = "id: " + std::to_string(number) + "\ndata: " + std::string(40, 'x') + "\n\n";
    char size[16];
    snprintf(size, sizeof(size), "%zx\r\n", event.size());
    std::string text;
    if (!job->begun) text = head_of(*job);
    job->begun = true;
    text += size + event + "\r\n";
    if (last) text += "0\r\n\r\n";
    if (!write_all(job->socket, text) || (!last && left(job->socket))) {
      if (seen) seen(job->trial, "dropped");
      return end(job, false);
    }
    if (last) {
      if (seen) seen(job->trial, "whole");
      end(job, true);
    }
  }

  void work() {
    auto next = Clock::now();
    std::unique_lock guard(lock_);
    while (true) {
      if (running_.empty() && queue_.empty()) {
        changed_.wait(guard);
        next = Clock::now();
      }
      std::stable_sort(queue_.begin(), queue_.end(),
                       [](const auto& one, const auto& other) { return one->precedence < other->precedence; });
      while (running_.size() < slots && !queue_.empty()) {
        auto job = queue_.front();
        queue_.pop_front();
        if (left(job->socket)) {
          end(job, false);
          continue;
        }
        if (seen) seen(job->trial, "begun");
        running_.push_back(job);
      }
      double chunk = chunk_tokens;
      for (const auto& job : running_) {
        const auto part = std::min(chunk, job->prompt_left);
        job->prompt_left -= part;
        chunk -= part;
      }
      const auto time =
          step_ms + step_ms_per_slot * static_cast<double>(running_.size()) + (chunk_tokens - chunk) / prompt_tokens_per_ms;
      last_step_ms_ = time;
      next += std::chrono::microseconds(static_cast<std::int64_t>(time * 1000));
      guard.unlock();
      std::this_thread::sleep_until(next);
      guard.lock();
      const auto now = now_ms();
      for (const auto& job : running_) {
        if (job->due != 0 && now >= job->due) {
          if (seen) seen(job->trial, "past its deadline");
          end(job, false);
        } else if (job->prompt_left <= 0) {
          token(job);
        }
      }
      std::erase_if(running_, [](const auto& job) { return job->done; });
    }
  }

  Server server_;
  std::mutex lock_;
  std::condition_variable changed_;
  std::condition_variable ended_;
  WorkerOrders orders_;
  std::deque<JobPointer> queue_;
  std::vector<JobPointer> running_;
  double last_step_ms_ = 0;
};

}  // namespace standins
