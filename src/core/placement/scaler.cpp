#include "core/placement/scaler.hpp"

#include <algorithm>
#include <cmath>

namespace weldsail {
namespace {

constexpr double milliseconds = 1000;
constexpr std::size_t advice_limit = 256;

std::int64_t workers_for(double rate, double capacity) {
  return static_cast<std::int64_t>(std::ceil(std::max(0.0, rate) / capacity - 1e-9));
}

std::int64_t floor_of(const UnitHistory& history, std::int64_t PhaseVector::*phase, double window_s, Moment now) {
  std::int64_t highest = 0;
  for (const auto& [when, vector] : history.advice)
    if (static_cast<double>(now - when) <= window_s * milliseconds) highest = std::max(highest, vector.*phase);
  return highest;
}

bool history_spans(const UnitHistory& history, double window_s, Moment now) {
  return !history.advice.empty() && static_cast<double>(now - history.advice.front().first) >= window_s * milliseconds;
}

struct Range {
  std::int64_t least;
  std::int64_t most;
};

Range phase_range(std::int64_t current, std::int64_t floor, bool may_shrink, bool may_grow, const Bounds& bounds,
                  const ScalerOptions& options) {
  Range range{current, current};
  if (may_shrink) {
    const auto step = static_cast<std::int64_t>(options.shrink_step);
    range.least = std::min(current, std::max({floor, current - step, bounds.least}));
  }
  if (may_grow) {
    const auto percent = std::ceil(static_cast<double>(current) * options.grow_percent / 100);
    const auto step = std::max(static_cast<std::int64_t>(options.grow_step), static_cast<std::int64_t>(percent));
    range.most = std::max(current, std::min(bounds.most, current + step));
  }
  return range;
}

}  // namespace

void Latencies::add(double milliseconds) {
  const auto place =
      std::lower_bound(latency_bounds.begin(), latency_bounds.end(), milliseconds) - latency_bounds.begin();
  ++counts[static_cast<std::size_t>(place)];
  sum += milliseconds;
  ++count;
}

void Latencies::add(const Latencies& other) {
  for (std::size_t place = 0; place < counts.size(); ++place) counts[place] += other.counts[place];
  sum += other.sum;
  count += other.count;
}

std::optional<double> latency_percentile(const Latencies& latencies, double share) {
  if (latencies.count == 0) return std::nullopt;
  const auto rank = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(latencies.count)));
  std::uint64_t covered = 0;
  for (std::size_t place = 0; place < latency_bounds.size(); ++place) {
    covered += latencies.counts[place];
    if (covered >= rank) return latency_bounds[place];
  }
  return latencies.sum / static_cast<double>(latencies.count);
}

UnitRates scaler_rates(const UnitHistory& history, double window_s, Moment now) {
  UnitRates rates;
  double span = 0;
  for (const auto& sample : history.samples) {
    if (static_cast<double>(now - sample.until) >= window_s * milliseconds) continue;
    rates.missed += sample.missed_tokens;
    rates.generated += sample.generated_tokens;
    span += static_cast<double>(sample.until - sample.from) / milliseconds;
  }
  rates.known = span > 0;
  if (!rates.known) return {};
  rates.missed /= span;
  rates.generated /= span;
  return rates;
}

PhaseAdvice scaler_advise_phase(const PhaseDemand& demand, const UnitHistory& history, const ScalerOptions& options) {
  PhaseAdvice advice;
  advice.wanted = workers_for(demand.stable, demand.capacity);
  const auto ready_capacity = static_cast<double>(demand.ready) * demand.capacity;
  const bool idle = demand.stable <= 0 && demand.panic <= 0;
  if (!idle && demand.panic >= options.panic_threshold * ready_capacity) {
    advice.wanted = std::max(advice.wanted, workers_for(demand.panic, demand.capacity));
    advice.shrink_held = true;
    advice.reason = "Panic";
  }
  if (demand.latency && *demand.latency > options.breach_ratio * demand.latency_target) {
    advice.wanted = std::max(advice.wanted, demand.current + 1);
    advice.shrink_held = true;
    advice.reason = "LatencyGuardScaleUp";
  } else if (demand.latency && *demand.latency > demand.latency_target) {
    advice.shrink_held = true;
    advice.reason = "LatencyGuardHold";
  } else if (!demand.latency && !idle) {
    advice.shrink_held = true;
    advice.reason = "LatencyMissing";
  }
  if (history.samples.empty() || !history.samples.back().complete) {
    advice.shrink_held = true;
    advice.reason = "CoverageIncomplete";
  }
  if (demand.ready == 0) advice.shrink_held = true;
  return advice;
}

