#include <algorithm>

#include "core/configuration/fetch.hpp"
#include "core/configuration/serve.hpp"
#include "core/consensus/duty.hpp"
#include "core/membership/rendezvous.hpp"

/// Which control processes a node asks for news, and when it moves on to others.
namespace weldsail {
namespace {

constexpr std::size_t sources_in_use = 2;
constexpr Moment asks_per_bound = 3;
/// An ask that has no answer after this part of the bound counts as lost.
constexpr Moment answers_per_bound = 10;
/// Proofs that may be awaited; the oldest give way.
constexpr std::size_t awaited_most = 64;
/// A source whose proof is older than this part of the bound may itself be cut off from the majority.
constexpr Moment fresh_per_bound = 3;

using Candidates = std::vector<const wire::Member*>;

Candidates candidates_by_rank(const MemberState& member) {
  std::map<std::uint64_t, const wire::Member*> by_node;
  std::vector<std::uint64_t> nodes;
  for (const auto* entry : live_members(member, Program::control)) {
    if (entry->node() == member.self.node()) continue;
    by_node[entry->node()] = entry;
    nodes.push_back(entry->node());
  }
  Candidates ranked;
  for (const auto node : rendezvous_order(member.self.node(), std::move(nodes))) ranked.push_back(by_node[node]);
  return ranked;
}

/// The first and the next one of another locality; one of the same locality where there is no other.
Candidates pick_apart(const Candidates& ranked) {
  if (ranked.size() <= sources_in_use) return ranked;
  const auto apart = std::ranges::find_if(
      ranked, [&](const wire::Member* entry) { return entry->locality() != ranked.front()->locality(); });
  return {ranked.front(), apart == ranked.end() ? ranked[1] : *apart};
}

/// The avoided source that was asked least lately.
const wire::Member* pick_retry(const NewsState& state, const Candidates& avoided) {
  const auto asked = [&](const wire::Member* entry) { return state.sources.at(entry->node()).asked; };
  return *std::ranges::min_element(avoided, {}, asked);
}

Candidates pick_sources(NewsState& state, const MemberState& member, Moment now) {
  Candidates usable;
  Candidates avoided;
  for (const auto* entry : candidates_by_rank(member)) {
    const auto found = state.sources.find(entry->node());
    const bool avoid = found != state.sources.end() && now < found->second.avoided_until;
    (avoid ? avoided : usable).push_back(entry);
  }
  auto picked = pick_apart(usable);
  if (picked.size() < sources_in_use && !avoided.empty() && now >= state.next_retry) {
    state.next_retry = now + state.bound / asks_per_bound / static_cast<Moment>(sources_in_use);
    picked.push_back(pick_retry(state, avoided));
  }
  return picked;
}

void drop_unanswered(NewsState& state, const MemberState& member, Moment now) {
  for (auto& [node, source] : state.sources) {
    if (!source.open || now - source.asked <= state.bound / answers_per_bound) continue;
    source.open = false;
    source.avoided_until = now + state.bound;
  }
  std::erase_if(state.sources, [&](const auto& item) {
    return !member_live(member, item.first) && now - item.second.asked > 2 * state.bound;
  });
}

bool live_data_node(const wire::Member& entry) {
  return entry.program() == static_cast<std::uint32_t>(Program::data) &&
         entry.state() <= static_cast<std::uint32_t>(MemberPhase::suspect);
}

/// The live data node that follows the one asked last on the ring of node numbers; null where there is none.
const wire::Member* next_neighbour(const NewsState& state, const MemberState& member) {
  const auto follows = member.others.upper_bound(state.last_neighbour);
  const auto fits = [](const auto& item) { return live_data_node(item.second.entry); };
  if (const auto found = std::find_if(follows, member.others.end(), fits); found != member.others.end())
    return &found->second.entry;
  const auto found = std::find_if(member.others.begin(), follows, fits);
  return found == follows ? nullptr : &found->second.entry;
}

/// Without a proof a data node asks its neighbours in turn: one of them may reach the majority.
void ask_neighbour(NewsState& state, const MemberState& member, Moment now, Effects& effects) {
  if (member.options.program != Program::data || news_proved(state, now)) return;
  if (now - state.neighbour_asked < member_beat(member)) return;
  const auto* neighbour = next_neighbour(state, member);
  if (neighbour == nullptr) return;
  state.neighbour_asked = now;
  state.last_neighbour = neighbour->node();
  news_send_ask(state, member, neighbour->node(), neighbour->address(), now, effects);
}

/// The sender's proof is of its own version of the configuration: the one here, unless it offers a newer one.
void take_proof(NewsState& state, const wire::News& news, Moment as_of) {
  const auto offer = std::ranges::find(news.offers(), config_key, &wire::Known::key);
  if (offer == news.offers().end() || offer->version() <= news_version(state, config_key))
    return news_prove_current(state, as_of);
  const auto awaited = state.awaited_proofs.try_emplace(offer->version(), as_of).first;
  awaited->second = std::max(awaited->second, as_of);
  if (state.awaited_proofs.size() > awaited_most) state.awaited_proofs.erase(state.awaited_proofs.begin());
}

}  // namespace

void news_tick(NewsState& state, const MemberState& member, Moment now, Effects& effects) {
  drop_unanswered(state, member, now);
  fetch_tick(state, member, now, effects);
  serve_tick(state, now);
  auto pause = state.bound / asks_per_bound;
  for (const auto* entry : pick_sources(state, member, now)) {
    auto& source = state.sources[entry->node()];
    if (now < source.next_ask) continue;
    source.asked = now;
    source.open = true;
    source.next_ask = now + pause;
    // Two that are asked at once take turns from then on.
    pause /= static_cast<Moment>(sources_in_use);
    news_send_ask(state, member, entry->node(), entry->address(), now, effects);
  }
  ask_neighbour(state, member, now, effects);
}

void news_answered(NewsState& state, const MemberState& member, const wire::Envelope& envelope, Moment now) {
  const auto& news = envelope.news();
  const bool aged = news.asked_ms() != 0;
  const auto age = static_cast<Moment>(news.majority_age_ms());
  if (member.options.program == Program::data && aged && news.majority_met())
    take_proof(state, news, static_cast<Moment>(news.asked_ms()) - age);
  const auto found = state.sources.find(envelope.from());
  if (found == state.sources.end()) return;
  auto& source = found->second;
  source.open = false;
  // Whoever is given news or the core is no longer remembered as one who waits. Where values are fetched first, it asks
  // again once they are here.
  const bool fetched_first = std::ranges::any_of(
      news.offers(), [&](const wire::Known& offer) { return state.delivery.fetches.contains(offer.key()); });
  if (!fetched_first && (news.values_size() > 0 || news.has_core())) source.next_ask = now;
  if (!aged) return;
  const bool fresh = news.majority_met() && age <= state.bound / fresh_per_bound;
  source.avoided_until = fresh ? 0 : now + state.bound;
}

}  // namespace weldsail
