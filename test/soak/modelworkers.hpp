#pragma once
#include <map>
#include <memory>
#include <set>

#include "core/json.hpp"
#include "shell/server.hpp"

namespace weldsail::soak {

/// Stand-in workers in a deployment's form: each holds a few of many models and of their adapters, takes orders to load
/// and unload, and turns away what it doesn't hold. All of them run in the soak's own process.
class ModelWorkers {
 public:
  explicit ModelWorkers(Loop& loop) : loop_(loop) {}
  /// Begins to listen with so many workers; false where an address can't be had.
  bool start(std::size_t workers);
  void tick(Moment now);
  /// The platform's list.
  std::string list_text() const;
  /// Loads from the store, loads of all kinds, and orders that would have taken more than a worker has.
  std::size_t store_loads() const { return store_loads_; }
  std::size_t orders() const { return orders_; }
  std::size_t over_limit() const { return over_limit_; }
  /// Requests that came with a caller's key, or for another tenant than the callers' own.
  std::size_t wrong_tenants() const { return wrong_tenants_; }

  static std::string plant_text();
  static std::string model_name(std::size_t number) { return "model-" + std::to_string(number); }
  static constexpr std::size_t models = 30;
  /// A stream has one event for each token that its request allows, so long after one another.
  static constexpr Moment event_pause = 40;
  static constexpr const char* stream_prefix = "/talk/";
  /// For whom all requests must run.
  static constexpr const char* tenant = "generators";
  /// Adapters of model 0; the others have none.
  static constexpr std::size_t adapters = 40;

 private:
  struct Order {
    bool load = true;
    std::string model;
    std::string adapter;
    Moment ends = 0;
  };
  struct Running {
    std::uint64_t request = 0;
    std::string trial;
    /// When it ends, or gives its next event.
    Moment due = 0;
    /// Events of a stream, and those of them that were given; none: an answer in one piece.
    std::uint64_t events = 0;
    std::uint64_t given = 0;
  };
  struct Worker {
    std::string identity;
    std::string address;
    std::unique_ptr<Server> server;
    std::map<std::string, std::set<std::string>> held;
    std::set<std::string> disk;
    std::uint64_t sequence = 0;
    std::optional<Order> order;
    std::vector<Running> running;
  };
  void take(Worker& worker, const RequestArrived& request);
  void take_order(Worker& worker, const RequestArrived& request);
  int begin_order(Worker& worker, Order order, std::optional<std::uint64_t> expected);
  void take_run(Worker& worker, const RequestArrived& request);
  /// Answers, or gives the next event; true with the last one.
  static bool give(Worker& worker, Running& item);
  bool has_room(const Worker& worker, const Order& order) const;
  void end_order(Worker& worker) const;
  std::string report_text(const Worker& worker) const;
  void write_models(const Worker& worker, JsonText& text) const;

  Loop& loop_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::size_t store_loads_ = 0;
  std::size_t orders_ = 0;
  std::size_t over_limit_ = 0;
  std::size_t wrong_tenants_ = 0;
};

}  // namespace weldsail::soak
