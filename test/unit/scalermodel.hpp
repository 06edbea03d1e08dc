#pragma once
#include <algorithm>
#include <cmath>
#include <vector>

#include "core/placement/scaler.hpp"

namespace weldsail::plain {

/// DESIGN's rules written out slowly over the whole past, as an oracle for the scaler.
class PlainScaler {
 public:
  PlainScaler(ScalerOptions options, ModelOptions model) : options_(options), model_(model) {}
  void observe(const UnitSample& sample) {
    if (!sample.measured) past_.clear();
    past_.push_back(sample);
  }

  PhaseVector decide(const UnitStanding& standing, double now_s) {
    const auto raw_prefill = raw(standing, now_s, true);
    const auto raw_decode = raw(standing, now_s, false);
    const PhaseVector wanted{bounded(raw_prefill.count, model_.prefill), bounded(raw_decode.count, model_.decode)};
    wanted_.push_back({now_s, wanted});
    PhaseVector best = standing.current;
    double best_distance = -1;
    const auto floor = highest_wanted(now_s);
    const auto goal_of = [](std::int64_t want, std::int64_t high, std::int64_t current) {
      return want >= current ? want : std::max(want, std::min(high, current));
    };
    const PhaseVector goal{goal_of(wanted.prefill, floor.prefill, standing.current.prefill),
                           goal_of(wanted.decode, floor.decode, standing.current.decode)};
    const bool up = goal.prefill > standing.current.prefill || goal.decode > standing.current.decode;
    const bool grace = standing.decode_grown && now_s - seconds(*standing.decode_grown) < options_.decode_grace_s;
    const bool shrink =
        !up && now_s - wanted_.front().first >= options_.floor_window_s && !standing.retiring && !standing.cooling;
    for (std::int64_t first = 0; first <= 64; ++first)
      for (std::int64_t second = 0; second <= 64; ++second) {
        if (!reachable(first, standing.current.prefill, floor.prefill, model_.prefill, up && !standing.pending,
                       shrink && !raw_prefill.held))
          continue;
        if (!reachable(second, standing.current.decode, floor.decode, model_.decode, up && !standing.pending,
                       shrink && !raw_decode.held && !grace))
          continue;
        const bool rest = first == 0 && second == 0;
        const double ratio = second == 0 ? -1 : static_cast<double>(first) / static_cast<double>(second);
        if (!rest && (first == 0 || ratio < options_.ratio_min - 1e-9 || ratio > options_.ratio_max + 1e-9)) continue;
        const auto distance = std::pow(static_cast<double>(first - goal.prefill), 2) +
                              std::pow(static_cast<double>(second - goal.decode), 2);
        const bool wider = first + second > best.prefill + best.decode ||
                           (first + second == best.prefill + best.decode && second > best.decode);
        if (best_distance >= 0 && (distance > best_distance || (distance == best_distance && !wider))) continue;
        best_distance = distance;
        best = {first, second};
      }
    return best;
  }

 private:
  struct Raw {
    std::int64_t count;
    bool held;
  };
  static double seconds(Moment moment) { return static_cast<double>(moment) / 1000; }
  static std::int64_t bounded(std::int64_t count, const Bounds& bounds) {
    return std::min(std::max(count, bounds.least), bounds.most);
  }

  double rate(double window_s, double now_s, bool prefill) const {
    double tokens = 0;
    double span = 0;
    for (const auto& sample : past_) {
      if (now_s - seconds(sample.until) >= window_s) continue;
      tokens += prefill ? sample.missed_tokens : sample.generated_tokens;
      span += seconds(sample.until - sample.from);
    }
    return span > 0 ? std::max(0.0, tokens / span) : 0;
  }

  std::optional<double> latency(double now_s, bool prefill) const {
    std::vector<double> values;
    double sum = 0;
    for (const auto& sample : past_) {
      if (now_s - seconds(sample.until) >= options_.panic_window_s) continue;
      const auto& all = prefill ? sample.first_token : sample.inter_token;
      sum += all.sum;
      for (std::size_t place = 0; place < all.counts.size(); ++place)
        for (std::uint64_t turn = 0; turn < all.counts[place]; ++turn)
          values.push_back(place < latency_bounds.size() ? latency_bounds[place] : -1);
    }
    if (values.empty()) return std::nullopt;
    const auto rank = static_cast<std::size_t>(std::ceil(0.95 * static_cast<double>(values.size()))) - 1;
    std::ranges::sort(values,
                      [](double left, double right) { return right < 0 ? left >= 0 : left >= 0 && left < right; });
    return values[rank] < 0 ? sum / static_cast<double>(values.size()) : values[rank];
  }

  Raw raw(const UnitStanding& standing, double now_s, bool prefill) const {
    const double capacity = prefill ? options_.prefill_tokens_per_s : options_.decode_tokens_per_s;
    const double waiting =
        (prefill ? standing.waiting_prompt_tokens : standing.waiting_generation_tokens) / options_.panic_window_s;
    const double stable = rate(options_.stable_window_s, now_s, prefill) + waiting;
    const double recent = rate(options_.panic_window_s, now_s, prefill) + waiting;
    const auto ready = prefill ? standing.ready.prefill : standing.ready.decode;
    const auto current = prefill ? standing.current.prefill : standing.current.decode;
    const bool idle = stable <= 0 && recent <= 0;
    Raw result{static_cast<std::int64_t>(std::ceil(stable / capacity - 1e-9)), false};
    if (!idle && recent >= options_.panic_threshold * static_cast<double>(ready) * capacity) {
      result.count = std::max(result.count, static_cast<std::int64_t>(std::ceil(recent / capacity - 1e-9)));
      result.held = true;
    }
    const auto seen = latency(now_s, prefill);
    const double target = prefill ? options_.ttft_target_ms : options_.itl_target_ms;
    if (!seen && !idle) result.held = true;
    if (seen && *seen > target) result.held = true;
    if (seen && *seen > target * options_.breach_ratio) result.count = std::max(result.count, current + 1);
    if (past_.empty() || !past_.back().complete || ready == 0) result.held = true;
    if (standing.waiting > 0) result.count = std::max<std::int64_t>(result.count, 1);
    return result;
  }

  PhaseVector highest_wanted(double now_s) const {
    PhaseVector high;
    for (const auto& [when, vector] : wanted_) {
      if (now_s - when > options_.floor_window_s) continue;
      high.prefill = std::max(high.prefill, vector.prefill);
      high.decode = std::max(high.decode, vector.decode);
    }
    return high;
  }

  bool reachable(std::int64_t count, std::int64_t current, std::int64_t floor, const Bounds& bounds, bool grow,
                 bool shrink) const {
    if (count == current) return true;
    if (count > current) {
      const double percent = std::ceil(static_cast<double>(current) * options_.grow_percent / 100);
      return grow && count <= bounds.most &&
             static_cast<double>(count - current) <= std::max(options_.grow_step, percent);
    }
    return shrink && count >= floor && count >= bounds.least &&
           static_cast<double>(current - count) <= options_.shrink_step;
  }

  ScalerOptions options_;
  ModelOptions model_;
  std::vector<UnitSample> past_;
  std::vector<std::pair<double, PhaseVector>> wanted_;
};

}  // namespace weldsail::plain
