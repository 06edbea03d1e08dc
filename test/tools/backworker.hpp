#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "shell/server.hpp"

namespace weldsail {

/// What a stand-in worker is like.
struct BackPlan {
  std::string address;
  std::string instance;
  std::string service;
  std::string cell;
  std::string locality;
  std::string phase;
  std::int64_t room_mb = 0;
  std::uint64_t adapter_capacity = 0;
  std::uint64_t slots = 8;
  Moment load_ms = 1000;
  Moment piece_ms = 10;
  double prefill_tokens_per_s = 2000;
};

/// One run as its worker saw it.
struct BackRun {
  std::string run;
  std::string instance;
  std::uint64_t from = 0;
  std::uint64_t pieces = 0;
  bool finished = false;
};

/// One order as its worker saw it.
struct BackOrder {
  Moment when = 0;
  std::uint64_t epoch = 0;
  std::string path;
  std::string name;
  int answer = 0;
};

/// The store that all loads are pulled from.
struct BackStore {
  double loads_per_s = 1;
  std::vector<Moment> pulls;
};

/// A stand-in worker on its own listener.
class BackWorker {
 public:
  BackWorker(Loop& loop, BackPlan plan, BackStore& store);
  Outcome<std::string> listen();
  void tick(Moment now);
  /// kill, revive, freeze, wake, drain, undrain, cut (break runs), refuse_unload, empty.
  bool control(const std::string& action);
  const BackPlan& plan() const { return plan_; }
  const std::vector<BackRun>& runs() const { return runs_; }
  const std::vector<BackOrder>& orders() const { return orders_; }
  std::uint64_t breaches() const { return breaches_; }
  bool dead() const { return dead_; }

 private:
  struct Active {
    std::size_t record = 0;
    std::uint64_t next = 0;
    std::uint64_t until = 0;
    Moment at = 0;
    std::string model;
    bool call = false;
    bool queued = false;
    std::uint64_t prompt_tokens = 0;
  };
  void take(const RequestArrived& request);
  void take_run(const RequestArrived& request);
  void take_order(const RequestArrived& request);
  int obey(const std::string& path, const std::string& name, const std::string& model, std::int64_t weights);
  void refuse(std::uint64_t request, int status, const std::string& code);
  void advance(std::uint64_t request, Active& active, Moment now);
  std::string status_text() const;

  Loop& loop_;
  BackPlan plan_;
  BackStore& store_;
  std::unique_ptr<Server> server_;
  std::map<std::string, std::pair<std::int64_t, Moment>> models_;
  std::map<std::string, Moment> adapters_;
  std::map<std::uint64_t, Active> active_;
  std::vector<RequestArrived> frozen_requests_;
  std::vector<BackRun> runs_;
  std::vector<BackOrder> orders_;
  std::uint64_t highest_epoch_ = 0;
  std::uint64_t breaches_ = 0;
  std::uint64_t births_ = 1;
  bool draining_ = false;
  bool frozen_ = false;
  bool dead_ = false;
  bool refuse_unload_ = false;
};

}  // namespace weldsail
