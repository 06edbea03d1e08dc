#include "core/configuration/fetchsources.hpp"

#include <algorithm>
#include <tuple>

#include "core/membership/rendezvous.hpp"

namespace weldsail {
namespace {

constexpr std::size_t sources_most = 8;
/// A source whose value isn't what its hash says rests for this part of the bound, and twice as long after each further
/// time, up to the bound.
constexpr Moment pauses_per_bound = 10;
constexpr std::uint64_t pause_doublings = 4;

bool is_control(const MemberState& member, std::uint64_t node) {
  const auto found = member.others.find(node);
  return found != member.others.end() && found->second.entry.program() == static_cast<std::uint32_t>(Program::control);
}

/// Sources are preferred that answer, then those that live, then control processes, which keep links between versions,
/// then the newest version; among equals each asker has its own order. So each has its turn in the end.
auto source_rank(const MemberState& member, std::uint64_t node, const ValueSource& source) {
  return std::tuple(~(source.unanswered + source.unfit), member_live(member, node), is_control(member, node),
                    source.version, mix(member.self.node() ^ node));
}

}  // namespace

std::optional<std::uint64_t> fetch_pick_source(const NewsState& state, const MemberState& member,
                                               const std::string& key, std::uint64_t avoided, Moment now) {
  const auto offers = state.delivery.sources.find(key);
  if (offers == state.delivery.sources.end() || offers->second.empty()) return std::nullopt;
  const auto rank = [&](const auto& item) {
    const bool ready = now >= item.second.pause_until;
    return std::tuple(ready, item.first != avoided, source_rank(member, item.first, item.second));
  };
  const auto best = std::ranges::max_element(offers->second, {}, rank);
  return now >= best->second.pause_until ? std::optional(best->first) : std::nullopt;
}

void fetch_pause_source(NewsState& state, const std::string& key, std::uint64_t node, Moment now) {
  auto& sources = state.delivery.sources[key];
  const auto source = sources.find(node);
  if (source == sources.end()) return;
  const auto first_pause = state.bound / pauses_per_bound;
  const auto pause = first_pause << std::min(source->second.unfit++, pause_doublings);
  source->second.pause_until = now + std::min(pause, state.bound);
  ++state.delivery.counters.source_pauses;
}

void fetch_keep_source(std::map<std::uint64_t, ValueSource>& sources, const MemberState& member, std::uint64_t node,
                       ValueSource source) {
  const auto rank = [&](const auto& item) { return source_rank(member, item.first, item.second); };
  if (sources.size() >= sources_most && !sources.contains(node))
    sources.erase(std::ranges::min_element(sources, {}, rank));
  auto& kept = sources[node];
  if (kept.version == source.version) {
    source.unfit = kept.unfit;
    source.pause_until = kept.pause_until;
  }
  kept = std::move(source);
}

}  // namespace weldsail
