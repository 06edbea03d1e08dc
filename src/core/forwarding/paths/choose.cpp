#include <algorithm>
#include <cmath>

#include "core/forwarding/paths/path.hpp"
#include "core/membership/rendezvous.hpp"

namespace weldsail {
namespace {

// Expected times in milliseconds; only their order matters.
constexpr double read_tokens_per_ms = 30;
constexpr double running_cost = 1;
constexpr double waiting_cost = 40;
constexpr double elsewhere_cost = 6;
constexpr double spread_cost = 3;
// What others had at a worker counts fully when it was just seen and for nothing after the bound.
constexpr double pipes_used = 0.8;
// A begun answer goes back to a worker that turned it away after this part of the bound.
constexpr Moment pauses_per_bound = 6;

double others_now(const WorkerTrack& track, Moment bound, Moment now) {
  const auto age = static_cast<double>(now - track.seen_load) / static_cast<double>(bound);
  return age >= 1 ? 0 : static_cast<double>(track.others) * (1 - age);
}

/// True when a worker that holds the call's model holds its adapter, too.
bool holds_adapter(const wire::WorkerEntry& worker, const PathCall& call) {
  if (call.adapter.empty()) return true;
  const auto model = std::ranges::find(worker.models(), call.model, &wire::HeldModel::name);
  return std::ranges::find(model->adapters(), call.adapter) != model->adapters().end();
}

}  // namespace

Choice path_choose(const DataState& state, const PathCarry& carry, Moment now) {
  static const WorkerTrack unknown;
  Choice choice;
  const auto& service = state.path.config->services.at(carry.service);
  const bool by_model = !carry.unit.empty();
  const auto nodes = path_nodes(state);
  const auto pipes = std::max<std::size_t>(
      2, static_cast<std::size_t>(pipes_used * static_cast<double>(service.pipe_limit) / static_cast<double>(nodes)));
  const auto pause = state.options.member.bound / pauses_per_bound;
  auto lack = by_model ? Lack::model : Lack::worker;
  std::optional<std::pair<bool, double>> best;
  const auto& workers = state.path.fleet.workers;
  const auto& candidates =
      by_model ? workers.holders(carry.service, carry.call.model) : workers.of_service(carry.service);
  choice.considered = candidates.size();
  for (const auto& candidate : candidates) {
    const auto& worker = *candidate;
    if (worker.draining()) continue;
    if (by_model && !holds_adapter(worker, carry.call)) {
      if (lack == Lack::model) lack = Lack::adapter;
      continue;
    }
    lack = Lack::worker;
    const auto may_ask = carry_may_ask(carry, worker.identity(), pause, now);
    if (may_ask == MayAsk::never) continue;
    choice.later = true;
    if (may_ask == MayAsk::later) continue;
    const auto found = state.path.tracks.find(worker.identity());
    const auto& track = found == state.path.tracks.end() ? unknown : found->second;
    if (track.open >= pipes) continue;
    const auto slots =
        static_cast<double>(std::max<std::uint64_t>(1, worker.slots() != 0 ? worker.slots() : service.slots));
    const auto running = static_cast<double>(track.open) + others_now(track, state.options.member.bound, now);
    double cost = running * running_cost * (by_model ? 1 : waiting_cost / slots);
    if (running >= slots) cost += (running - slots + 1) * waiting_cost;
    if (by_model) {
      cost += static_cast<double>(parts_missed(track.parts, carry.call, carry.chain) + track.unread_tokens) /
              read_tokens_per_ms;
      if (!carry.chain.empty()) {
        const auto weight = rendezvous_weight(carry.chain.front(), digest(worker.identity()));
        cost += spread_cost * static_cast<double>(weight >> 32U) / static_cast<double>(1ULL << 32U);
      }
    }
    if (worker.locality() != state.options.member.locality) cost += elsewhere_cost;
    const std::pair rank{now < track.avoid_until, cost};
    if (best && rank >= *best) continue;
    best = rank;
    choice.worker = &worker;
  }
  choice.lack = choice.worker != nullptr ? Lack::none : lack;
  return choice;
}

}  // namespace weldsail
