// A stand-in for a model worker: requests, orders and reports as the pages describe them.
#pragma once
#include "standins.hpp"

namespace standins {

struct ModelSizes {
  double weights_mb = 0;
  double load_s = 0;
  double adapter_mb = 0;
};

/// An order as it came to a worker.
struct SeenOrder {
  std::int64_t at = 0;
  std::string holder;
  std::uint64_t fence = 0;
  int status = 0;
  std::string text;
};

inline std::string json_text_at(const std::string& body, const std::string& name) {
  const auto place = body.find("\"" + name + "\":\"");
  if (place == std::string::npos) return {};
  const auto begin = place + name.size() + 4;
  return body.substr(begin, body.find('"', begin) - begin);
}

inline std::optional<std::uint64_t> json_number_at(const std::string& body, const std::string& name) {
  const auto place = body.find("\"" + name + "\":");
  if (place == std::string::npos) return std::nullopt;
  return std::strtoull(body.c_str() + place + name.size() + 3, nullptr, 10);
}

class ModelWorker {
 public:
  std::string ident;
  std::string plant;
  std::string zone = "z1";
  std::string condition = "ready";
  int slots = 64;
  double room_mb = 220000;
  std::size_t adapter_places = 8;
  std::map<std::string, ModelSizes> sizes;
  /// Events of an answer, and the time between two of them.
  int events = 8;
  int event_ms = 20;
  Record* record = nullptr;
  /// Milliseconds that an order's answer is held back, after the order was taken.
  std::atomic<int> hold_orders{0};

  bool start(const std::string& address) {
    return server_.start(address, [this](int socket, Message& request) { return take(socket, request); });
  }
  const std::string& address() const { return server_.address(); }

  void hold(const std::string& model) {
    const std::lock_guard guard(lock_);
    held_[model];
  }

