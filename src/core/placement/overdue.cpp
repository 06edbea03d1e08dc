#include "core/placement/overdue.hpp"

#include <algorithm>

namespace weldsail {
namespace {

constexpr Moment checks_per_bound = 8;
constexpr Moment notes_pace_bounds = 2;
/// Time that the turn of one adapter may take, as a part of the bound.
constexpr Moment adapter_turn_part = 10;
constexpr double milliseconds = 1000;

/// What one look found.
struct Found {
  std::vector<AdapterKey> fresh;
  std::set<AdapterKey> late;
};

void look(OverdueState& state, Found& found, const AdapterKey& key, Moment age, Moment within) {
  state.oldest = std::max(state.oldest, age);
  ++(key.second.empty() ? state.models : state.adapters);
  if (age <= within) return;
  found.late.insert(key);
  if (!state.late.contains(key)) found.fresh.push_back(key);
}

void tell(OverdueState& state, const Found& found, Moment bound, Moment now, Effects& effects) {
  if (found.fresh.empty() || now < state.next_note) return;
  state.next_note = now + notes_pace_bounds * bound;
  const auto& [unit, adapter] = found.fresh.front();
  effects.push_back(Note{"placement.overdue",
                         {{"unit", unit},
                          {"adapter", adapter},
                          {"late", std::to_string(found.late.size())},
                          {"owed_models", std::to_string(state.models)},
                          {"owed_adapters", std::to_string(state.adapters)},
                          {"oldest_ms", std::to_string(state.oldest)}},
                         true});
}

}  // namespace

Moment model_served_within(const OverdueState& state, Moment bound, double loads_per_s) {
  const auto turns = loads_per_s > 0 ? static_cast<double>(state.models) / loads_per_s * milliseconds : 0;
  return served_within_bounds * bound + static_cast<Moment>(turns);
}

Moment adapter_served_within(const OverdueState& state, Moment bound) {
  return served_within_bounds * bound + static_cast<Moment>(state.adapters) * bound / adapter_turn_part;
}

void overdue_check(OverdueState& state, WantsIndex& wants, const PathConfig& paths, double loads_per_s, Moment now,
                   Effects& effects) {
  if (now < state.next_check) return;
  const auto bound = wants.bound;
  state.next_check = now + bound / checks_per_bound;
  const auto model_within = model_served_within(state, bound, loads_per_s);
  const auto adapter_within = adapter_served_within(state, bound);
  state.models = state.adapters = 0;
  state.oldest = 0;
  Found found;
  std::erase_if(wants.unserved, [&](const auto& unit) {
    const auto& asks = wants.units.at(unit).asks;
    if (!asks_owed(asks, bound, now)) return true;
    if (unit_service(paths, unit) != nullptr) look(state, found, {unit, {}}, asks_age(asks, bound, now), model_within);
    return false;
  });
  std::erase_if(wants.asked_adapters, [&](const auto& key) {
    const auto& adapter = wants.units.at(key.first).adapters.at(key.second);
    if (!asks_owed(adapter.asks, bound, now)) return adapter.waiting == 0;
    if (unit_service(paths, key.first) != nullptr)
      look(state, found, key, asks_age(adapter.asks, bound, now), adapter_within);
    return false;
  });
  state.total += found.fresh.size();
  tell(state, found, bound, now, effects);
  state.late = std::move(found.late);
}

}  // namespace weldsail
