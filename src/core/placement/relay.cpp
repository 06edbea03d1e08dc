#include "core/placement/relay.hpp"

#include <algorithm>
#include <set>

namespace weldsail {
namespace {

constexpr Moment beats_per_bound = 3;
/// The holder's word is late when the list that it tells is older than this part of the bound. Data nodes wait longer.
constexpr double late_part = 0.5;
/// Part of the platform's rate of calls that all relays together may use.
constexpr double list_share = 0.25;
constexpr double least_list_rate = 0.1;
constexpr double milliseconds = 1000;

wire::FleetView head_of(const RelayState& state, Moment now) {
  wire::FleetView view;
  view.set_term(state.known.term);
  view.set_version(state.known.version);
  view.set_age_ms(static_cast<std::uint64_t>(std::max<Moment>(0, now - state.known.as_of)));
  view.set_partial_reports(state.known.partial_reports);
  view.set_data_nodes(state.known.data_nodes);
  return view;
}

/// All workers as they are known here.
wire::FleetView whole_view(const RelayState& state, Moment now) {
  auto view = head_of(state, now);
  view.set_listed(state.known.version == 0);
  for (const auto& [identity, worker] : state.known.workers.all()) *view.add_workers() = *worker;
  return view;
}

/// Tells all data nodes of the own locality.
void hand_on(RelayState& state, const RelayContext& context, const wire::FleetView& view, Effects& effects) {
  ++state.handed_on;
  state.next_beat = context.now + state.bound / beats_per_bound;
  for (const auto* target : live_members(context.member, Program::data)) {
    if (target->locality() != context.member.self.locality()) continue;
    auto envelope = member_envelope(context.member, target->node());
    *envelope.mutable_fleet() = view;
    effects.push_back(SendMessage{target->address(), std::move(envelope)});
  }
}

/// Hands on what the holder tells. A data node that lacks what a difference begins from asks for the whole.
void take_view(RelayState& state, const RelayContext& context, const wire::FleetView& view, Effects& effects) {
  const bool changed = fleet_take(state.known, view, context.now);
  const auto same = view.term() == state.known.term && view.version() == state.known.version;
  if (!same || (!state.active && !view.to_relay())) return;
  auto news = changed ? view : head_of(state, context.now);
  news.set_same(!changed);
  news.set_age_ms(head_of(state, context.now).age_ms());
  news.clear_to_relay();
  // After an answer to the own ask, each data node asks for the whole if it needs it.
  if (changed && view.base() == 0) {
    news.clear_workers();
    news.set_same(true);
  }
  hand_on(state, context, news, effects);
}

void answer_ask(const RelayState& state, const RelayContext& context, const wire::Envelope& envelope,
                Effects& effects) {
  const auto& ask = envelope.fleet_ask();
  const auto& known = state.known;
  if (!known.known || std::pair(ask.term(), ask.version()) >= std::pair(known.term, known.version)) return;
  auto answer = member_envelope(context.member, envelope.from());
  *answer.mutable_fleet() = whole_view(state, context.now);
  effects.push_back(SendMessage{envelope.address(), std::move(answer)});
}

/// True when this process is to serve its locality; counts the relays on the way.
bool serves_here(RelayState& state, const MemberState& member) {
  Relays relays(member);
  const auto* own = relays.of(member.self.locality());
  if (own == nullptr || own->node() != member.self.node()) return false;
  std::set<std::string> localities;
  for (const auto* node : live_members(member, Program::data)) localities.insert(node->locality());
  state.relays = static_cast<std::size_t>(
      std::ranges::count_if(localities, [&](const auto& locality) { return relays.of(locality) != nullptr; }));
  return true;
}

void read_list(RelayState& state, const RelayContext& context, Effects& effects) {
  const auto calls = static_cast<double>(state.relays * std::max<std::size_t>(1, state.list.pages));
  const auto rate = list_share * std::max(least_list_rate, context.limits.list_rate);
  state.list.pace = std::max(state.bound / beats_per_bound, static_cast<Moment>(milliseconds * calls / rate));
  list_tick(state.list, context.limits, context.dialect, context.numbers, context.now, effects);
}

}  // namespace

RelayState make_relay(Moment bound) {
  RelayState state;
  state.bound = state.known.bound = bound;
  state.list.pace = bound / beats_per_bound;
  return state;
}

void relay_message(RelayState& state, const RelayContext& context, const wire::Envelope& envelope, Effects& effects) {
  if (envelope.has_fleet()) take_view(state, context, envelope.fleet(), effects);
  if (envelope.has_fleet_ask()) answer_ask(state, context, envelope, effects);
}

void relay_tick(RelayState& state, const RelayContext& context, Effects& effects) {
  state.active = serves_here(state, context.member);
  if (!state.active) return list_end(state.list, effects);
  fleet_ask(state.known, context.member, context.now, effects);
  if (!state.known.known) return;
  if (context.now >= state.next_beat) {
    auto beat = head_of(state, context.now);
    beat.set_same(true);
    hand_on(state, context, beat, effects);
  }
  const auto patience = static_cast<Moment>(late_part * static_cast<double>(state.bound));
  if (context.now - state.known.as_of > patience) read_list(state, context, effects);
}

void relay_pipe(RelayState& state, const RelayContext& context, const Event& event, Effects& effects) {
  if (!list_pipe(state.list, context.limits, context.dialect, context.numbers, event, context.now, effects)) return;
  if (!fleet_take_list(state.known, state.list.workers, state.list.asked)) return;
  ++state.lists_read;
  hand_on(state, context, whole_view(state, context.now), effects);
}

}  // namespace weldsail