  std::string list_entry() {
    const std::lock_guard guard(lock_);
    finish();
    return R"({"plant":")" + plant + R"(","address":")" + address() + R"(","zone":")" + zone +
           R"(","revision":"v1","capacity":)" + std::to_string(slots) + R"(,"condition":")" + condition +
           R"(","warmup_ms":0,"phase":"both","models":)" + models_text() + R"(,"ident":")" + ident + R"("})";
  }

  std::vector<SeenOrder> orders() {
    const std::lock_guard guard(lock_);
    return orders_;
  }
  /// What an order asked for beyond the room, or empty.
  std::string overloaded() {
    const std::lock_guard guard(lock_);
    return overloaded_;
  }
  std::uint64_t ran() const { return ran_; }

 private:
  struct Pending {
    bool load;
    std::string model;
    std::string adapter;
    std::int64_t done_at;
  };

  std::string models_text() const {
    std::string text = "[";
    for (const auto& [model, adapters] : held_) {
      text += (text.size() > 1 ? ",{" : "{") + std::string(R"("label":")") + model + R"(","revision":1,"adapters":[)";
      for (const auto& adapter : adapters) text += (text.back() == '[' ? "\"" : ",\"") + adapter + "\"";
      text += "]}";
    }
    return text + "]";
  }

  void finish() {
    if (!pending_ || now_ms() < pending_->done_at) return;
    const auto done = *pending_;
    pending_.reset();
    if (done.adapter.empty() && done.load) held_[done.model];
    if (done.adapter.empty() && !done.load) held_.erase(done.model);
    if (!done.adapter.empty() && held_.contains(done.model)) {
      if (done.load)
        held_[done.model].insert(done.adapter);
      else
        held_[done.model].erase(done.adapter);
    }
  }

  double taken_mb() const {
    double sum = 0;
    for (const auto& [model, adapters] : held_) {
      const auto found = sizes.find(model);
      if (found != sizes.end())
        sum += found->second.weights_mb + found->second.adapter_mb * static_cast<double>(adapters.size());
    }
    return sum;
  }

  int order(const std::string& body) {
    finish();
    const auto load = json_text_at(body, "operation") == "load";
    const auto model = json_text_at(body, "model");
    const auto adapter = json_text_at(body, "adapter");
    const auto holder = json_text_at(body, "holder");
    const auto fence = json_number_at(body, "fence");
    const auto expected = json_number_at(body, "expected");
    if (model.empty() || holder.empty() || !fence) return 400;
    if (*fence < fence_) return 412;
    fence_ = *fence;
    if (pending_ || (expected && *expected != sequence_)) return 409;
    const bool there = held_.contains(model) && (adapter.empty() || held_[model].contains(adapter));
    if (there == load) return 200;
    if (load && !sizes.contains(model)) return 400;
    std::int64_t time = 10;
    if (load && adapter.empty()) {
      if (taken_mb() + sizes[model].weights_mb > room_mb) overloaded_ = "weights of " + model;
      time = static_cast<std::int64_t>(sizes[model].load_s * (had_.contains(model) ? 200 : 1000));
      had_.insert(model);
    }
    if (load && !adapter.empty()) {
      std::size_t count = 0;
      for (const auto& [name, adapters] : held_) count += adapters.size();
      if (count + 1 > adapter_places) overloaded_ = "adapter " + adapter + " of " + model;
    }
    ++sequence_;
    pending_ = Pending{load, model, adapter, now_ms() + time};
    return 202;
  }

  bool take(int socket, Message& request) {
    const auto target = request.target();
    const auto unit = request.header("x-expect-unit");
    if (!unit.empty() && unit != ident) return reply(socket, 421, "X-Not-Run: 1\r\n" + echo(request), "");
    if (target == "/probe") return reply(socket, 200, "X-Unit: " + ident + "\r\n", "");
    if (target == "/api/report") {
      std::string text;
      {
        const std::lock_guard guard(lock_);
        finish();
        text = R"({"phase":"both","models":)" + models_text() + R"(,"saturated":)" + (pending_ ? "true" : "false") +
               R"(,"sequence":)" + std::to_string(sequence_) + R"(,"queued":0,"active":)" +
               std::to_string(active_.load()) + R"(,"cache_used":0,"cache_total":157145,"handles":0})";
      }
      return reply(socket, 200, "content-type: application/json\r\n", text);
    }
    if (target == "/api/order") {
      int status = 0;
      {
        const std::lock_guard guard(lock_);
        status = order(request.body);
        orders_.push_back({now_ms(), json_text_at(request.body, "holder"),
                           json_number_at(request.body, "fence").value_or(0), status, request.body});
      }
      if (record != nullptr) record->line("order at %s: %s -> %d", ident.c_str(), request.body.c_str(), status);
      if (hold_orders > 0) pause_ms(hold_orders);
      return reply(socket, status, "", "");
    }
    return run(socket, request);
  }

  static std::string echo(const Message& request) { return "X-Trial-Id: " + request.header("x-trial-id") + "\r\n"; }

  bool run(int socket, const Message& request) {
    const auto wanted = request.header("x-model");
    const auto slash = wanted.find('/');
    const auto model = wanted.substr(0, slash);
    bool there = false;
    {
      const std::lock_guard guard(lock_);
      finish();
      const auto found = held_.find(model);
      there = found != held_.end() && (slash == std::string::npos || found->second.contains(wanted.substr(slash + 1)));
      if (pending_ && pending_->model == model && !pending_->load && pending_->adapter.empty()) there = false;
    }
    if (!there) return reply(socket, 421, "X-Not-Run: 1\r\n" + echo(request), "");
    ++ran_;
    ++active_;
    if (record != nullptr)
      record->line("run at %s: %s", ident.c_str(), request.header("x-trial-id").c_str());
    const auto last = request.header("last-event-id");
    bool good = write_all(socket, "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n" + echo(request) +
                                      "X-Server-Seal: " + ident + "\r\nX-Weight-Revisions: 1\r\nX-Unit-Load: " +
                                      std::to_string(active_.load()) + ",0," + std::to_string(slots) +
                                      "\r\ntransfer-encoding: chunked\r\n\r\n");
    for (int number = last.empty() ? 1 : std::atoi(last.c_str()) + 1; good && number <= events; ++number) {
      pause_ms(event_ms);
      const auto event = "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
      char size[16];
      snprintf(size, sizeof(size), "%zx\r\n", event.size());
      good = write_all(socket, size + event + "\r\n");
    }
    if (good) good = write_all(socket, "0\r\n\r\n");
    --active_;
    return good;
  }

  Server server_;
  std::mutex lock_;
  std::map<std::string, std::set<std::string>> held_;
  std::set<std::string> had_;
  std::optional<Pending> pending_;
  std::uint64_t sequence_ = 0;
  std::uint64_t fence_ = 0;
  std::vector<SeenOrder> orders_;
  std::string overloaded_;
  std::atomic<std::uint64_t> ran_{0};
  std::atomic<int> active_{0};
};

}  // namespace standins
