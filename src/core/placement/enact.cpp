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

Moment rank_of(const std::map<std::string, UnitWants>& wants, const std::string& unit) {
  const auto found = wants.find(unit);
  if (found == wants.end()) return std::numeric_limits<Moment>::max();
  const auto& demand = found->second.demand;
  return demand.waiting > 0 ? -demand.oldest - 1 : demand.quiet;
}

bool settled(const WorkerBook& book, const PlannedWorker& planned) {
  if (book.held.size() != planned.models.size()) return false;
  for (const auto& model : planned.models)
    if (!book_holds(book, model)) return false;
  return std::ranges::all_of(planned.adapters,
                             [&](const auto& item) { return book_holds(book, item.first, item.second); });
}

void add_candidates(std::vector<Candidate>& candidates, const PlacingState& state, const WorkerBook& book,
                    const PlannedWorker& planned, const PathService& service,
                    const std::map<std::string, UnitWants>& wants, Moment now) {
  const auto& identity = book.entry.identity();
  if (auto order = adapter_order(book, planned, service)) candidates.push_back({{0, 0}, identity, std::move(*order)});
  bool lacks = false;
  for (const auto& model : planned.models) {
    if (book_holds(book, model)) continue;
    lacks = true;
    candidates.push_back({{1, rank_of(wants, unit_name(service.name, model))}, identity, make_order(true, model)});
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
  std::map<std::string, UnitWants> wants;
  for (const auto& [identity, planned] : state.plan.workers) {
    const auto found = state.command.books.find(identity);
    const auto service = context.paths->services.find(planned.service);
    if (found == state.command.books.end() || service == context.paths->services.end()) continue;
    if (!command_free(found->second, context.now) || found->second.failures > 0) continue;
    if (settled(found->second, planned)) continue;
    if (wants.empty()) wants = placing_wants(state, context.now);
    add_candidates(candidates, state, found->second, planned, service->second, wants, context.now);
  }
  std::ranges::stable_sort(candidates, {}, &Candidate::rank);
  const CommandContext command{*context.paths, context.dialect, context.limits, context.numbers, context.now};
  for (auto& candidate : candidates)
    if (command_give(state.command, state.command.books.at(candidate.identity), std::move(candidate.order), command,
                     effects))
      state.unseen = true;
}

std::map<std::string, UnitWants> placing_wants(const PlacingState& state, Moment now) {
  std::map<std::string, UnitWants> wants;
  for (const auto& [unit, last] : state.last_used) wants[unit].demand.quiet = now - last;
  std::map<std::string, std::map<std::string, double>> wishes;
  for (const auto& [node, heard] : state.demand.backlogs) {
    const auto age = now - heard.heard;
    if (age > state.bound) continue;
    for (const auto& backlog : heard.report.backlogs()) {
      auto& demand = wants[backlog.unit()].demand;
      demand.waiting += backlog.waiting();
      demand.running += backlog.running();
      demand.prompt_tokens += static_cast<double>(backlog.prompt_tokens());
      demand.generation_tokens += static_cast<double>(backlog.generation_tokens());
      if (backlog.waiting() > 0)
        demand.oldest = std::max(demand.oldest, static_cast<Moment>(backlog.oldest_ms()) + age);
      double rank = 1;
      for (const auto& adapter : backlog.adapters()) wishes[backlog.unit()][adapter] += 1 / rank++;
    }
  }
  for (const auto& [unit, adapters] : wishes) {
    auto& list = wants[unit].adapters;
    list.assign(adapters.begin(), adapters.end());
    std::ranges::stable_sort(list, std::greater<>(), &std::pair<std::string, double>::second);
  }
  return wants;
}

std::vector<wire::WorkerEntry> placing_view(PlacingState& state, const PlanInput& input) {
  std::vector<wire::WorkerEntry> view;
  for (auto& [identity, book] : state.command.books) {
    auto entry = book.entry;
    entry.clear_models();
    entry.set_draining(!book_usable(input, book));
    const auto planned = state.plan.workers.find(identity);
    std::erase_if(book.hidden, [&](const auto& item) { return !book.held.contains(item.first); });
    for (const auto& [model, adapters] : book.held) {
      const bool stays =
          book_holds(book, model) && (planned == state.plan.workers.end() || planned->second.models.contains(model));
      if (!stays) {
        book.hidden.try_emplace(model, input.now);
        continue;
      }
      book.hidden.erase(model);
      auto* held = entry.add_models();
      held->set_name(model);
      held->set_revision(book.revisions[model]);
      for (const auto& adapter : adapters)
        if (book_holds(book, model, adapter) &&
            (planned == state.plan.workers.end() || planned->second.adapters.contains({model, adapter})))
          held->add_adapters(adapter);
    }
    view.push_back(std::move(entry));
  }
  return view;
}

}  // namespace weldsail
