#pragma once
#include "core/placement/placer.hpp"
#include "core/placement/pulls.hpp"

namespace weldsail {

/// What a worker is told to do; a fence only makes it refuse all that was sent before.
enum class OrderKind { load_model, unload_model, load_adapter, unload_adapter, fence };

/// An order on its way to a worker.
struct Order {
  OrderKind kind = OrderKind::load_model;
  std::string address;
  std::string name;
  std::string unit;
  std::string instance;
  Moment sent = 0;
  int answer = 0;
};

/// A load that was ordered and that no later status has disproved.
struct OrderedLoad {
  std::string name;
  bool adapter = false;
  Moment settled = 0;
};

/// A load that the placement asks for; lower ranks are more urgent.
struct WantedLoad {
  std::pair<int, Moment> rank;
  const WorkerView* view = nullptr;
  OrderKind kind = OrderKind::load_model;
  std::string name;
};

/// The order part: one order at a time for each worker, loads at the store's pace.
struct OrderState {
  Moment bound = 3000;
  double loads_per_s = 1;
  std::map<std::uint64_t, Order> open;
  std::map<std::string, std::vector<OrderedLoad>> ordered;
  std::map<std::string, Moment> retry_at;
  std::map<std::string, Moment> ended_at;
  std::map<std::string, Moment> unassigned_since;
  PullState pulls;
  std::set<std::string> announced;
  std::vector<std::string> aborted;
  std::uint64_t term = 0;
  std::uint64_t sent = 0;
  std::uint64_t serial = 0;
};

bool is_load(OrderKind kind);
/// Models on their way to each worker.
std::map<std::string, std::set<std::string>> orders_under_way(const OrderState& state);
/// Begins a term on the adopted placement.
void orders_begin(OrderState& state, std::uint64_t term, const wire::Placement& adopted, Moment now);
/// True while an order to the worker is under way.
bool orders_open_at(const OrderState& state, const std::string& address);
/// True when the worker may be given an order now.
bool orders_free(const OrderState& state, const wire::WorkerRecord& record, const FitInput& input);
/// Loads that the placement asks for now, the most urgent first.
std::vector<WantedLoad> orders_wanted(const OrderState& state, const wire::Placement& placement, const FitInput& input);
/// Writes into the placement which workers may be told to load next, so that a later holder knows.
void orders_announce(const OrderState& state, wire::Placement& placement, const FitInput& input);
/// Gives the orders that the committed placement asks for now; true when a load waits to be announced.
bool orders_tick(OrderState& state, const wire::Placement& placement, const FitInput& input, PipeNumbers& numbers,
                 Effects& effects);
/// Takes a pipe's event; units whose retirement broke down are added to `aborted`.
/// The worker's address when an order to it has just ended.
std::optional<std::string> orders_pipe(OrderState& state, const Event& event, Moment now, Effects& effects);
/// Takes a status that came in: settles loads that it shows or disproves.
void orders_heard(OrderState& state, const WorkerView& view);

}  // namespace weldsail
