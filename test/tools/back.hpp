#pragma once
#include <deque>
#include <memory>

#include "core/json.hpp"
#include "shell/server.hpp"
#include "tools/backmodel.hpp"

namespace weldsail {

/// What the stand-in platform is like.
struct PlatformPlan {
  std::string address;
  Moment pace_ms = 500;
  Moment lag_ms = 1000;
};

/// A stand-in worker on its own listener.
class BackWorker {
 public:
  BackWorker(Loop& loop, BackPlan plan, BackStore& store);
  Outcome<std::string> listen();
  void tick(Moment now);
  bool control(const std::string& action);
  const BackModel& model() const { return model_; }

 private:
  void carry_out();
  Loop& loop_;
  BackModel model_;
  std::unique_ptr<Server> server_;
};

/// Stand-in workers, store and platform in one process, with their records.
class Back {
 public:
  Back(Loop& loop, PlatformPlan plan, std::vector<BackPlan> workers, double loads_per_s);
  std::error_code listen();
  void tick(Moment now);
  const std::string& platform_address() const { return plan_.address; }
  std::vector<std::unique_ptr<BackWorker>>& workers() { return workers_; }
  const BackStore& store() const { return store_; }
  std::uint64_t asks_refused() const { return refused_; }
  /// All that was seen, as JSON: runs, orders, pulls, breaches.
  std::string record_text() const;

 private:
  void take(const RequestArrived& request);
  std::string list_text() const;

  Server server_;
  PlatformPlan plan_;
  BackStore store_;
  std::vector<std::unique_ptr<BackWorker>> workers_;
  std::deque<std::pair<Moment, std::string>> lists_;
  std::string shown_;
  Moment last_ask_ = -1000000;
  std::uint64_t asks_ = 0;
  std::uint64_t refused_ = 0;
};

/// Reads the workers of a plan document.
std::vector<BackPlan> read_back_plans(const rapidjson::Value& document);
/// Reads a plan document ({"platform": {...}, "store": {...}, "workers": [...]}).
Outcome<std::unique_ptr<Back>> read_back(Loop& loop, const std::string& bytes);

}  // namespace weldsail
