#pragma once
#include <algorithm>

namespace weldsail {

/// Retries that a service's traffic has earned: about a fifth of it.
struct Budget {
  double earned = 0;
};

/// Share of a service's traffic that may be tried again.
inline constexpr double budget_share = 0.2;
/// Most retries that are saved up.
inline constexpr double budget_most = 5;

/// A first try earns a share of a retry.
inline void budget_earn(Budget& budget) { budget.earned = std::min(budget_most, budget.earned + budget_share); }
/// True when a retry may be made.
inline bool budget_allows(const Budget& budget) { return budget.earned >= 1; }
/// A retry is paid for.
inline void budget_spend(Budget& budget) { budget.earned -= 1; }

}  // namespace weldsail
