#pragma once
#include <deque>

#include "core/dialect.hpp"
#include "sim/world.hpp"

namespace weldsail::sim {

/// How the stand-in platform and its workers are.
struct WorkersPlan {
  std::string service = "lm";
  std::size_t workers = 12;
  std::size_t localities = 4;
  std::size_t models = 39;
  std::size_t busy_models = 5;
  std::size_t adapters = 6;
  std::int64_t room_mb = 220000;
  std::int64_t weights_mb = 72700;
  std::uint64_t adapter_places = 8;
  Moment load_time = 2000;
  Moment disk_time = 400;
  double loads_per_s = 4.2;
  Moment list_lag = 800;
  Moment report_lag = 100;
  /// Share of orders whose answer is lost.
  double answers_lost = 0;
  /// Share of list pages that fail.
  double lists_failed = 0;
  /// Workers on a page of the list.
  std::size_t list_page = 5;
};

/// The configuration that fits the plan.
PathConfig workers_config(const WorkersPlan& plan);
std::string model_name(std::size_t number);

/// A stand-in worker.
struct StandInWorker {
  std::string identity;
  std::string address;
  std::string locality;
  bool alive = true;
  bool dark = false;
  bool draining = false;
  std::map<std::string, std::set<std::string>> held;
  std::set<std::string> disk;
  std::uint64_t sequence = 0;
  std::uint64_t fence = 0;
  std::optional<WorkerOrder> order;
  std::uint64_t order_number = 0;
  std::deque<std::pair<Moment, std::string>> reports;
  std::vector<std::function<void()>> buffered;
  /// Sender, holder and fence of each order that came, and when.
  std::vector<std::tuple<Moment, std::string, std::uint64_t>> came;
};

/// The platform's list, the workers and the store, in a simulated world; it notes every broken rule.
class StandIns {
 public:
  StandIns(World& world, const WorkersPlan& plan);
  StandIns(const StandIns&) = delete;
  StandIns& operator=(const StandIns&) = delete;
  /// Ends a worker's life and begins another, empty but for its disk, after the given time.
  void restart(std::size_t worker, Moment down);
  void dark(std::size_t worker, bool dark);
  void drain(std::size_t worker);
  void gone(std::size_t worker);
  /// True when the worker runs a request for the model now.
  bool serves(const std::string& identity, const std::string& model, const std::string& adapter) const;
  const std::vector<StandInWorker>& workers() const { return workers_; }
  /// Rules that were broken.
  std::vector<std::string> faults;
  /// While false, loads count toward no ceiling and turns toward no lease (the core isn't settled).
  std::function<bool(const std::string& node)> excused;
  std::size_t store_loads = 0;
  std::size_t orders = 0;
  std::size_t reports = 0;
  std::size_t lists = 0;
  bool list_down = false;
  /// Orders that a worker refuses though it could take them.
  std::function<bool(const StandInWorker& worker, const WorkerOrder& order)> refuses;

 private:
  void listen(std::size_t place);
  void take(std::size_t place, const std::string& node, std::uint64_t life, const OpenPipe& pipe);
  int take_order(StandInWorker& worker, const std::string& node, const OpenPipe& pipe);
  void check_turns(StandInWorker& worker, const std::string& node, const std::string& holder, std::uint64_t fence);
  void check_ceiling();
  void begin(StandInWorker& worker, const WorkerOrder& order, bool from_store);
  void end(const std::string& identity, std::uint64_t number);
  void snapshot(StandInWorker& worker);
  void answer(const std::string& node, std::uint64_t life, std::uint64_t pipe, int status, std::string body);
  void answer_list(const std::string& node, std::uint64_t life, const OpenPipe& pipe);
  std::string unit_text(const StandInWorker& worker) const;
  std::string models_text(const StandInWorker& worker) const;
  void show();

  World& world_;
  WorkersPlan plan_;
  std::vector<StandInWorker> workers_;
  std::deque<Moment> begun_;
  std::vector<std::string> shown_;
  std::uint64_t lives_ = 0;
};

}  // namespace weldsail::sim
