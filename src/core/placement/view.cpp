#include "core/placement/view.hpp"

#include <algorithm>

namespace weldsail {
namespace {

constexpr Moment beats_per_bound = 3;
constexpr Moment asks_per_bound = 12;

bool same_entry(const wire::WorkerEntry& before, const wire::WorkerEntry& after) {
  auto left = before;
  auto right = after;
  for (auto* entry : {&left, &right}) {
    entry->set_remaining_ms(entry->remaining_ms() > 0 ? 1 : 0);
    entry->set_warm_ms(entry->warm_ms() > 0 ? 1 : 0);
  }
  return left.SerializeAsString() == right.SerializeAsString();
}

wire::FleetView head_of(const FleetKeeper& keeper, const MemberState& member, Moment now) {
  wire::FleetView view;
  view.set_term(keeper.term);
  view.set_version(keeper.version);
  view.set_age_ms(static_cast<std::uint64_t>(std::max<Moment>(0, now - keeper.asked)));
  view.set_data_nodes(std::max<std::size_t>(1, live_members(member, Program::data).size()));
  return view;
}

wire::FleetView whole_view(const FleetKeeper& keeper, const MemberState& member, Moment now) {
  auto view = head_of(keeper, member, now);
  for (const auto& worker : keeper.workers) *view.add_workers() = worker;
  return view;
}

void send(const MemberState& member, const wire::Member& target, const wire::FleetView& view, Effects& effects) {
  auto envelope = member_envelope(member, target.node());
  *envelope.mutable_fleet() = view;
  effects.push_back(SendMessage{target.address(), std::move(envelope)});
}

void tell(FleetKeeper& keeper, const wire::FleetView& news, std::uint64_t base, const MemberState& member, Moment now,
          Effects& effects) {
  std::map<std::uint64_t, std::uint64_t> told;
  std::optional<wire::FleetView> whole;
  for (const auto* target : live_members(member, Program::data)) {
    const auto found = keeper.told.find(target->node());
    const bool follows = found != keeper.told.end() && found->second == base;
    if (!follows && !whole) whole = whole_view(keeper, member, now);
    send(member, *target, follows ? news : *whole, effects);
    told[target->node()] = keeper.version;
  }
  keeper.told = std::move(told);
  keeper.next_beat = now + keeper.bound / beats_per_bound;
}

using EntryMap = std::map<std::string, const wire::WorkerEntry*>;

EntryMap by_identity(const std::vector<wire::WorkerEntry>& workers) {
  EntryMap map;
  for (const auto& worker : workers) map[worker.identity()] = &worker;
  return map;
}

wire::FleetView difference(const FleetKeeper& keeper, const std::vector<wire::WorkerEntry>& after) {
  wire::FleetView view;
  const auto old = by_identity(keeper.workers);
  const auto fresh = by_identity(after);
  for (const auto& [identity, worker] : fresh) {
    const auto found = old.find(identity);
    if (found == old.end() || !same_entry(*found->second, *worker)) *view.add_workers() = *worker;
  }
  for (const auto& [identity, worker] : old)
    if (!fresh.contains(identity)) view.add_gone(identity);
  return view;
}

void advance(FleetKnown& known, Moment as_of) {
  if (as_of <= known.as_of) return;
  const auto passed = static_cast<std::uint64_t>(as_of - known.as_of);
  for (auto& worker : known.workers) {
    if (worker.remaining_ms() > 0)
      worker.set_remaining_ms(std::max<std::uint64_t>(worker.remaining_ms(), passed + 1) - passed);
    if (worker.warm_ms() > 0) worker.set_warm_ms(std::max<std::uint64_t>(worker.warm_ms(), passed) - passed);
  }
  known.as_of = as_of;
}

void apply(FleetKnown& known, const wire::FleetView& view) {
  if (view.base() == 0) known.workers.clear();
  std::erase_if(known.workers, [&](const wire::WorkerEntry& worker) {
    return std::ranges::find(view.gone(), worker.identity()) != view.gone().end() ||
           std::ranges::any_of(view.workers(), [&](const auto& item) { return item.identity() == worker.identity(); });
  });
  for (const auto& worker : view.workers()) known.workers.push_back(worker);
  std::ranges::sort(known.workers, {}, &wire::WorkerEntry::identity);
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
  auto news = difference(keeper, workers);
  const bool changed = news.workers_size() + news.gone_size() > 0;
  keeper.workers = std::move(workers);
  keeper.asked = std::max(keeper.asked, asked);
  if (keeper.version != 0 && !changed) return false;
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
  const std::pair told{view.term(), view.version()};
  const std::pair here{known.term, known.version};
  const auto as_of = now - static_cast<Moment>(view.age_ms());
  if (known.known && told < here) return false;
  if (known.known && told == here) {
    advance(known, as_of);
    known.data_nodes = std::max<std::uint64_t>(1, view.data_nodes());
    return false;
  }
  const bool follows = known.known && view.base() != 0 && view.term() == known.term && view.base() == known.version;
  if (view.same() || (view.base() != 0 && !follows)) {
    known.behind = true;
    return false;
  }
  if (follows) advance(known, as_of);
  apply(known, view);
  known.known = true;
  known.behind = false;
  known.term = view.term();
  known.version = view.version();
  known.as_of = as_of;
  known.data_nodes = std::max<std::uint64_t>(1, view.data_nodes());
  return true;
}

void fleet_ask(FleetKnown& known, const MemberState& member, Moment now, Effects& effects) {
  if ((known.known && !known.behind) || now < known.next_ask) return;
  const auto* holder = duty_holder(member, placement_key);
  if (holder == nullptr) return;
  known.next_ask = now + known.bound / asks_per_bound;
  auto envelope = member_envelope(member, holder->node());
  envelope.mutable_fleet_ask()->set_term(known.behind && known.known ? known.term : 0);
  envelope.mutable_fleet_ask()->set_version(known.known ? known.version : 0);
  effects.push_back(SendMessage{holder->address(), std::move(envelope)});
}

}  // namespace weldsail
