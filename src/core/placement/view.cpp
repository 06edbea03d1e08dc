#include "core/placement/view.hpp"

#include <algorithm>

#include "core/placement/relays.hpp"

namespace weldsail {
namespace {

constexpr Moment beats_per_bound = 3;
constexpr Moment asks_per_bound = 12;

bool same_model(const wire::HeldModel& left, const wire::HeldModel& right) {
  return left.name() == right.name() && left.revision() == right.revision() &&
         std::ranges::equal(left.adapters(), right.adapters());
}

/// True when data nodes needn't be told; how much is left of a time is no difference, that something is left is one.
bool same_entry(const wire::WorkerEntry& left, const wire::WorkerEntry& right) {
  return left.identity() == right.identity() && left.service() == right.service() &&
         left.address() == right.address() && left.locality() == right.locality() && left.slots() == right.slots() &&
         left.draining() == right.draining() && (left.remaining_ms() > 0) == (right.remaining_ms() > 0) &&
         (left.warm_ms() > 0) == (right.warm_ms() > 0) && std::ranges::equal(left.models(), right.models(), same_model);
}

wire::FleetView head_of(const FleetKeeper& keeper, const MemberState& member, Moment now) {
  wire::FleetView view;
  view.set_term(keeper.term);
  view.set_version(keeper.version);
  view.set_age_ms(static_cast<std::uint64_t>(std::max<Moment>(0, now - keeper.asked)));
  view.set_partial_reports(true);
  view.set_data_nodes(std::max<std::size_t>(1, live_members(member, Program::data).size()));
  return view;
}

wire::FleetView whole_view(const FleetKeeper& keeper, const MemberState& member, Moment now) {
  auto view = head_of(keeper, member, now);
  for (const auto& worker : keeper.workers) *view.add_workers() = worker;
  return view;
}

void send(const MemberState& member, const wire::Member& target, const wire::FleetView& view, bool to_relay,
          Effects& effects) {
  auto envelope = member_envelope(member, target.node());
  *envelope.mutable_fleet() = view;
  if (to_relay) envelope.mutable_fleet()->set_to_relay(true);
  effects.push_back(SendMessage{target.address(), std::move(envelope)});
}

void tell(FleetKeeper& keeper, const wire::FleetView& news, std::uint64_t base, const MemberState& member, Moment now,
          Effects& effects) {
  std::map<std::uint64_t, std::uint64_t> told;
  std::optional<wire::FleetView> whole;
  Relays relays(member);
  for (const auto* node : live_members(member, Program::data)) {
    const auto* relay = relays.of(node->locality());
    const auto& target = relay != nullptr ? *relay : *node;
    if (!told.emplace(target.node(), keeper.version).second) continue;
    const auto found = keeper.told.find(target.node());
    const bool follows = found != keeper.told.end() && found->second == base;
    if (!follows && !whole) whole = whole_view(keeper, member, now);
    send(member, target, follows ? news : *whole, relay != nullptr, effects);
  }
  keeper.told = std::move(told);
  keeper.next_beat = now + keeper.bound / beats_per_bound;
}

/// Puts a worker in its place; the entry where data nodes have to be told, else null.
const wire::WorkerEntry* put_entry(FleetKeeper& keeper, wire::WorkerEntry entry) {
  ++keeper.compared;
  const auto place = std::ranges::lower_bound(keeper.workers, entry.identity(), {}, &wire::WorkerEntry::identity);
  if (place == keeper.workers.end() || place->identity() != entry.identity()) {
    return &*keeper.workers.insert(place, std::move(entry));
  }
  const bool changed = !same_entry(*place, entry);
  *place = std::move(entry);
  return changed ? &*place : nullptr;
}

bool take_away(FleetKeeper& keeper, const std::string& identity) {
  const auto place = std::ranges::lower_bound(keeper.workers, identity, {}, &wire::WorkerEntry::identity);
  if (place == keeper.workers.end() || place->identity() != identity) return false;
  keeper.workers.erase(place);
  return true;
}

void advance(FleetKnown& known, Moment as_of) {
  if (as_of <= known.as_of) return;
  const auto passed = static_cast<std::uint64_t>(as_of - known.as_of);
  const auto timed = known.workers.timed();
  for (const auto& identity : timed) {
    auto worker = *known.workers.find(identity);
    if (worker.remaining_ms() > 0)
      worker.set_remaining_ms(std::max<std::uint64_t>(worker.remaining_ms(), passed + 1) - passed);
    if (worker.warm_ms() > 0) worker.set_warm_ms(std::max<std::uint64_t>(worker.warm_ms(), passed) - passed);
    known.workers.put(worker);
  }
  known.as_of = as_of;
}

void apply(FleetKnown& known, const wire::FleetView& view) {
  if (view.base() == 0) known.workers.clear();
  for (const auto& identity : view.gone()) known.workers.remove(identity);
  for (const auto& worker : view.workers()) known.workers.put(worker);
}

}  // namespace

void fleet_begin(FleetKeeper& keeper, std::uint64_t term) {
  const auto bound = keeper.bound;
  keeper = {};
  keeper.bound = bound;
  keeper.term = term;
}

bool fleet_set(FleetKeeper& keeper, std::vector<wire::WorkerEntry> workers, Moment asked, const MemberState& member,
               Moment now, Effects& effects) {
  std::vector<std::string> gone;
  for (const auto& known : keeper.workers)
    if (!std::ranges::binary_search(workers, known.identity(), {}, &wire::WorkerEntry::identity))
      gone.push_back(known.identity());
  return fleet_change(keeper, std::move(workers), gone, asked, member, now, effects);
}

bool fleet_change(FleetKeeper& keeper, std::vector<wire::WorkerEntry> workers, const std::vector<std::string>& gone,
                  Moment asked, const MemberState& member, Moment now, Effects& effects) {
  wire::FleetView news;
  for (auto& worker : workers)
    if (const auto* changed = put_entry(keeper, std::move(worker))) *news.add_workers() = *changed;
  for (const auto& identity : gone)
    if (take_away(keeper, identity)) news.add_gone(identity);
  keeper.asked = std::max(keeper.asked, asked);
  if (keeper.version != 0 && news.workers_size() + news.gone_size() == 0) return false;
  const auto base = keeper.version++;
  news.MergeFrom(head_of(keeper, member, now));
  news.set_base(base);
  tell(keeper, news, base, member, now, effects);
  return true;
}

void fleet_beat(FleetKeeper& keeper, const MemberState& member, Moment now, Effects& effects) {
  if (keeper.version == 0) return;
  auto beat = head_of(keeper, member, now);
  beat.set_same(true);
  tell(keeper, beat, keeper.version, member, now, effects);
}

void fleet_tick(FleetKeeper& keeper, const MemberState& member, Moment now, Effects& effects) {
  if (now >= keeper.next_beat) fleet_beat(keeper, member, now, effects);
}

void fleet_asked(FleetKeeper& keeper, const wire::Envelope& envelope, const MemberState& member, Moment now,
                 Effects& effects) {
  const auto& ask = envelope.fleet_ask();
  if (keeper.version == 0 || std::pair(ask.term(), ask.version()) >= std::pair(keeper.term, keeper.version)) return;
  auto answer = member_envelope(member, envelope.from());
  *answer.mutable_fleet() = whole_view(keeper, member, now);
  effects.push_back(SendMessage{envelope.address(), std::move(answer)});
  keeper.told[envelope.from()] = keeper.version;
}

bool fleet_take(FleetKnown& known, const wire::FleetView& view, Moment now) {
  if (view.listed())
    return fleet_take_list(known, {view.workers().begin(), view.workers().end()},
                           now - static_cast<Moment>(view.age_ms()));
  const std::pair told{view.term(), view.version()};
  const std::pair here{known.term, known.version};
  const auto as_of = now - static_cast<Moment>(view.age_ms());
  if (known.known && told < here) return false;
  // What waited under way may say less than the platform's own list that came meanwhile.
  const bool own_list = known.known && known.version == 0;
  if (own_list && as_of < known.as_of) return false;
  if (known.known && told == here) {
    advance(known, as_of);
    known.data_nodes = std::max<std::uint64_t>(1, view.data_nodes());
    known.partial_reports = view.partial_reports();
    return false;
  }
  const bool follows = known.known && view.base() != 0 && view.term() == known.term && view.base() == known.version;
  if (view.same() || (view.base() != 0 && !follows)) {
    known.behind = true;
    return false;
  }
  if (follows) advance(known, as_of);
  apply(known, view);
  known.asked = 0;
  known.known = true;
  known.behind = false;
  known.term = view.term();
  known.version = view.version();
  known.as_of = as_of;
  known.data_nodes = std::max<std::uint64_t>(1, view.data_nodes());
  known.partial_reports = view.partial_reports();
  return true;
}

bool fleet_take_list(FleetKnown& known, const std::vector<wire::WorkerEntry>& workers, Moment asked) {
  if (known.known && known.as_of >= asked) return false;
  known.workers.clear();
  for (const auto& worker : workers) known.workers.put(worker);
  known.as_of = asked;
  known.known = true;
  known.version = 0;
  return true;
}

void fleet_ask(FleetKnown& known, const MemberState& member, Moment now, Effects& effects) {
  if ((known.known && !known.behind) || now < known.next_ask) return;
  Relays relays(member);
  const auto* holder = relays.holder();
  if (holder == nullptr) return;
  const auto* relay =
      member.self.program() == static_cast<std::uint32_t>(Program::data) ? relays.of(member.self.locality()) : nullptr;
  // A relay that doesn't answer is passed over for once.
  if (relay != nullptr && known.asked != relay->node()) holder = relay;
  // An answer may be under way still, and it is large: the same process is asked again after ever longer pauses.
  const auto first_pause = known.bound / asks_per_bound;
  known.ask_pause = known.asked == holder->node() ? std::min(2 * known.ask_pause, known.bound) : first_pause;
  known.asked = holder->node();
  known.next_ask = now + known.ask_pause;
  auto envelope = member_envelope(member, holder->node());
  envelope.mutable_fleet_ask()->set_term(known.behind && known.known ? known.term : 0);
  envelope.mutable_fleet_ask()->set_version(known.known ? known.version : 0);
  effects.push_back(SendMessage{holder->address(), std::move(envelope)});
}

}  // namespace weldsail
