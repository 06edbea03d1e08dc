#include <catch2/catch.hpp>

#include <deque>

#include "core/placement/store.hpp"

using namespace weldsail;

namespace {

constexpr Moment second = 1000;

/// Loads that a holder which looks at such a pace begins in the given time, and the most within one window.
struct BegunLoads {
  std::size_t all = 0;
  std::size_t most_in_window = 0;
};

BegunLoads begin_all(double rate, Moment pace, Moment length) {
  Limits limits;
  limits.ceiling_window = 5 * second;
  limits.ceiling_overshoot = 1.1;
  StoreShare share{.loads_per_s = rate};
  BegunLoads begun;
  std::deque<Moment> window;
  for (Moment now = pace; now <= length; now += pace) {
    while (store_allows(share, limits, 0, now)) {
      store_take(share);
      ++begun.all;
      window.push_back(now);
    }
    while (!window.empty() && now - window.front() > limits.ceiling_window) window.pop_front();
    begun.most_in_window = std::max(begun.most_in_window, window.size());
  }
  return begun;
}

}  // namespace

TEST_CASE("a holder whose ticks are far apart uses the store's whole rate and never exceeds its ceiling", "[store]") {
  constexpr double rate = 75;
  constexpr Moment length = 60 * second;
  for (const Moment pace : {25, 80, 150, 200}) {
    CAPTURE(pace);
    const auto begun = begin_all(rate, pace, length);
    CHECK(begun.all >= static_cast<std::size_t>(0.95 * rate * length / second));
    CHECK(begun.most_in_window <= static_cast<std::size_t>(rate * 5 * 1.1 + 3));
  }
}

TEST_CASE("loads that the rate allowed and that weren't given are counted while some are wanted", "[store]") {
  Limits limits;
  limits.ceiling_window = 5 * second;
  limits.ceiling_overshoot = 1.1;
  StoreShare share{.loads_per_s = 10};
  store_allows(share, limits, 0, 10 * second);
  CHECK(share.forgone == 0);
  share.wanted = true;
  store_allows(share, limits, 0, 20 * second);
  CHECK(share.forgone == Approx(100));
}
