#include "core/placement/counts.hpp"

#include <algorithm>

#include "core/placement/crowd.hpp"

namespace weldsail {
namespace {

/// Ratios to the contact bound, in seconds a second.
constexpr double interval_ratio = 2.0 / 3;
constexpr double stable_ratio = 8.0 / 3;
constexpr double panic_ratio = 1.2;
constexpr double floor_ratio = 100;
constexpr double cooldown_ratio = 3;
constexpr double pending_ratio = 4;
/// Prompt tokens a second that one worker reads while first events stay early.
constexpr double prefill_tokens = 12000;
/// Generated tokens a second for each slot, likewise.
constexpr double decode_tokens_per_slot = 80;
/// Below this share of what its holders take, a unit's latency isn't for lack of holders.
constexpr double latency_counts_from = 0.25;

const UnitDemand& demand_of(const PlanInput& input, const std::string& unit) {
  static const UnitDemand none;
  const auto found = input.wants.find(unit);
  return found == input.wants.end() ? none : found->second.demand;
}

std::string text_of(std::uint32_t count) { return std::to_string(count); }

bool past(const std::optional<Moment>& since, double limit_s, Moment now) {
  return since && static_cast<double>(now - *since) >= limit_s * 1000;
}

double need(double missed, double generated, const ScalerOptions& options) {
  return missed / options.prefill_tokens_per_s + generated / options.decode_tokens_per_s;
}

void move_count(HolderPlan& plan, const std::string& unit, CountClocks& clocks, std::int64_t chosen, Moment now,
                Effects& effects) {
  auto& count = plan.counts.at(unit);
  const auto before = count.count();
  if (chosen == before) return;
  count.set_count(static_cast<std::uint32_t>(chosen));
  if (count.count() > before) {
    if (!count.pending()) count.set_baseline(before);
    count.set_pending(true);
    clocks.pending_since = now;
  } else {
    count.set_shrunk_from(before);
    count.set_retiring(true);
  }
  plan_touch_unit(plan, unit);
  note(effects, "scaler.count",
       {{"unit", unit_name(count.service(), count.model())},
        {"from", text_of(before)},
        {"to", text_of(count.count())},
        {"reason", clocks.reason}});
}

UnitStanding standing_of(const HolderPlan& plan, const PlanInput& input, const std::string& unit) {
  const auto& count = plan.counts.at(unit);
  const auto& demand = demand_of(input, unit);
  UnitStanding standing;
  const auto ready = ready_holders(plan, input, unit);
  standing.current = {count.count(), count.count()};
  standing.ready = {ready, ready};
  standing.waiting = demand.waiting;
  standing.waiting_prompt_tokens = demand.prompt_tokens;
  standing.waiting_generation_tokens = demand.generation_tokens;
  standing.pending = count.pending();
  standing.retiring = count.retiring();
  standing.cooling = count.cooling();
  return standing;
}

void observe(CountClocks& clocks, const std::string& unit, const DemandPass& pass, const ScalerOptions& options) {
  if (pass.from == 0) return;
  const auto found = pass.samples.find(unit);
  UnitSample sample;
  if (found != pass.samples.end()) sample = found->second;
  sample.from = pass.from;
  sample.until = pass.until;
  sample.complete = pass.complete;
  sample.measured = pass.measured;
  scaler_observe(clocks.history, sample, options);
}

}  // namespace

ScalerOptions count_options(const Limits& limits, const PathConfig& paths, const PathService& service) {
  const auto contact = static_cast<double>(limits.contact) / 1000;
  ScalerOptions options;
  options.interval_s = contact * interval_ratio;
  options.stable_window_s = contact * stable_ratio;
  options.panic_window_s = contact * panic_ratio;
  options.panic_threshold = 1;
  options.floor_window_s = contact * floor_ratio;
  options.abort_cooldown_s = contact * cooldown_ratio;
  options.pending_timeout_s = contact * pending_ratio;
  options.decode_grace_s = 0;
  options.ratio_min = options.ratio_max = 1;
  options.prefill_tokens_per_s = prefill_tokens;
  options.decode_tokens_per_s = decode_tokens_per_slot * worker_slots(service);
  for (const auto& route : paths.routes) {
    const bool goes =
        std::ranges::any_of(route.shares, [&](const auto& share) { return share.service == service.name; });
    if (!goes || !route.by_model || route.aim <= 0) continue;
    options.ttft_target_ms = std::min(options.ttft_target_ms, static_cast<double>(route.aim));
    if (route.gap_aim > 0)
      options.itl_target_ms = std::max(options.itl_target_ms, static_cast<double>(route.gap_aim) / 2);
  }
  return options;
}

PhaseAdvice count_advise(const UnitHistory& history, const UnitStanding& standing, const ScalerOptions& options,
                         Moment now) {
  const auto stable = scaler_rates(history, options.stable_window_s, now);
  const auto panic = scaler_rates(history, options.panic_window_s, now);
  const auto waiting =
      need(standing.waiting_prompt_tokens, standing.waiting_generation_tokens, options) / options.panic_window_s;
  const auto lately = need(panic.missed, panic.generated, options) + waiting;
  Latencies first_token;
  Latencies inter_token;
  for (const auto& sample : history.samples) {
    if (static_cast<double>(now - sample.until) >= options.panic_window_s * 1000) continue;
    first_token.add(sample.first_token);
    inter_token.add(sample.inter_token);
  }
  constexpr double share = 0.95;
  // Latency asks for one more holder than there are: it says nothing until those of the last growth are ready.
  const bool measured =
      !standing.pending && lately >= latency_counts_from * static_cast<double>(standing.current.prefill);
  const auto latency = [&](const Latencies& latencies) -> std::optional<double> {
    const auto found = latency_percentile(latencies, share);
    return found && !measured ? std::optional(0.0) : found;
  };
  const PhaseDemand demand{need(stable.missed, stable.generated, options) + waiting,
                           lately,
                           1,
                           standing.current.prefill,
                           standing.ready.prefill,
                           {},
                           1};
  auto first = demand;
  first.latency = latency(first_token);
  first.latency_target = options.ttft_target_ms;
  auto second = demand;
  second.latency = latency(inter_token);
  second.latency_target = options.itl_target_ms;
  const auto advice = scaler_advise_phase(first, history, options);
  const auto other = scaler_advise_phase(second, history, options);
  auto wanted = std::max(advice.wanted, other.wanted);
  if (standing.waiting > 0) wanted = std::max<std::int64_t>(wanted, 1);
  return {wanted, advice.shrink_held || other.shrink_held, advice.shrink_held ? advice.reason : other.reason};
}

void counts_settle(HolderPlan& plan, CountClocksByUnit& clocks, std::vector<std::string>& aborted,
                   const PlanInput& input, const Limits& limits, Effects& effects) {
  for (const auto& unit : std::set(plan_index(plan).unsettled)) {
    if (input.work != nullptr) ++input.work->units;
    auto& count = plan.counts.at(unit);
    auto& own = clocks[unit];
    const auto before = count.SerializeAsString();
    const auto* service = unit_service(input.paths, unit);
    if (service == nullptr) continue;
    const auto options = count_options(limits, input.paths, *service);
    if (count.pending()) {
      if (!own.pending_since) own.pending_since = input.now;
      const bool taken = ready_holders(plan, input, unit) >= count.count();
      const bool late = past(own.pending_since, options.pending_timeout_s, input.now);
      if (late && !taken) {
        // Holders that have come up serve already: only what isn't there is given up.
        const auto ready = static_cast<std::uint32_t>(ready_holders(plan, input, unit));
        const auto kept = std::min(count.count(), std::max(count.baseline(), ready));
        note(effects, "scaler.rollback", {{"unit", unit}, {"from", text_of(count.count())}, {"to", text_of(kept)}});
        count.set_count(kept);
      }
      if (taken || late) {
        count.set_pending(false);
        count.clear_baseline();
        own.pending_since.reset();
      }
    }
    const bool broke = std::ranges::find(aborted, unit) != aborted.end();
    if (count.retiring() && (broke || !held_beyond_plan(plan, input, unit))) {
      if (broke) {
        note(effects, "scaler.abort", {{"unit", unit}, {"restored", text_of(count.shrunk_from())}});
        count.set_count(count.shrunk_from());
        count.set_cooling(true);
        own.cooling_since = input.now;
      }
      count.set_retiring(false);
      count.clear_shrunk_from();
    }
    if (count.cooling()) {
      if (!own.cooling_since) own.cooling_since = input.now;
      if (past(own.cooling_since, options.abort_cooldown_s, input.now)) {
        count.set_cooling(false);
        own.cooling_since.reset();
      }
    }
    if (count.SerializeAsString() != before) plan_touch_unit(plan, unit);
  }
  aborted.clear();
}

void counts_pass(HolderPlan& plan, CountClocksByUnit& clocks, const DemandPass& pass, const PlanInput& input,
                 const Limits& limits, Effects& effects) {
  std::set<std::string> busy;
  for (const auto& [unit, sample] : pass.samples)
    if (sample.missed_tokens + sample.generated_tokens > 0) busy.insert(unit_cell(unit));
  std::map<std::string, ScalerOptions> options;
  std::map<std::string, std::int64_t> workers;
  for (const auto& [identity, worker] : plan.workers) ++workers[worker.service];
  for (auto& [unit, count] : plan.counts) {
    const auto* service = unit_service(input.paths, unit);
    if (service == nullptr) continue;
    auto [found, fresh] = options.try_emplace(service->name);
    if (fresh) found->second = count_options(limits, input.paths, *service);
    auto& own = clocks[unit];
    observe(own, unit, pass, found->second);
    const auto standing = standing_of(plan, input, unit);
    auto advice = count_advise(own.history, standing, found->second, input.now);
    if (!busy.contains(service->name)) advice.shrink_held = true;
    const auto crowd = count_for_running(demand_of(input, unit), *service);
    if (crowd > advice.wanted) advice = {crowd, true, "Running"};
    const auto swaps = count_for_adapters(input, unit, *service);
    if (swaps > advice.wanted) advice = {swaps, true, "Adapters"};
    own.reason = advice.reason;
    const std::int64_t least = std::min<std::int64_t>(count.count(), 1);
    const ModelOptions bounds{0, {least, workers[service->name]}, {least, workers[service->name]}, 0};
    // What is advised here is a level, not a step: it doesn't have to wait for the growth before.
    auto settled = standing;
    settled.pending = false;
    const auto chosen = scaler_constrain(own.history, {advice, advice}, settled, bounds, found->second, input.now);
    move_count(plan, unit, own, chosen.prefill, input.now, effects);
  }
}

}  // namespace weldsail