void scaler_observe(UnitHistory& history, const UnitSample& sample, const ScalerOptions& options) {
  if (!sample.measured) history.samples.clear();
  history.samples.push_back(sample);
  while (!history.samples.empty() &&
         static_cast<double>(sample.until - history.samples.front().until) > options.stable_window_s * milliseconds)
    history.samples.pop_front();
}

UnitAdvice scaler_advise(const UnitHistory& history, const UnitStanding& standing, const ScalerOptions& options,
                         Moment now) {
  const auto stable = scaler_rates(history, options.stable_window_s, now);
  const auto panic = scaler_rates(history, options.panic_window_s, now);
  Latencies first_token;
  Latencies inter_token;
  for (const auto& sample : history.samples) {
    if (static_cast<double>(now - sample.until) >= options.panic_window_s * milliseconds) continue;
    first_token.add(sample.first_token);
    inter_token.add(sample.inter_token);
  }
  const double waiting_prompt = standing.waiting_prompt_tokens / options.panic_window_s;
  const double waiting_generation = standing.waiting_generation_tokens / options.panic_window_s;
  constexpr double share = 0.95;
  UnitAdvice advice;
  advice.prefill = scaler_advise_phase({stable.missed + waiting_prompt, panic.missed + waiting_prompt,
                                        options.prefill_tokens_per_s, standing.current.prefill, standing.ready.prefill,
                                        latency_percentile(first_token, share), options.ttft_target_ms},
                                       history, options);
  advice.decode = scaler_advise_phase(
      {stable.generated + waiting_generation, panic.generated + waiting_generation, options.decode_tokens_per_s,
       standing.current.decode, standing.ready.decode, latency_percentile(inter_token, share), options.itl_target_ms},
      history, options);
  if (standing.waiting > 0) {
    advice.prefill.wanted = std::max<std::int64_t>(advice.prefill.wanted, 1);
    advice.decode.wanted = std::max<std::int64_t>(advice.decode.wanted, 1);
  }
  return advice;
}

PhaseVector scaler_constrain(UnitHistory& history, const UnitAdvice& advice, const UnitStanding& standing,
                             const ModelOptions& model, const ScalerOptions& options, Moment now) {
  const PhaseVector wanted{std::clamp(advice.prefill.wanted, model.prefill.least, model.prefill.most),
                           std::clamp(advice.decode.wanted, model.decode.least, model.decode.most)};
  const bool extra = !history.advice.empty() &&
                     static_cast<double>(now - history.advice.back().first) < options.interval_s * milliseconds / 2;
  if (extra) {
    auto& last = history.advice.back().second;
    last = {std::max(last.prefill, wanted.prefill), std::max(last.decode, wanted.decode)};
  } else {
    history.advice.emplace_back(now, wanted);
  }
  const bool spans = history_spans(history, options.floor_window_s, now);
  while (history.advice.size() > advice_limit ||
         (history.advice.size() > 1 &&
          static_cast<double>(now - history.advice[1].first) >= options.floor_window_s * milliseconds))
    history.advice.pop_front();
  const auto& current = standing.current;
  const PhaseVector floor{floor_of(history, &PhaseVector::prefill, options.floor_window_s, now),
                          floor_of(history, &PhaseVector::decode, options.floor_window_s, now)};
  const PhaseVector goal{std::max(wanted.prefill, std::min(floor.prefill, current.prefill)),
                         std::max(wanted.decode, std::min(floor.decode, current.decode))};
  const bool upward = goal.prefill > current.prefill || goal.decode > current.decode;
  const bool may_shrink = !upward && spans && !standing.retiring && !standing.cooling;
  const bool grace = standing.decode_grown &&
                     static_cast<double>(now - *standing.decode_grown) < options.decode_grace_s * milliseconds;
  const auto prefill = phase_range(current.prefill, floor.prefill, may_shrink && !advice.prefill.shrink_held,
                                   upward && !standing.pending, model.prefill, options);
  const auto decode = phase_range(current.decode, floor.decode, may_shrink && !advice.decode.shrink_held && !grace,
                                  upward && !standing.pending, model.decode, options);
  PhaseVector best = current;
  std::optional<std::array<std::int64_t, 3>> best_rank;
  for (auto first = prefill.least; first <= prefill.most; ++first)
    for (auto second = decode.least; second <= decode.most; ++second) {
      if (!band_holds(first, second, options)) continue;
      const auto distance =
          (first - goal.prefill) * (first - goal.prefill) + (second - goal.decode) * (second - goal.decode);
      const std::array<std::int64_t, 3> rank{distance, -(first + second), -second};
      if (best_rank && rank >= *best_rank) continue;
      best_rank = rank;
      best = {first, second};
    }
  return best;
}

}  // namespace weldsail
