#pragma once
#include "core/placer.hpp"

namespace weldsail {

/// What a worker is told to do.
enum class OrderKind { load_model, unload_model, load_adapter, unload_adapter };

/// An order on its way to a worker.
struct Order {
  OrderKind kind = OrderKind::load_model;
  std::string address;
  std::string name;
  Moment sent = 0;
  int answer = 0;
};

/// A load that was ordered and that no later status has disproved.
struct OrderedLoad {
  std::string name;
  bool adapter = false;
  Moment settled = 0;
};

/// The order part: one order at a time for each worker, loads at the store's pace.
struct OrderState {
  Moment bound = 3000;
  std::map<std::uint64_t, Order> open;
  std::map<std::string, std::vector<OrderedLoad>> ordered;
  std::map<std::string, Moment> retry_at;
  std::map<std::string, Moment> ended_at;
  std::map<std::string, Moment> doubtful_pulls;
  std::map<std::string, Moment> unassigned_since;
  std::vector<std::string> aborted;
  Moment next_pull = 0;
  Moment pull_gap = 0;
  std::uint64_t term = 0;
  std::uint64_t sent = 0;
};

/// Models on their way to each worker.
std::map<std::string, std::set<std::string>> orders_under_way(const OrderState& state);
/// Begins a term: nothing may be pulled until the store's pace allows a first pull from now.
void orders_begin(OrderState& state, std::uint64_t term, double loads_per_s, Moment now);
/// Gives the orders that the committed placement asks for now.
void orders_tick(OrderState& state, const wire::Placement& placement, const FitInput& input, PipeNumbers& numbers,
                 Effects& effects);
/// Takes a pipe's event; units whose retirement broke down are added to `aborted`.
/// The worker's address when an order to it has just ended.
std::optional<std::string> orders_pipe(OrderState& state, const Event& event, Moment now, Effects& effects);
/// Loads whose worker went silent may still begin: no other is given until the worker has been heard, has
/// refused a connection, or four bounds have passed.
bool pull_doubtful(OrderState& state, const FitInput& input);
/// Takes a status that came in: settles loads that it shows or disproves.
void orders_heard(OrderState& state, const WorkerView& view);

}  // namespace weldsail
