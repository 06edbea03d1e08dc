#include <algorithm>

#include "core/placement/orders.hpp"

namespace weldsail {
namespace {

constexpr std::size_t announced_most = 4;

struct Wanter {
  const OrderState& state;
  const FitInput& input;
  std::vector<WantedLoad> wanted = {};

  bool loaded_somewhere(const std::string& name, bool adapter) const {
    const auto reported = std::ranges::any_of(input.watch->views, [&](const auto& item) {
      const auto& status = item.second.status;
      return status && (adapter ? status->adapters.contains(name) : status->models.contains(name));
    });
    return reported || std::ranges::any_of(state.ordered, [&](const auto& item) {
             return std::ranges::any_of(item.second, [&](const OrderedLoad& load) { return load.name == name; });
           });
  }

  void want(const WorkerView& view, OrderKind kind, const std::string& name, const std::string& unit) {
    const auto demand = input.demand.find(unit);
    const bool waited = demand != input.demand.end() && demand->second.waiting > 0;
    const bool needed = waited && !loaded_somewhere(name, kind == OrderKind::load_adapter);
    wanted.push_back({{needed ? 0 : 1, waited ? -demand->second.oldest : 0}, &view, kind, name});
  }

  void want_loads(const wire::WorkerRecord& record, const WorkerView& view) {
    static const std::vector<OrderedLoad> none;
    const auto found = state.ordered.find(view.address);
    const auto& ordered = found == state.ordered.end() ? none : found->second;
    const auto under_way = [&](const std::string& name) {
      return std::ranges::any_of(ordered, [&](const OrderedLoad& item) { return item.name == name; });
    };
    for (const auto& unit : record.units()) {
      const auto model = unit_model(unit);
      const auto options = input.document->models.find(model);
      if (options == input.document->models.end() || view.status->models.contains(model) || under_way(model)) continue;
      if (room_taken(input, record) <= view.status->room_mb) want(view, OrderKind::load_model, model, unit);
    }
    const auto adapters_ordered = static_cast<std::uint64_t>(
        std::ranges::count_if(ordered, [](const OrderedLoad& item) { return item.adapter; }));
    if (view.status->adapters.size() + adapters_ordered >= view.status->adapter_capacity) return;
    for (const auto& adapter : record.adapters()) {
      if (view.status->adapters.contains(adapter) || under_way(adapter)) continue;
      const auto options = input.document->adapters.find(adapter);
      if (options == input.document->adapters.end()) continue;
      const auto model = view.status->models.find(options->second);
      if (model == view.status->models.end() || model->second.state != "ready") continue;
      for (const auto& unit : record.units())
        if (unit_model(unit) == options->second) want(view, OrderKind::load_adapter, adapter, unit);
    }
  }
};

}  // namespace

bool orders_open_at(const OrderState& state, const std::string& address) {
  return std::ranges::any_of(state.open, [&](const auto& item) { return item.second.address == address; });
}

bool orders_free(const OrderState& state, const wire::WorkerRecord& record, const FitInput& input) {
  const auto found = input.watch->views.find(record.address());
  if (found == input.watch->views.end() || !worker_present(*input.watch, found->second, input.now)) return false;
  if (found->second.status->phase == WorkerPhase::call || state.pulls.doubts.contains(record.address())) return false;
  const auto ended = state.ended_at.find(record.address());
  if (ended != state.ended_at.end() && found->second.heard <= ended->second) return false;
  const auto retry = state.retry_at.find(record.address());
  if (retry != state.retry_at.end() && input.now < retry->second) return false;
  return !orders_open_at(state, record.address());
}

std::vector<WantedLoad> orders_wanted(const OrderState& state, const wire::Placement& placement,
                                      const FitInput& input) {
  Wanter wanter{state, input};
  for (const auto& record : placement.workers()) {
    if (!orders_free(state, record, input)) continue;
    const auto& view = input.watch->views.at(record.address());
    if (!view.status->draining) wanter.want_loads(record, view);
  }
  std::ranges::stable_sort(wanter.wanted, {}, &WantedLoad::rank);
  return std::move(wanter.wanted);
}

void orders_announce(const OrderState& state, wire::Placement& placement, const FitInput& input) {
  std::map<std::string, std::string> pulls;
  for (const auto& [address, doubt] : state.pulls.doubts) pulls[address] = doubt.instance;
  for (const auto& [pipe, order] : state.open)
    if (is_load(order.kind)) pulls[order.address] = order.instance;
  for (const auto& load : orders_wanted(state, placement, input)) {
    if (pulls.size() >= announced_most) break;
    pulls[load.view->address] = load.view->status->instance;
  }
  placement.set_announces(true);
  placement.clear_pulls();
  for (const auto& [address, instance] : pulls) {
    auto* pull = placement.add_pulls();
    pull->set_worker(address);
    pull->set_instance(instance);
  }
}

}  // namespace weldsail
