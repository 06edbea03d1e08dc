#include "core/configuration/fetch.hpp"

#include <algorithm>

#include "core/configuration/chain.hpp"
#include "core/configuration/fetchsources.hpp"
#include "core/configuration/serve.hpp"
#include "core/consensus/duty.hpp"
#include "core/delta.hpp"
#include "core/hash.hpp"

namespace weldsail {
namespace {

/// An answer may take this part of the bound at first, and twice as long after each that didn't come.
constexpr Moment answers_per_bound = 10;
constexpr Moment patience_doublings = 3;

Moment first_patience(const NewsState& state) { return state.bound / answers_per_bound; }
Moment most_patience(const NewsState& state) { return first_patience(state) << patience_doublings; }

void ask_part(const MemberState& member, const std::string& key, Fetch& fetch, Moment now, Effects& effects) {
  auto envelope = member_envelope(member, fetch.source);
  auto* ask = envelope.mutable_value_ask();
  ask->set_key(key);
  ask->set_version(fetch.version);
  ask->set_base_version(fetch.base_version);
  ask->set_offset(fetch.received.size());
  fetch.asked = now;
  effects.push_back(SendMessage{fetch.address, std::move(envelope)});
}

void begin(NewsState& state, const MemberState& member, const std::string& key, std::uint64_t base_version,
           std::uint64_t avoided, Moment now, Effects& effects) {
  const auto source = fetch_pick_source(state, member, key, avoided, now);
  if (!source) {
    state.delivery.fetches.erase(key);
    state.delivery.resume_at = now + first_patience(state);
    return;
  }
  auto& fetch = state.delivery.fetches[key];
  fetch = Fetch{};
  fetch.source = *source;
  fetch.address = state.delivery.sources[key][*source].address;
  fetch.version = state.delivery.sources[key][*source].version;
  fetch.base_version = base_version;
  fetch.patience = first_patience(state);
  ++state.delivery.counters.fetches;
  ask_part(member, key, fetch, now, effects);
}

void begin_anew(NewsState& state, const MemberState& member, const std::string& key, std::uint64_t base_version,
                Moment now, Effects& effects) {
  ++state.delivery.counters.fetches_restarted;
  begin(state, member, key, base_version, state.delivery.fetches[key].source, now, effects);
}

std::optional<wire::RegisterValue> read_content(NewsState& state, const std::string& key, const Fetch& fetch) {
  wire::RegisterValue value;
  value.set_key(key);
  value.set_epoch(fetch.epoch);
  value.set_version(fetch.version);
  if (fetch.base_version == 0) {
    value.set_value(fetch.received);
    if (sha256(value.value()) != fetch.value_hash) return std::nullopt;
    return value;
  }
  wire::ValueChain chain;
  const auto own = state.values.find(key);
  if (own == state.values.end() || !chain.ParseFromString(fetch.received)) return std::nullopt;
  auto followed = follow_chain(own->second, chain);
  if (!followed || followed->version() != fetch.version || followed->epoch() != fetch.epoch) return std::nullopt;
  if (sha256(followed->value()) != fetch.value_hash) return std::nullopt;
  auto& history = state.delivery.links[key];
  for (auto& link : *chain.mutable_links())
    if (link.version() > own->second.version()) serve_add_link(history, std::move(link));
  return followed;
}

/// What a part is to the fetch of its key.
enum class PartKind {
  /// Neither asked for last nor of use.
  unexpected,
  /// The one that was asked for last.
  next,
  /// The begin of other content that the source has in place of what was asked for.
  other_content,
  /// Of another chain between the same two versions, from a process that took other versions between.
  other_chain,
};

PartKind part_kind(const Fetch& fetch, std::uint64_t sender, const wire::ValuePart& part) {
  const bool begun = !fetch.received.empty();
  if (part.version() == fetch.version && part.base_version() == fetch.base_version) {
    if (begun && part.size() != fetch.size) return PartKind::other_chain;
    return part.offset() == fetch.received.size() ? PartKind::next : PartKind::unexpected;
  }
  if (part.offset() != 0 || part.version() < fetch.version) return PartKind::unexpected;
  // A late answer of a former source is welcome as a begin, but takes nothing away.
  if (begun && sender != fetch.source) return PartKind::unexpected;
  return PartKind::other_content;
}

void drop_received(DeliveryState& delivery, Fetch& fetch) {
  if (!fetch.received.empty()) ++delivery.counters.fetches_restarted;
  fetch.received.clear();
}

}  // namespace

void fetch_offered(NewsState& state, const MemberState& member, const wire::Envelope& envelope,
                   const wire::Known& offer, Moment now, Effects& effects) {
  const auto own = news_version(state, offer.key());
  if (offer.version() <= own) return;
  auto& delivery = state.delivery;
  fetch_missing(state, offer, now);
  fetch_keep_source(delivery.sources[offer.key()], member, envelope.from(),
                    {envelope.address(), offer.version(), 0, 0, 0});
  if (!delivery.fetches.contains(offer.key())) begin(state, member, offer.key(), own, 0, now, effects);
}

std::optional<wire::RegisterValue> fetch_part(NewsState& state, const MemberState& member,
                                              const wire::Envelope& envelope, Moment now, Effects& effects) {
  const auto& part = envelope.value_part();
  auto& delivery = state.delivery;
  delivery.counters.bytes_received += part.bytes().size();
  const auto found = delivery.fetches.find(part.key());
  if (found == delivery.fetches.end()) return std::nullopt;
  auto& fetch = found->second;
  switch (part_kind(fetch, envelope.from(), part)) {
    case PartKind::unexpected: return std::nullopt;
    case PartKind::other_chain: begin_anew(state, member, part.key(), 0, now, effects); return std::nullopt;
    case PartKind::other_content: drop_received(delivery, fetch); break;
    case PartKind::next: break;
  }
  const bool empty = part.bytes().empty() && part.size() > 0;
  if (empty || part.size() > message_most || fetch.received.size() + part.bytes().size() > part.size())
    return std::nullopt;
  fetch.version = part.version();
  fetch.epoch = part.epoch();
  fetch.base_version = part.base_version();
  fetch.size = part.size();
  fetch.value_hash = part.value_hash();
  fetch.received += part.bytes();
  auto& sources = delivery.sources[part.key()];
  if (const auto source = sources.find(envelope.from()); source != sources.end()) source->second.unanswered = 0;
  fetch.patience = std::clamp(2 * (now - fetch.asked), first_patience(state), 2 * first_patience(state));
  if (fetch.received.size() < fetch.size) {
    // Whoever answers is asked for the rest: it may be a former source whose answer was late.
    fetch.source = envelope.from();
    fetch.address = envelope.address();
    ask_part(member, part.key(), fetch, now, effects);
    return std::nullopt;
  }
  auto value = read_content(state, part.key(), fetch);
  if (!value) {
    // A chain that doesn't begin here, as another version has come meanwhile: the value itself always fits.
    if (fetch.base_version == 0) {
      delivery_violated(delivery, "a whole value is what its hash says", part.key(), fetch.version, effects);
      fetch_pause_source(state, part.key(), envelope.from(), now);
    }
    begin_anew(state, member, part.key(), 0, now, effects);
    return std::nullopt;
  }
  delivery.fetches.erase(found);
  return value;
}

void fetch_learned(NewsState& state, const MemberState& member, const std::string& key, Moment now, Effects& effects) {
  const auto own = news_version(state, key);
  auto& delivery = state.delivery;
  if (key == config_key) fetch_found(state, now);
  const auto sources = delivery.sources.find(key);
  if (sources == delivery.sources.end()) return;
  std::erase_if(sources->second, [&](const auto& item) { return item.second.version <= own; });
  const auto fetch = delivery.fetches.find(key);
  if (fetch != delivery.fetches.end() && fetch->second.version <= own) delivery.fetches.erase(fetch);
  if (!delivery.fetches.contains(key)) begin(state, member, key, own, 0, now, effects);
  if (delivery.sources[key].empty()) delivery.sources.erase(key);
}

namespace {

/// Begins what no fetch is under way for, as all sources paused.
void begin_after_pauses(NewsState& state, const MemberState& member, Moment now, Effects& effects) {
  if (now < state.delivery.resume_at) return;
  for (const auto& [key, sources] : state.delivery.sources)
    if (!state.delivery.fetches.contains(key)) begin(state, member, key, news_version(state, key), 0, now, effects);
}

}  // namespace

void fetch_tick(NewsState& state, const MemberState& member, Moment now, Effects& effects) {
  begin_after_pauses(state, member, now, effects);
  std::vector<std::string> late;
  for (const auto& [key, fetch] : state.delivery.fetches)
    if (now - fetch.asked >= fetch.patience) late.push_back(key);
  for (const auto& key : late) {
    auto& fetch = state.delivery.fetches[key];
    auto& sources = state.delivery.sources[key];
    if (const auto silent = sources.find(fetch.source); silent != sources.end()) ++silent->second.unanswered;
    const auto source = fetch_pick_source(state, member, key, fetch.source, now);
    if (!source) {
      state.delivery.fetches.erase(key);
      continue;
    }
    ++state.delivery.counters.parts_repeated;
    // A chain from elsewhere may have other links; a whole value is the same wherever it comes from.
    if (*source != fetch.source && fetch.base_version != 0) fetch.received.clear();
    fetch.source = *source;
    fetch.address = sources[*source].address;
    fetch.patience = std::min(2 * fetch.patience, most_patience(state));
    ask_part(member, key, fetch, now, effects);
  }
}

}  // namespace weldsail
