#include "core/membership/gossip.hpp"

#include <algorithm>
#include <bit>

#include "core/membership/rendezvous.hpp"

namespace weldsail {
namespace {

constexpr std::uint32_t sends_per_doubling = 2;
constexpr std::size_t rumours_per_ping = 64;

bool live(const MemberView& view) { return view.entry.state() <= static_cast<std::uint32_t>(MemberPhase::suspect); }

std::uint64_t view_digest(const MemberState& state) {
  std::uint64_t sum = mix(state.self.node() ^ mix(state.self.revision()));
  for (const auto& [node, view] : state.others)
    if (live(view)) sum += mix(node ^ mix(view.entry.revision()));
  return sum == 0 ? 1 : sum;
}

bool settled(const MemberState& state, Moment now) {
  return state.rumours.empty() && now - state.view_changed >= state.options.bound;
}

void add_rumours(MemberState& state, wire::Ping& ping) {
  const auto limit = sends_per_doubling * static_cast<std::uint32_t>(std::bit_width(state.others.size() + 1));
  std::vector<std::pair<std::uint32_t, std::uint64_t>> order;
  for (const auto& [node, sends] : state.rumours) order.emplace_back(sends, node);
  const auto count = std::min(order.size(), rumours_per_ping);
  std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(count));
  for (std::size_t place = 0; place < count; ++place) {
    const auto node = order[place].second;
    const auto found = state.others.find(node);
    if (node == state.self.node())
      *ping.add_members() = state.self;
    else if (found != state.others.end())
      *ping.add_members() = found->second.entry;
    if (++state.rumours[node] >= limit || (node != state.self.node() && found == state.others.end()))
      state.rumours.erase(node);
  }
}

void add_all(const MemberState& state, wire::Ping& ping) {
  *ping.add_members() = state.self;
  for (const auto& [node, view] : state.others) *ping.add_members() = view.entry;
}

/// A node that is taken for gone must hear of it to refute it.
void add_doubt(const MemberState& state, std::uint64_t target, wire::Ping& ping) {
  const auto found = state.others.find(target);
  if (found == state.others.end() || found->second.entry.state() == static_cast<std::uint32_t>(MemberPhase::alive))
    return;
  *ping.add_members() = found->second.entry;
}

void add_known(const std::vector<wire::Known>& known, wire::Ping& ping) {
  for (const auto& item : known) *ping.add_known() = item;
}

bool views_differ(const MemberState& state, const wire::Ping& ping, Moment now) {
  if (ping.view() == 0 || !settled(state, now) || now - state.whole_asked < state.options.bound) return false;
  return ping.view() != view_digest(state);
}

}  // namespace

void gossip_spread(MemberState& state, std::uint64_t node) { state.rumours[node] = 0; }

wire::Envelope gossip_ping(MemberState& state, std::uint64_t target, PingKind kind,
                           const std::vector<wire::Known>& known, Moment now) {
  auto envelope = member_envelope(state, target);
  auto& ping = *envelope.mutable_ping();
  ping.set_answer(kind != PingKind::farewell);
  if (kind == PingKind::stranger || kind == PingKind::farewell) {
    *ping.add_members() = state.self;
  } else {
    add_rumours(state, ping);
    add_doubt(state, target, ping);
  }
  if (kind == PingKind::stranger || kind == PingKind::wander) add_known(known, ping);
  if (kind == PingKind::wander && settled(state, now)) ping.set_view(view_digest(state));
  return envelope;
}

void gossip_answer(MemberState& state, const wire::Envelope& envelope, const std::vector<wire::Known>& known,
                   Moment now, Effects& effects) {
  const auto& ping = envelope.ping();
  const bool unknown = !state.others.contains(envelope.from());
  const bool introduced =
      std::ranges::any_of(ping.members(), [&](const wire::Member& entry) { return entry.node() == envelope.from(); });
  if (!ping.answer() && unknown && !introduced) {
    effects.push_back(SendMessage{envelope.address(), gossip_ping(state, 0, PingKind::stranger, known, now)});
    return;
  }
  if (!ping.answer() && !ping.whole()) return;
  const bool lacks = ping.answer() && (envelope.to() == 0 || unknown || views_differ(state, ping, now));
  auto answer = member_envelope(state, envelope.from());
  auto& told = *answer.mutable_ping();
  told.set_whole(lacks);
  if (lacks) state.whole_asked = now;
  if (lacks || ping.whole()) {
    add_all(state, told);
  } else {
    add_rumours(state, told);
    add_doubt(state, envelope.from(), told);
  }
  if (ping.known_size() > 0 || lacks) add_known(known, told);
  effects.push_back(SendMessage{envelope.address(), std::move(answer)});
}

}  // namespace weldsail
