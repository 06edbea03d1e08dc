#include "core/orders.hpp"

#include <algorithm>

#include "core/json.hpp"

namespace weldsail {
namespace {

constexpr double pace_margin = 1.05;
constexpr Moment retire_bounds = 20;
constexpr Moment doubt_bounds = 4;

const char* path_of(OrderKind kind) {
  switch (kind) {
    case OrderKind::load_model: return "/v1/models/load";
    case OrderKind::unload_model: return "/v1/models/unload";
    case OrderKind::load_adapter: return "/v1/adapters/load";
    case OrderKind::unload_adapter: return "/v1/adapters/unload";
  }
  return "";
}

bool is_load(OrderKind kind) { return kind == OrderKind::load_model || kind == OrderKind::load_adapter; }

Moment pull_gap(double loads_per_s) { return static_cast<Moment>(1000 / loads_per_s * pace_margin) + 1; }

struct WantedLoad {
  std::pair<int, Moment> rank;
  const WorkerView* view;
  OrderKind kind;
  std::string name;
};

struct Giver {
  OrderState& state;
  const FitInput& input;
  PipeNumbers& numbers;
  Effects& effects;
  std::vector<WantedLoad> wanted = {};

  bool load_open() const {
    return std::ranges::any_of(state.open, [](const auto& item) { return is_load(item.second.kind); });
  }

  bool give(const WorkerView& view, OrderKind kind, const std::string& name) {
    if (is_load(kind)) {
      if (load_open() || pull_doubtful(state, input) || input.now < state.next_pull) return false;
      state.pull_gap = pull_gap(input.document->loads_per_s);
      state.next_pull = input.now + state.pull_gap;
      state.ordered[view.address].push_back({name, kind == OrderKind::load_adapter, 0});
    }
    const auto pipe = numbers.take();
    state.open[pipe] = {kind, view.address, name, input.now, 0};
    ++state.sent;
    JsonText body;
    body.object().field("name", name).number("epoch", state.term).field("instance", view.status->instance);
    body.field("service", view.service);
    if (kind == OrderKind::load_model)
      body.number("weights_mb", static_cast<std::uint64_t>(input.document->models.at(name).weights_mb));
    if (kind == OrderKind::load_adapter) body.field("model", input.document->adapters.at(name));
    body.close();
    note(effects, "order.sent",
         {{"worker", view.address}, {"path", path_of(kind)}, {"name", name}, {"epoch", std::to_string(state.term)}});
    effects.push_back(OpenPipe{pipe, view.address, "POST", path_of(kind), {{"content-type", "application/json"}},
                               body.text(), true, input.now + state.bound});
    return true;
  }

  bool retire(const wire::WorkerRecord& record, const WorkerView& view) {
    for (const auto& [model, held] : view.status->models) {
      const auto unit_held = std::ranges::any_of(
          record.units(), [&](const std::string& unit) { return unit_model(unit) == model; });
      const auto key = view.address + "|" + model;
      if (unit_held) {
        state.unassigned_since.erase(key);
        continue;
      }
      if (held.state != "ready") continue;
      const auto since = state.unassigned_since.try_emplace(key, input.now).first->second;
      if (input.now - since < state.bound * 2 / 3) continue;
      if (held.running == 0) return give(view, OrderKind::unload_model, model);
      if (input.now - since < retire_bounds * state.bound) continue;
      state.aborted.push_back(model);
      state.unassigned_since[key] = input.now;
    }
    for (const auto& [adapter, phase] : view.status->adapters)
      if (phase == "ready" && std::ranges::find(record.adapters(), adapter) == record.adapters().end())
        return give(view, OrderKind::unload_adapter, adapter);
    return false;
  }

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
    const auto& ordered = state.ordered[view.address];
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

