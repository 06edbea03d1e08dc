#pragma once
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/event.hpp"

namespace weldsail {

/// Labels of one sample, by name.
using MetricLabels = std::vector<std::pair<std::string_view, std::string>>;

/// A writer of one document in the Prometheus text exposition format, version 0.0.4. A family is begun by `counter` or
/// `gauge`; the samples that follow belong to it. A family without samples is left out.
class MetricsText {
 public:
  /// Begins a family of numbers that only grow while the process lives.
  MetricsText& counter(std::string_view name, std::string_view help);
  /// Begins a family of numbers that rise and fall.
  MetricsText& gauge(std::string_view name, std::string_view help);
  /// Adds a sample of a whole number.
  MetricsText& sample(std::uint64_t value, const MetricLabels& labels = {});
  /// Adds a sample of a span of time, in seconds.
  MetricsText& seconds(Moment milliseconds, const MetricLabels& labels = {});
  /// Begins a family of distributions.
  MetricsText& histogram(std::string_view name, std::string_view help);
  /// Adds a distribution of times: counts by bucket, the last of which has no upper bound, and the sum of all.
  MetricsText& buckets(std::span<const Moment> bounds, std::span<const std::uint64_t> counts, Moment sum,
                       const MetricLabels& labels);
  const std::string& text() const { return text_; }

 private:
  void begin(std::string_view name, std::string_view help, std::string_view type);
  void add(const std::string& value, const MetricLabels& labels, std::string_view suffix = {});

  std::string text_;
  std::string name_;
  /// HELP and TYPE of the family, until its first sample is written.
  std::string head_;
};

}  // namespace weldsail
