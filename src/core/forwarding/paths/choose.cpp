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
// Where others' requests aren't known, all holders share the work: another zone costs about its way there and back.
constexpr double elsewhere_cost_untold = 2;
constexpr double spread_cost = 3;
// Where others' requests aren't known, the cost is drawn from so many deviations of what they may be.
constexpr double spread_deviations = 2;
// What others had at a worker counts fully when it was just seen and for nothing after the bound.
constexpr double pipes_used = 0.8;
// A begun answer goes back to a worker that turned it away after this part of the bound.
constexpr Moment pauses_per_bound = 6;

/// Share of what others have at the worker that this node can't know: none when the worker has just told, all of it
/// after the bound or where workers don't tell.
double unknown_share(const WorkerTrack& track, Moment bound, Moment now) {
  if (track.seen_load == 0) return 1;
  return std::min(1.0, static_cast<double>(now - track.seen_load) / static_cast<double>(bound));
}

/// Spread of what others may have at one of the model's holders, where this node is one of so many that send there
/// alike: requests fall on holders by chance, so their number differs by about the root of its mean.
double others_spread(const DataState& state, const PathCarry& carry, std::size_t nodes, std::size_t holders) {
  const auto unit = state.path.units.find(carry.unit);
  const auto own = unit == state.path.units.end() ? 0 : unit->second.running;
  const auto all = static_cast<double>(own + 1) * static_cast<double>(nodes);
  return spread_deviations * std::sqrt(all / static_cast<double>(std::max<std::size_t>(1, holders)));
}

double others_now(const WorkerTrack& track, Moment bound, Moment now) {
  const auto age = static_cast<double>(now - track.seen_load) / static_cast<double>(bound);
  return age >= 1 ? 0 : static_cast<double>(track.others) * (1 - age);
}

/// A number from 0 to 1 by its upper half.
double unit_fraction(std::uint64_t number) {
  return static_cast<double>(number >> 32U) / static_cast<double>(1ULL << 32U);
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
  const auto spread = by_model ? others_spread(state, carry, nodes, candidates.size()) : 0;
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
    const auto untold = by_model ? unknown_share(track, state.options.member.bound, now) : 0;
    if (by_model) {
      cost += static_cast<double>(parts_missed(track.parts, carry.call, carry.chain) + track.unread_tokens) /
              read_tokens_per_ms;
      const auto place = digest(worker.identity());
      cost += untold * spread * running_cost * unit_fraction(mix(state.random ^ carry.request ^ place));
      if (!carry.chain.empty())
        cost += (1 - untold) * spread_cost * unit_fraction(rendezvous_weight(carry.chain.front(), place));
    }
    if (worker.locality() != state.options.member.locality)
      cost += elsewhere_cost + untold * (elsewhere_cost_untold - elsewhere_cost);
    const std::pair rank{now < track.avoid_until, cost};
    if (best && rank >= *best) continue;
    best = rank;
    choice.worker = &worker;
  }
  choice.lack = choice.worker != nullptr ? Lack::none : lack;
  return choice;
}

}  // namespace weldsail
