#pragma once
#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "core/configuration/config.hpp"

namespace weldsail {

/// Upper bounds of the latency buckets in milliseconds; one more bucket is without bound.
inline constexpr std::array<double, 20> latency_bounds = {5,   10,  20,  35,  50,   75,   100,  150,  200,  300,
                                                          400, 500, 600, 800, 1000, 1500, 2000, 3000, 5000, 10000};

/// Latencies of some span, by bucket.
struct Latencies {
  std::array<std::uint64_t, latency_bounds.size() + 1> counts{};
  double sum = 0;
  std::uint64_t count = 0;
  void add(double milliseconds);
  void add(const Latencies& other);
};

/// The bound of the bucket that covers the share, or the mean where that has none.
std::optional<double> latency_percentile(const Latencies& latencies, double share);

/// How many workers of each phase hold a model.
struct PhaseVector {
  std::int64_t prefill = 0;
  std::int64_t decode = 0;
  auto operator<=>(const PhaseVector&) const = default;
};

/// What one pass saw of a unit.
struct UnitSample {
  Moment from = 0;
  Moment until = 0;
  double missed_tokens = 0;
  double generated_tokens = 0;
  bool complete = false;
  bool measured = false;
  Latencies first_token;
  Latencies inter_token;
};

/// What else the pass knows of a unit.
struct UnitStanding {
  PhaseVector current;
  PhaseVector ready;
  std::uint64_t waiting = 0;
  double waiting_prompt_tokens = 0;
  double waiting_generation_tokens = 0;
  bool pending = false;
  bool retiring = false;
  bool cooling = false;
  std::optional<Moment> decode_grown;
};

/// What the scaler remembers of a unit between passes.
struct UnitHistory {
  std::deque<UnitSample> samples;
  std::deque<std::pair<Moment, PhaseVector>> advice;
};

/// A phase's advice with its cause.
struct PhaseAdvice {
  std::int64_t wanted = 0;
  bool shrink_held = false;
  const char* reason = "TokenThroughput";
};

/// Advice for a whole unit.
struct UnitAdvice {
  PhaseAdvice prefill;
  PhaseAdvice decode;
};

/// Tokens a second over a window; `known` when some sample lies in it.
struct UnitRates {
  double missed = 0;
  double generated = 0;
  bool known = false;
};

/// What one count is advised from: demand over both windows, and what a worker takes of it.
struct PhaseDemand {
  double stable = 0;
  double panic = 0;
  double capacity = 1;
  std::int64_t current = 0;
  std::int64_t ready = 0;
  std::optional<double> latency;
  double latency_target = 1;
};

/// Means over the samples that end within the window.
UnitRates scaler_rates(const UnitHistory& history, double window_s, Moment now);
/// A count's advice from its demand and latency, before pacing.
PhaseAdvice scaler_advise_phase(const PhaseDemand& demand, const UnitHistory& history, const ScalerOptions& options);
/// Adds a pass's sample; a fallen counter or missing measure empties the window first.
void scaler_observe(UnitHistory& history, const UnitSample& sample, const ScalerOptions& options);
/// Counts that the demand asks for, before pacing and band.
UnitAdvice scaler_advise(const UnitHistory& history, const UnitStanding& standing, const ScalerOptions& options,
                         Moment now);
/// The feasible vector nearest the advice; ties go to more workers, then to more decode.
PhaseVector scaler_constrain(UnitHistory& history, const UnitAdvice& advice, const UnitStanding& standing,
                             const ModelOptions& model, const ScalerOptions& options, Moment now);

}  // namespace weldsail
