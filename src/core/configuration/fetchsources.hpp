#pragma once
#include <optional>

#include "core/configuration/news.hpp"

namespace weldsail {

/// The best source of a key that doesn't pause; another than `avoided` where there is one.
std::optional<std::uint64_t> fetch_pick_source(const NewsState& state, const MemberState& member,
                                               const std::string& key, std::uint64_t avoided, Moment now);
/// The source rests before the same version is fetched from it again, as its value wasn't what its hash says.
void fetch_pause_source(NewsState& state, const std::string& key, std::uint64_t node, Moment now);
/// Keeps an offer, in place of the worst one where there are many. What is known of a source's version stays known.
void fetch_keep_source(std::map<std::uint64_t, ValueSource>& sources, const MemberState& member, std::uint64_t node,
                       ValueSource source);

}  // namespace weldsail
