#include "core/forwarding/paths/lengths.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace weldsail {
namespace {

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

/// Milliseconds for each token after the first event; 0 where there was none.
double mean_pace(const std::vector<AnswerLength>& lengths) {
  Moment time = 0;
  std::uint64_t tokens = 0;
  for (const auto& length : lengths) {
    if (length.rest_tokens == 0) continue;
    time += length.rest;
    tokens += length.rest_tokens;
  }
  return tokens == 0 ? 0 : static_cast<double>(time) / static_cast<double>(tokens);
}

}  // namespace

void AnswerLengths::add(const AnswerLength& length) { lengths_[added_++ % kept] = length; }

std::optional<Moment> AnswerLengths::longest(std::uint64_t most_tokens) const {
  if (added_ < least_answers) return std::nullopt;
  const auto end = lengths_.begin() + static_cast<std::ptrdiff_t>(std::min(added_, kept));
  const std::vector<AnswerLength> seen(lengths_.begin(), end);
  const auto rest =
      most_tokens == 0 ? quantile_of(seen, &AnswerLength::rest) : mean_pace(seen) * static_cast<double>(most_tokens);
  return static_cast<Moment>(std::ceil(quantile_of(seen, &AnswerLength::first) + rest));
}

}  // namespace weldsail
