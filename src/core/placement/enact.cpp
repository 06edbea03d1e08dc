#include <algorithm>
#include <limits>

#include "core/placement/placing.hpp"

namespace weldsail {
namespace {

/// Data nodes have this part of the bound to leave a model before its unload is ordered.
constexpr Moment hidden_part = 75;

/// An order that a worker might be given; lower ranks go first.
struct Candidate {
  std::pair<int, Moment> rank;
  std::string identity;
  WorkerOrder order;
};

WorkerOrder make_order(bool load, const std::string& model, const std::string& adapter = {}) {
  WorkerOrder order;
  order.load = load;
  order.model = model;
  order.adapter = adapter;
  return order;
}

std::optional<WorkerOrder> adapter_order(const WorkerBook& book, const PlannedWorker& planned,
                                         const PathService& service) {
  for (const auto& [model, adapter] : planned.adapters) {
    if (!book_holds(book, model) || book_holds(book, model, adapter)) continue;
    if (book_adapters(book) < service.adapter_places) return make_order(true, model, adapter);
    for (const auto& [other, adapters] : book.held)
      for (const auto& victim : adapters)
        if (!planned.adapters.contains({other, victim})) return make_order(false, other, victim);
  }
  return std::nullopt;
}

Moment rank_of(const WantsByUnit& wants, const std::string& unit, Moment now) {
  const auto found = wants.find(unit);
  if (found == wants.end()) return std::numeric_limits<Moment>::max();
  const bool waits = found->second.demand.waiting > 0;
  return waits ? -wants_oldest(found->second, now) - 1 : wants_quiet(found->second, now);
}

bool settled(const WorkerBook& book, const PlannedWorker& planned) {
  if (book.held.size() != planned.models.size()) return false;
  for (const auto& model : planned.models)
    if (!book_holds(book, model)) return false;
  return std::ranges::all_of(planned.adapters,
                             [&](const auto& item) { return book_holds(book, item.first, item.second); });
}

void add_candidates(std::vector<Candidate>& candidates, const PlacingState& state, const WorkerBook& book,
                    const PlannedWorker& planned, const PathService& service, Moment now) {
  const auto& identity = book.entry.identity();
  if (auto order = adapter_order(book, planned, service)) candidates.push_back({{0, 0}, identity, std::move(*order)});
  bool lacks = false;
  for (const auto& model : planned.models) {
    if (book_holds(book, model)) continue;
    lacks = true;
    candidates.push_back(
        {{1, rank_of(state.wants.units, unit_name(service.name, model), now)}, identity, make_order(true, model)});
  }
  for (const auto& [model, adapters] : book.held) {
    if (planned.models.contains(model)) continue;
    const auto since = book.hidden.find(model);
    if (since == book.hidden.end() || now - since->second < state.bound / hidden_part) continue;
    candidates.push_back({{2, lacks ? 0 : 1}, identity, make_order(false, model)});
  }
}

}  // namespace

void placing_enact(PlacingState& state, const PlacingContext& context, Effects& effects) {
  std::vector<Candidate> candidates;
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
    add_candidates(candidates, state, found->second, planned->second, service->second, context.now);
  }
  std::ranges::stable_sort(candidates, {}, &Candidate::rank);
  const CommandContext command{*context.paths, context.dialect, context.limits, context.numbers, context.now};
  for (auto& candidate : candidates)
    if (command_give(state.command, state.command.books.at(candidate.identity), std::move(candidate.order), command,
                     effects))
      state.unseen.insert(candidate.identity);
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
