#include <algorithm>
#include <cmath>

#include "core/data.hpp"
#include "core/membership/rendezvous.hpp"
#include "core/placement/placer.hpp"

namespace weldsail {
namespace {

constexpr double load_slack = 1.25;

struct Candidate {
  const WorkerView* view;
  std::uint64_t demand;
  bool near;
};

std::uint64_t count_at(const std::map<std::string, std::uint64_t>& counts, const std::string& address) {
  const auto found = counts.find(address);
  return found == counts.end() ? 0 : found->second;
}

// What other nodes had there by the last status, and what this node has there now.
std::uint64_t worker_demand(const DataState& state, const WorkerView& view) {
  const auto reported = view.status->running + view.status->waiting;
  const auto others = reported - std::min(reported, count_at(state.running_at_status, view.address));
  return others + count_at(state.running, view.address);
}

// Every node may always have its share of a worker's slots, or whoever refills first would starve the others.
bool worker_full(const DataState& state, const Candidate& candidate, std::uint64_t nodes) {
  const auto& status = *candidate.view->status;
  const auto share = (status.slots + nodes - 1) / nodes;
  const bool crowded = status.waiting >= status.slots;
  return candidate.demand >= status.slots && (crowded || count_at(state.running, candidate.view->address) >= share);
}

bool holds_ready(const WorkerStatus& status, const Carry& carry) {
  const auto model = status.models.find(carry.route.model);
  if (model == status.models.end() || model->second.state != "ready") return false;
  if (carry.route.adapter.empty()) return true;
  const auto adapter = status.adapters.find(carry.route.adapter);
  return adapter != status.adapters.end() && adapter->second == "ready";
}

std::vector<Candidate> candidates_of(const DataState& state, const Carry& carry, Moment now) {
  std::vector<Candidate> candidates;
  const bool call = carry.route.kind == RouteKind::call;
  const auto cell = state.document->cells.find(carry.cell);
  if (cell == state.document->cells.end()) return candidates;
  for (const auto& record : state.placement.workers()) {
    const auto service = cell->second.find(record.service());
    if (service == cell->second.end() || worker_drained(state.placement, record)) continue;
    if ((service->second == ServiceKind::call) != call) continue;
    if (call ? record.service() != carry.route.service : !holds_unit(record, carry.pool)) continue;
    const auto found = state.watch.views.find(record.address());
    if (found == state.watch.views.end() || !worker_usable(state.watch, found->second, now)) continue;
    const auto& view = found->second;
    if ((view.status->phase == WorkerPhase::call) != call) continue;
    if (!call && !holds_ready(*view.status, carry)) continue;
    const auto tried = std::ranges::any_of(carry.ledger.attempts, [&](const Attempt& attempt) {
      return attempt.worker == view.address && attempt.phase != AttemptPhase::refused;
    });
    if (tried) continue;
    candidates.push_back({&view, worker_demand(state, view), view.status->locality == state.options.member.locality});
  }
  return candidates;
}

bool prefill_dominates(const DataState& state, const Carry& carry, const std::vector<Candidate>& candidates) {
  auto missed = carry.prompt_tokens;
  for (const auto& candidate : candidates)
    missed = std::min(missed, missed_tokens(state, carry, candidate.view->address));
  const auto& scaler = state.document->scaler;
  return static_cast<double>(missed) / scaler.prefill_tokens_per_s >
         static_cast<double>(carry.generation_tokens) / scaler.decode_tokens_per_s;
}

void keep_phase(const DataState& state, const Carry& carry, std::vector<Candidate>& candidates) {
  const auto wanted = prefill_dominates(state, carry, candidates) ? WorkerPhase::prefill : WorkerPhase::decode;
  const auto matches = [&](const Candidate& candidate) { return candidate.view->status->phase == wanted; };
  if (std::ranges::none_of(candidates, matches)) return;
  std::erase_if(candidates, [&](const Candidate& candidate) { return !matches(candidate); });
}

const WorkerView* least_demand(const std::vector<Candidate>& candidates) {
  const auto best = std::ranges::min_element(candidates, [](const Candidate& left, const Candidate& right) {
    return std::pair(left.demand, !left.near) < std::pair(right.demand, !right.near);
  });
  return best == candidates.end() ? nullptr : best->view;
}

}  // namespace

std::uint64_t missed_tokens(const DataState& state, const Carry& carry, const std::string& worker) {
  const auto memory = state.prefixes.find(worker);
  if (memory == state.prefixes.end()) return carry.prompt_tokens;
  return carry.prompt_tokens - std::min(carry.prompt_tokens, prefix_hits(memory->second, carry.blocks));
}

const WorkerView* assign_worker(const DataState& state, const Carry& carry, Moment now) {
  if (!state.document || configuration_outdated(state, carry.arrived, now)) return nullptr;
  auto candidates = candidates_of(state, carry, now);
  const auto nodes = std::max<std::uint64_t>(1, live_members(state.member, Program::data).size());
  std::erase_if(candidates, [&](const Candidate& item) { return worker_full(state, item, nodes); });
  if (carry.route.kind != RouteKind::call) keep_phase(state, carry, candidates);
  std::uint64_t total = 1;
  for (const auto& candidate : candidates) total += candidate.demand;
  const auto count = candidates.size();
  if (candidates.empty()) return nullptr;
  if (carry.blocks.empty()) return least_demand(candidates);
  const auto limit =
      static_cast<std::uint64_t>(std::ceil(load_slack * static_cast<double>(total) / static_cast<double>(count)));
  const Candidate* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const auto& candidate : candidates) {
    if (candidate.demand >= limit) continue;
    const auto weight = rendezvous_weight(carry.blocks.front(), digest(candidate.view->address));
    if (best != nullptr && weight <= best_weight) continue;
    best = &candidate;
    best_weight = weight;
  }
  return best != nullptr ? best->view : least_demand(candidates);
}

}  // namespace weldsail
