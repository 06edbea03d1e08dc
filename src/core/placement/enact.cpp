#include <algorithm>

#include "core/placement/line.hpp"
#include "core/placement/loadturns.hpp"
#include "core/placement/placing.hpp"

namespace weldsail {
namespace {

/// Data nodes have this part of the bound to leave a model before its unload is ordered.
constexpr Moment hidden_part = 75;

/// An order that a worker might be given.
struct Candidate {
  std::string identity;
  WorkerOrder order;
};

/// All orders that workers might be given, in the order in which they are tried.
struct Candidates {
  std::vector<Candidate> adapters;
  /// At workers whose last order was for an adapter: their models go first, or they would never have their turn.
  std::vector<Candidate> further_adapters;
  std::vector<PlannedLoad> loads;
  /// Unloads where a planned model waits for the room.
  std::vector<Candidate> pressing_unloads;
  std::vector<Candidate> unloads;
};

WorkerOrder make_order(bool load, const std::string& model, const std::string& adapter = {}) {
  WorkerOrder order;
  order.load = load;
  order.model = model;
  order.adapter = adapter;
  return order;
}

/// Milliseconds for which callers have been owed the adapter, or a negative number where none waits for it.
Moment adapter_urgency(const PlanInput& input, const std::string& unit, const std::string& adapter) {
  const auto& adapters = plan_wants(input, unit).adapters;
  const auto found = adapters.find(adapter);
  if (found == adapters.end() || !adapter_waits(found->second, input)) return -1;
  return adapter_age(found->second, input);
}

/// The planned adapter that the worker lacks and that callers have been owed for the longest.
std::optional<std::pair<std::string, std::string>> lacking_adapter(const WorkerBook& book, const PlannedWorker& planned,
                                                                   const PlanInput& input) {
  std::optional<std::pair<std::string, std::string>> best;
  Moment most = 0;
  for (const auto& [model, adapter] : planned.adapters) {
    if (!book_holds(book, model) || book_holds(book, model, adapter)) continue;
    const auto urgency = adapter_urgency(input, unit_name(planned.service, model), adapter);
    if (best && urgency <= most) continue;
    best = {model, adapter};
    most = urgency;
  }
  return best;
}

std::optional<WorkerOrder> adapter_order(const WorkerBook& book, const PlannedWorker& planned,
                                         const PathService& service, const PlanInput& input) {
  const auto lacking = lacking_adapter(book, planned, input);
  if (!lacking) return std::nullopt;
  if (book_adapters(book) < service.adapter_places) return make_order(true, lacking->first, lacking->second);
  for (const auto& [other, adapters] : book.held)
    for (const auto& victim : adapters)
      if (!planned.adapters.contains({other, victim})) return make_order(false, other, victim);
  return std::nullopt;
}

bool settled(const WorkerBook& book, const PlannedWorker& planned) {
  if (book.held.size() != planned.models.size()) return false;
  for (const auto& model : planned.models)
    if (!book_holds(book, model)) return false;
  return std::ranges::all_of(planned.adapters,
                             [&](const auto& item) { return book_holds(book, item.first, item.second); });
}

void add_candidates(Candidates& candidates, const PlacingState& state, const WorkerBook& book,
                    const PlannedWorker& planned, const PathService& service, const PlanInput& input) {
  const auto now = input.now;
  const auto& identity = book.entry.identity();
  if (auto order = adapter_order(book, planned, service, input))
    (book.adapter_last ? candidates.further_adapters : candidates.adapters).push_back({identity, std::move(*order)});
  bool lacks = false;
  for (const auto& model : planned.models) {
    if (book_holds(book, model)) continue;
    lacks = true;
    candidates.loads.push_back({identity, model});
  }
  auto& unloads = lacks ? candidates.pressing_unloads : candidates.unloads;
  for (const auto& [model, adapters] : book.held) {
    if (planned.models.contains(model)) continue;
    const auto since = book.hidden.find(model);
    if (since == book.hidden.end() || now - since->second < state.bound / hidden_part) continue;
    unloads.push_back({identity, make_order(false, model)});
  }
}

void give(PlacingState& state, const PlacingContext& context, const std::string& identity, WorkerOrder order,
          Effects& effects) {
  const CommandContext command{*context.paths, context.dialect, context.limits, context.numbers, context.now};
  if (command_give(state.command, state.command.books.at(identity), std::move(order), command, effects))
    state.unseen.insert(identity);
}

void give_loads(PlacingState& state, const PlacingContext& context, std::vector<PlannedLoad> loads, Effects& effects) {
  if (loads.empty()) return;
  const auto queues = load_queues(state.plan, placing_input(state, context), std::move(loads));
  offer_by_turns(queues, state.crowded_loads_next, [&](const PlannedLoad& load) {
    // A worker that was given another order a moment ago takes no load.
    if (state.command.books.at(load.identity).order) return LoadOffer::store_untouched;
    give(state, context, load.identity, make_order(true, load.model), effects);
    const auto& order = state.command.books.at(load.identity).order;
    return order && order->from_store ? LoadOffer::store_taken : LoadOffer::store_untouched;
  });
}

}  // namespace

void placing_enact(PlacingState& state, const PlacingContext& context, Effects& effects) {
  if (state.open_work.empty()) return;
  const auto input = placing_input(state, context);
  Candidates candidates;
  for (auto item = state.open_work.begin(); item != state.open_work.end();) {
    ++state.work.workers;
    const auto planned = state.plan.workers.find(*item);
    const auto found = state.command.books.find(*item);
    const bool known = planned != state.plan.workers.end() && found != state.command.books.end();
    if (!known || settled(found->second, planned->second)) {
      item = state.open_work.erase(item);
      continue;
    }
    ++item;
    const auto service = context.paths->services.find(planned->second.service);
    if (service == context.paths->services.end()) continue;
    if (!command_free(found->second, context.now) || found->second.failures > 0) continue;
    add_candidates(candidates, state, found->second, planned->second, service->second, input);
  }
  const auto give_all = [&](std::vector<Candidate>& orders) {
    for (auto& [identity, order] : orders) give(state, context, identity, std::move(order), effects);
  };
  give_all(candidates.adapters);
  give_loads(state, context, std::move(candidates.loads), effects);
  give_all(candidates.pressing_unloads);
  give_all(candidates.unloads);
  give_all(candidates.further_adapters);
}

wire::WorkerEntry placing_entry(const PlacingState& state, WorkerBook& book, const PlanInput& input) {
  auto entry = book.entry;
  entry.clear_models();
  entry.set_draining(!book_usable(input, book));
  const auto found = state.plan.workers.find(book.entry.identity());
  const auto* planned = found == state.plan.workers.end() ? nullptr : &found->second;
  std::erase_if(book.hidden, [&](const auto& item) { return !book.held.contains(item.first); });
  for (const auto& [model, adapters] : book.held) {
    const bool stays = book_holds(book, model) && (planned == nullptr || planned->models.contains(model));
    if (!stays) {
      book.hidden.try_emplace(model, input.now);
      continue;
    }
    book.hidden.erase(model);
    auto* held = entry.add_models();
    held->set_name(model);
    held->set_revision(book.revisions[model]);
    for (const auto& adapter : adapters)
      if (book_holds(book, model, adapter) && (planned == nullptr || planned->adapters.contains({model, adapter})))
        held->add_adapters(adapter);
  }
  return entry;
}

}  // namespace weldsail