  void give_wanted() {
    const auto most = std::ranges::min_element(wanted, {}, &WantedLoad::rank);
    if (most != wanted.end()) give(*most->view, most->kind, most->name);
  }
};

}  // namespace

std::map<std::string, std::set<std::string>> orders_under_way(const OrderState& state) {
  std::map<std::string, std::set<std::string>> result;
  for (const auto& [address, loads] : state.ordered)
    for (const auto& item : loads)
      if (!item.adapter) result[address].insert(item.name);
  return result;
}

void orders_begin(OrderState& state, std::uint64_t term, double loads_per_s, Moment now) {
  OrderState fresh;
  fresh.bound = state.bound;
  fresh.term = term;
  fresh.sent = state.sent;
  state = std::move(fresh);
  state.next_pull = now + pull_gap(loads_per_s);
}

void orders_tick(OrderState& state, const wire::Placement& placement, const FitInput& input, PipeNumbers& numbers,
                 Effects& effects) {
  Giver giver{state, input, numbers, effects};
  for (const auto& record : placement.workers()) {
    const auto found = input.watch->views.find(record.address());
    if (found == input.watch->views.end() || !worker_present(*input.watch, found->second, input.now)) continue;
    const auto& view = found->second;
    if (view.status->phase == WorkerPhase::call) continue;
    const bool busy =
        std::ranges::any_of(state.open, [&](const auto& item) { return item.second.address == record.address(); });
    const auto retry = state.retry_at.find(record.address());
    const auto ended = state.ended_at.find(record.address());
    if (ended != state.ended_at.end() && view.heard <= ended->second) continue;
    if (busy || (retry != state.retry_at.end() && input.now < retry->second)) continue;
    if (!giver.retire(record, view) && !view.status->draining) giver.want_loads(record, view);
  }
  giver.give_wanted();
}

std::optional<std::string> orders_pipe(OrderState& state, const Event& event, Moment now, Effects& effects) {
  if (const auto* head = std::get_if<PipeHead>(&event)) {
    const auto found = state.open.find(head->pipe);
    if (found != state.open.end()) found->second.answer = head->status;
  }
  const auto* ended = std::get_if<PipeEnded>(&event);
  if (ended == nullptr) return std::nullopt;
  const auto found = state.open.find(ended->pipe);
  if (found == state.open.end()) return std::nullopt;
  const auto order = found->second;
  state.open.erase(found);
  note(effects, "order.ended",
       {{"worker", order.address}, {"name", order.name}, {"answer", std::to_string(order.answer)},
        {"reason", ended->reason}});
  state.ended_at[order.address] = now;
  if (is_load(order.kind)) state.next_pull = std::max(state.next_pull, now + state.pull_gap);
  if (is_load(order.kind) && ended->sent && !ended->whole) state.doubtful_pulls[order.address] = now;
  const bool done = ended->whole && order.answer >= 200 && order.answer < 300;
  for (auto& item : state.ordered[order.address])
    if (is_load(order.kind) && item.name == order.name) item.settled = now;
  if (done) return order.address;
  state.retry_at[order.address] = now + state.bound / 3;
  if (order.kind == OrderKind::unload_model && order.answer != 0) state.aborted.push_back(order.name);
  return order.address;
}

bool pull_doubtful(OrderState& state, const FitInput& input) {
  std::erase_if(state.doubtful_pulls, [&](const auto& item) {
    const auto view = input.watch->views.find(item.first);
    if (view == input.watch->views.end() || input.now - item.second > doubt_bounds * state.bound) return true;
    const bool settled = std::max(view->second.heard, view->second.refused) > item.second;
    if (settled) state.next_pull = std::max(state.next_pull, input.now + state.pull_gap);
    return settled;
  });
  return !state.doubtful_pulls.empty();
}

void orders_heard(OrderState& state, const WorkerView& view) {
  const auto found = state.ordered.find(view.address);
  if (found == state.ordered.end()) return;
  std::erase_if(found->second, [&](const OrderedLoad& item) {
    const bool shown = item.adapter ? view.status->adapters.contains(item.name) : view.status->models.contains(item.name);
    return shown || (item.settled != 0 && view.heard > item.settled);
  });
}

}  // namespace weldsail
