#include <algorithm>

#include "core/forwarding/paths/path.hpp"

namespace weldsail {
namespace {

constexpr Moment watches_per_bound = 60;
// Without a view for this share of the bound a node asks the platform's list itself.
constexpr double view_share = 0.6;
// Part of the platform's rate of calls that all data nodes together may use.
constexpr double list_share = 0.5;
constexpr Moment track_kept_bounds = 20;

void end_late(DataState& state, Moment now, Effects& effects) {
  std::vector<std::uint64_t> late;
  for (const auto& [request, carry] : state.path.carries)
    if (now >= carry.due) late.push_back(request);
  for (const auto request : late) {
    auto& carry = state.path.carries.at(request);
    path_cancel_all(state, carry, "past_due", now, effects);
    path_move(state, request, now, effects);
  }
}

void use_list(DataState& state, Moment now, Effects& effects) {
  auto& path = state.path;
  const auto patience = static_cast<Moment>(view_share * static_cast<double>(state.options.member.bound));
  fleet_ask(path.fleet, state.member, now, effects);
  if (path.fleet.known && now - path.fleet.as_of <= patience) return;
  // Of the calls that all nodes may make at most half are for these, or the keeper itself would find no answer.
  const auto calls = static_cast<double>(path_nodes(state) * std::max<std::size_t>(1, path.list.pages));
  const auto fair = static_cast<Moment>(1000 * calls / (list_share * std::max(0.1, state.options.limits.list_rate)));
  path.list.pace = std::max(state.options.member.bound / 3, fair);
  list_tick(path.list, state.options.limits, *state.options.dialect, state.numbers, now, effects);
}

}  // namespace

void path_configure(DataState& state, const std::string& document, Moment now, Effects& effects) {
  auto read = state.options.dialect->read_config(document);
  if (!read.faults.empty()) return;
  state.path.index = PathIndex(read.config);
  state.path.keys = read.config.tenants ? KeyIndex(*read.config.tenants) : KeyIndex();
  state.path.config = std::move(read.config);
  path_early(state, now, effects);
  path_dispatch(state, now, effects);
}

void path_fleet(DataState& state, const wire::Envelope& envelope, Moment now, Effects& effects) {
  if (fleet_take(state.path.fleet, envelope.fleet(), now)) path_dispatch(state, now, effects);
}

void path_list(DataState& state, const Event& event, Moment now, Effects& effects) {
  auto& path = state.path;
  if (!list_pipe(path.list, state.options.limits, *state.options.dialect, state.numbers, event, now, effects)) return;
  if (!fleet_take_list(path.fleet, path.list.workers, path.list.asked)) return;
  path_dispatch(state, now, effects);
}

void path_tick(DataState& state, Moment now, Effects& effects) {
  if (now < state.path.next_watch) return;
  state.path.next_watch = now + state.options.member.bound / watches_per_bound;
  end_late(state, now, effects);
  path_offer_silent(state, now, effects);
  path_dispatch(state, now, effects);
  if (!state.path.early.empty()) path_early(state, now, effects);
  use_list(state, now, effects);
  std::erase_if(state.path.tracks, [&](const auto& item) {
    const auto& track = item.second;
    return track.open == 0 &&
           now - std::max(track.last_bytes, track.avoid_until) > track_kept_bounds * state.options.member.bound &&
           state.path.fleet.workers.find(item.first) == nullptr;
  });
}

}  // namespace weldsail
