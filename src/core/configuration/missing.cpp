#include <algorithm>

#include "core/configuration/fetch.hpp"
#include "core/consensus/duty.hpp"

/// Which committed versions of the configuration a process knows of and doesn't have yet.
namespace weldsail {
namespace {

constexpr std::size_t missing_most = 64;

}  // namespace

void fetch_missing(NewsState& state, const wire::Known& known, Moment now) {
  auto& missing = state.delivery.missing;
  if (known.key() != config_key || known.version() <= news_version(state, known.key())) return;
  if (missing.size() < missing_most || known.version() < missing.rbegin()->first) {
    if (missing.size() < missing_most) missing.try_emplace(known.version(), now);
    return;
  }
  // The newest stands for those that there is no room for.
  const auto since = missing.rbegin()->second;
  missing.erase(std::prev(missing.end()));
  missing.try_emplace(known.version(), since);
}

std::uint64_t fetch_known_version(const NewsState& state) {
  const auto& missing = state.delivery.missing;
  const auto here = news_version(state, config_key);
  return missing.empty() ? here : std::max(here, missing.rbegin()->first);
}

void fetch_found(NewsState& state, Moment now) {
  auto& missing = state.delivery.missing;
  const auto end = missing.upper_bound(news_version(state, config_key));
  const auto waited = end == missing.begin() ? 0 : now - std::prev(end)->second;
  state.delivery.adoption.add(waited);
  missing.erase(missing.begin(), end);
}

void delivery_violated(DeliveryState& state, const char* invariant, const std::string& key, std::uint64_t version,
                       Effects& effects) {
  ++state.counters.violations;
  note(effects, "invariant.violated", {{"invariant", invariant}, {"key", key}, {"version", std::to_string(version)}},
       true);
}

bool fetch_behind(const NewsState& state) { return !state.delivery.missing.empty(); }

}  // namespace weldsail
