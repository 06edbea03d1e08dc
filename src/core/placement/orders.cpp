#include "core/placement/orders.hpp"

#include <algorithm>

#include "core/json.hpp"

namespace weldsail {
namespace {

constexpr Moment retire_bounds = 20;
constexpr Moment fences_per_bound = 3;

const char* path_of(OrderKind kind) {
  switch (kind) {
    case OrderKind::load_model: return "/v1/models/load";
    case OrderKind::unload_model: return "/v1/models/unload";
    case OrderKind::load_adapter: return "/v1/adapters/load";
    case OrderKind::unload_adapter: return "/v1/adapters/unload";
    case OrderKind::fence: return "/v1/fence";
  }
  return "";
}

std::size_t loads_open(const OrderState& state) {
  return static_cast<std::size_t>(
      std::ranges::count_if(state.open, [](const auto& item) { return is_load(item.second.kind); }));
}

struct Giver {
  OrderState& state;
  const FitInput& input;
  PipeNumbers& numbers;
  Effects& effects;

  void send(const WorkerView& view, OrderKind kind, const std::string& name, const std::string& unit,
            const std::string& instance) {
    const auto pipe = numbers.take();
    state.open[pipe] = {kind, view.address, name, unit, instance, input.now, 0};
    ++state.sent;
    JsonText body;
    body.object().field("name", name).number("epoch", state.term).number("serial", ++state.serial);
    body.field("instance", instance).field("service", view.service);
    if (kind == OrderKind::load_model)
      body.number("weights_mb", static_cast<std::uint64_t>(input.document->models.at(name).weights_mb));
    if (kind == OrderKind::load_adapter) body.field("model", input.document->adapters.at(name));
    body.close();
    note(effects, "order.sent",
         {{"worker", view.address}, {"path", path_of(kind)}, {"name", name}, {"epoch", std::to_string(state.term)}});
    effects.push_back(OpenPipe{pipe,
                               view.address,
                               "POST",
                               path_of(kind),
                               {{"content-type", "application/json"}},
                               body.text(),
                               true,
                               input.now + state.bound});
  }

  void give(const WorkerView& view, OrderKind kind, const std::string& name, const std::string& unit) {
    if (is_load(kind)) {
      if (!state.announced.contains(view.address)) return;
      if (!pulls_allow(state.pulls, loads_open(state), state.loads_per_s, input.now)) return;
      pulls_made(state.pulls, state.loads_per_s, input.now);
      state.ordered[view.address].push_back({name, kind == OrderKind::load_adapter, 0});
    }
    send(view, kind, name, unit, view.status->instance);
  }

  void retire(const wire::WorkerRecord& record, const WorkerView& view) {
    for (const auto& [model, held] : view.status->models) {
      const auto unit_held =
          std::ranges::any_of(record.units(), [&](const std::string& unit) { return unit_model(unit) == model; });
      const auto key = view.address + "|" + model;
      if (unit_held) {
        state.unassigned_since.erase(key);
        continue;
      }
      if (held.state != "ready") continue;
      const auto unit = unit_name(service_cell(*input.document, record.service()), model);
      const auto since = state.unassigned_since.try_emplace(key, input.now).first->second;
      if (input.now - since < state.bound * 2 / 3) continue;
      if (held.running == 0) return give(view, OrderKind::unload_model, model, unit);
      if (input.now - since < retire_bounds * state.bound) continue;
      state.aborted.push_back(unit);
      state.unassigned_since[key] = input.now;
    }
    for (const auto& [adapter, phase] : view.status->adapters)
      if (phase == "ready" && std::ranges::find(record.adapters(), adapter) == record.adapters().end())
        return give(view, OrderKind::unload_adapter, adapter, {});
  }

  void fence() {
    for (auto& [address, doubt] : state.pulls.doubts) {
      const auto view = input.watch->views.find(address);
      if (orders_open_at(state, address) || view == input.watch->views.end()) continue;
      if (doubt.asked != 0 && input.now - doubt.asked < state.bound / fences_per_bound) continue;
      doubt.asked = input.now;
      send(view->second, OrderKind::fence, {}, {}, doubt.instance);
    }
  }
};

}  // namespace

bool is_load(OrderKind kind) { return kind == OrderKind::load_model || kind == OrderKind::load_adapter; }

std::map<std::string, std::set<std::string>> orders_under_way(const OrderState& state) {
  std::map<std::string, std::set<std::string>> result;
  for (const auto& [address, loads] : state.ordered)
    for (const auto& item : loads)
      if (!item.adapter) result[address].insert(item.name);
  return result;
}

void orders_begin(OrderState& state, std::uint64_t term, const wire::Placement& adopted, Moment now) {
  OrderState fresh;
  fresh.bound = fresh.pulls.bound = state.bound;
  fresh.term = term;
  fresh.sent = state.sent;
  state = std::move(fresh);
  pulls_begin(state.pulls, adopted, now);
}

bool orders_tick(OrderState& state, const wire::Placement& placement, const FitInput& input, PipeNumbers& numbers,
                 Effects& effects) {
  if (state.loads_per_s != input.document->loads_per_s || state.pulls.next == 0) {
    state.loads_per_s = input.document->loads_per_s;
    pulls_made(state.pulls, state.loads_per_s, input.now);
  }
  std::set<std::string> listed;
  for (const auto& record : placement.workers()) listed.insert(record.address());
  pulls_watch(state.pulls, *input.watch, listed, input.now);
  Giver giver{state, input, numbers, effects};
  giver.fence();
  for (const auto& record : placement.workers())
    if (orders_free(state, record, input)) giver.retire(record, input.watch->views.at(record.address()));
  const auto wanted = orders_wanted(state, placement, input);
  if (wanted.empty()) return false;
  const auto& most = wanted.front();
  giver.give(*most.view, most.kind, most.name, {});
  return !state.announced.contains(most.view->address);
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
       {{"worker", order.address},
        {"path", path_of(order.kind)},
        {"name", order.name},
        {"answer", std::to_string(order.answer)},
        {"reason", ended->reason}});
  const bool answered = ended->whole && order.answer != 0;
  const bool done = answered && order.answer >= 200 && order.answer < 300;
  state.ended_at[order.address] = now;
  if (order.kind == OrderKind::fence) {
    const bool unknown = answered && (order.answer == 404 || order.answer == 405 || order.answer == 501);
    if (unknown) note(effects, "worker.no_fence", {{"worker", order.address}}, true);
    if (done || unknown) pulls_settle(state.pulls, order.address, now);
    return order.address;
  }
  if (is_load(order.kind) && answered) pulls_begun(state.pulls, order.sent, state.loads_per_s, now);
  if (is_load(order.kind) && ended->sent && !answered)
    state.pulls.doubts[order.address] = {order.instance, now, 0, std::nullopt};
  for (auto& item : state.ordered[order.address])
    if (is_load(order.kind) && item.name == order.name) item.settled = now;
  if (done) return order.address;
  state.retry_at[order.address] = now + state.bound / 3;
  if (order.kind == OrderKind::unload_model && order.answer != 0) state.aborted.push_back(order.unit);
  return order.address;
}

void orders_heard(OrderState& state, const WorkerView& view) {
  const auto found = state.ordered.find(view.address);
  if (found == state.ordered.end() || state.pulls.doubts.contains(view.address)) return;
  std::erase_if(found->second, [&](const OrderedLoad& item) {
    const bool shown =
        item.adapter ? view.status->adapters.contains(item.name) : view.status->models.contains(item.name);
    return shown || (item.settled != 0 && view.heard > item.settled);
  });
}

}  // namespace weldsail
