#pragma once
#include <memory>

#include "core/asks.hpp"
#include "core/placement/view.hpp"
#include "sim/simworkers.hpp"

namespace weldsail::sim {

/// Callers' requests of one day.
struct AskPlan {
  double busy_per_s = 54;
  double rare_per_s = 7;
  std::size_t busy_at_once = 2;
  Moment shift = 11000;
  double adapter_share = 0.2;
  Moment run_time = 1500;
  /// A try that waits for longer is refused.
  Moment deadline = 20000;
  /// Further tries of a caller who is refused, and its pause before each.
  std::size_t further_tries = 0;
  Moment pause = 1000;
  /// Data nodes; each of as many reporters tells its share of the requests, or one of them all.
  std::size_t data_nodes = 3;
  std::size_t reporters = 1;
  /// Each reporter tells its share at a time of its own, not all at once, and without a further report of what begins
  /// to wait.
  bool reports_apart = false;
};

/// One request, as far as placing is concerned.
struct AskedModel {
  std::string model;
  std::string adapter;
  Moment arrived = 0;
  Moment began = 0;
  Moment ends = 0;
  bool failed = false;
  std::size_t further_tries = 0;
};

/// Models and adapters that were asked for four times or more, over eight seconds, and how many of them were never
/// served.
struct Starved {
  std::size_t often = 0;
  std::vector<std::string> never;
};
Starved starved_of(const std::vector<AskedModel>& asked);

/// Control nodes that place models on stand-in workers, and a data node's part of it.
class PlacingFleet {
 public:
  PlacingFleet(std::uint64_t seed, const WorkersPlan& workers, const AskPlan& asks);
  PlacingFleet(const PlacingFleet&) = delete;
  PlacingFleet& operator=(const PlacingFleet&) = delete;
  /// Lets callers ask until the given moment.
  void ask_until(Moment when);
  std::string holder() const;
  const ControlState* steward() const;
  World world;
  std::unique_ptr<StandIns> stands;
  std::vector<std::string> controls;
  FleetKnown known;
  std::vector<AskedModel> asked;
  std::size_t misdirected = 0;

 private:
  void add_control(const std::string& address, std::size_t place);
  void add_data(const std::string& address, std::size_t place);
  void step();
  void arrive();
  void ask(AskedModel item);
  /// Refuses a try; its caller may come back with another.
  void refuse(AskedModel& item);
  void run();
  void report(std::uint64_t round);
  /// Reports of those reporters whose time has come.
  void report_apart();
  /// Tells the holder what the callers of one reporter ask for.
  void report_share(const std::string& target, std::size_t share, std::uint64_t round);
  bool begin(AskedModel& item);
  /// Asks of one reporter's callers for a model, or for one of its adapters.
  AskRecord& asks_of(std::size_t place, const std::string& model, const std::string& adapter);
  void write_adapters(std::size_t share, const std::string& model, wire::Backlog& backlog);

  WorkersPlan workers_;
  AskPlan asks_;
  Moment until_ = 0;
  Moment next_report_ = 0;
  double due_busy_ = 0;
  double due_rare_ = 0;
  std::vector<std::size_t> open_;
  std::set<std::string> told_waiting_;
  std::map<std::string, Moment> avoided_;
  std::map<std::string, Moment> used_;
  /// By reporter, model and adapter; an empty adapter stands for the model.
  std::map<std::size_t, std::map<std::pair<std::string, std::string>, AskRecord>> records_;
  /// By reporter, model and worker.
  std::map<std::size_t, std::map<std::pair<std::string, std::string>, wire::Counter>> counters_;
};

}  // namespace weldsail::sim
