#pragma once
#include <optional>

#include "core/configuration/news.hpp"

namespace weldsail {

/// Takes note that a version is committed somewhere, by an offer or by what a ping tells.
void fetch_missing(NewsState& state, const wire::Known& known, Moment now);
/// Takes note that a process has a version of a value, and fetches it where it is newer than the one here, unless the
/// value is being fetched already: nothing large is under way twice.
void fetch_offered(NewsState& state, const MemberState& member, const wire::Envelope& envelope,
                   const wire::Known& offer, Moment now, Effects& effects);
/// Takes a part and asks for the next one; the value once it is whole.
std::optional<wire::RegisterValue> fetch_part(NewsState& state, const MemberState& member,
                                              const wire::Envelope& envelope, Moment now, Effects& effects);
/// Forgets offers that the value which is here now has overtaken, and fetches what is newer still.
void fetch_learned(NewsState& state, const MemberState& member, const std::string& key, Moment now, Effects& effects);
/// Asks for parts once more that haven't come, of another source where there is one.
void fetch_tick(NewsState& state, const MemberState& member, Moment now, Effects& effects);
/// The newest version of the configuration that is known to be committed, here or not.
std::uint64_t fetch_known_version(const NewsState& state);
/// Strikes off versions up to the one that is here now, and counts how long the newest of them was awaited.
void fetch_found(NewsState& state, Moment now);
/// Counts a broken invariant and says so in the log.
void delivery_violated(DeliveryState& state, const char* invariant, const std::string& key, std::uint64_t version,
                       Effects& effects);
/// True where a newer configuration is known to be committed than the one here.
bool fetch_behind(const NewsState& state);

}  // namespace weldsail
