#include "core/forwarding/paths/lengths.hpp"

#include <algorithm>
#include <cmath>

namespace weldsail {
namespace {

constexpr std::size_t kept = 64;
constexpr std::size_t least_answers = 8;
/// Share of the answers seen that waited no longer than what is told.
constexpr double quantile = 0.95;

template <typename Field>
double quantile_of(const std::vector<AnswerLength>& lengths, Field field) {
  std::vector<Moment> times;
  for (const auto& length : lengths) times.push_back(length.*field);
  const auto place = times.begin() + static_cast<std::ptrdiff_t>(quantile * static_cast<double>(times.size()));
  std::nth_element(times.begin(), place, times.end());
  return static_cast<double>(*place);
}

/// Mean time for each token after the first event; nothing while too few answers had any.
std::optional<double> mean_pace(const std::vector<AnswerLength>& lengths) {
  Moment time = 0;
  std::uint64_t tokens = 0;
  std::size_t answers = 0;
  for (const auto& length : lengths) {
    if (length.rest_tokens == 0) continue;
    time += length.rest;
    tokens += length.rest_tokens;
    ++answers;
  }
  if (answers < least_answers) return std::nullopt;
  return static_cast<double>(time) / static_cast<double>(tokens);
}

}  // namespace

void AnswerLengths::add(const AnswerLength& length) {
  if (lengths_.size() < kept) return lengths_.push_back(length);
  lengths_[oldest_] = length;
  oldest_ = (oldest_ + 1) % kept;
}

std::optional<Moment> AnswerLengths::longest(std::uint64_t most_tokens) const {
  if (lengths_.size() < least_answers) return std::nullopt;
  auto rest = quantile_of(lengths_, &AnswerLength::rest);
  if (most_tokens != 0) {
    const auto pace = mean_pace(lengths_);
    if (!pace) return std::nullopt;
    rest = *pace * static_cast<double>(most_tokens);
  }
  return static_cast<Moment>(std::ceil(quantile_of(lengths_, &AnswerLength::first) + rest));
}

}  // namespace weldsail
