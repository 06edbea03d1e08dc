#include "core/configuration/serve.hpp"

#include <algorithm>

#include "core/bulk/bulk.hpp"
#include "core/delta.hpp"
#include "core/hash.hpp"
#include "core/json.hpp"

namespace weldsail {
namespace {

/// A chain longer than this part of the value is no gain over the value itself.
constexpr std::size_t chain_share = 2;
/// Links that are kept for each key.
constexpr std::size_t links_most = 256;
/// Contents that are kept; who fetches an older one begins anew.
constexpr std::size_t served_most = 16;

/// Smallest part, where many ask at once.
constexpr std::size_t part_least = part_bytes / 4;
/// Bytes of parts, with pieces of messages, that may be under way before parts shrink to that.
constexpr std::size_t parts_window_most = 6 * part_bytes;
/// A part counts as under way until its asker asks again, or for this part of the bound.
constexpr Moment parts_per_bound = 30;

/// Askers share the window: each has one ask under way, so what this sends to all of them at once has a bound without
/// any of them having to wait.
std::size_t part_length(NewsState& state, std::uint64_t asker, Moment now) {
  auto& window = state.delivery.window;
  window_release(window, BulkUse::part, asker);
  window_expire(window, BulkUse::part, now - state.bound / parts_per_bound);
  const auto share = parts_window_most / (window_peers(window, BulkUse::part) + 1);
  const auto room = parts_window_most - std::min(parts_window_most, window_bytes(window));
  return std::clamp(std::min(share, room), part_least, part_bytes);
}

/// The links from a version to the newest one; empty when there is no such way.
wire::ValueChain chain_from(const NewsState& state, const wire::RegisterValue& value, std::uint64_t base_version) {
  wire::ValueChain chain;
  const auto links = state.delivery.links.find(value.key());
  if (links == state.delivery.links.end() || links->second.empty()) return chain;
  if (links->second.back().version() != value.version()) return chain;
  const auto first = std::ranges::find(links->second, base_version, &wire::ValueLink::base_version);
  for (auto link = first; link != links->second.end(); ++link) *chain.add_links() = *link;
  return chain;
}

ServedContent* find_content(NewsState& state, const wire::ValueAsk& ask) {
  const auto found = std::ranges::find_if(state.delivery.served, [&](const ServedContent& item) {
    return item.key == ask.key() && item.version == ask.version() && item.base_version == ask.base_version();
  });
  return found == state.delivery.served.end() ? nullptr : &*found;
}

/// The content that was asked for; the newest that leads on from the asker's version where there is no such.
ServedContent* content_for(NewsState& state, const wire::ValueAsk& ask) {
  if (auto* found = find_content(state, ask)) return found;
  const auto value = state.values.find(ask.key());
  if (value == state.values.end() || value->second.version() < ask.version()) return nullptr;
  const auto chain =
      ask.base_version() == 0 ? wire::ValueChain{} : chain_from(state, value->second, ask.base_version());
  const bool shorter = chain.links_size() > 0 && chain.ByteSizeLong() * chain_share < value->second.value().size();
  auto actual = ask;
  actual.set_version(value->second.version());
  if (!shorter) actual.set_base_version(0);
  if (auto* found = find_content(state, actual)) return found;
  if (state.delivery.served.size() >= served_most) state.delivery.served.pop_front();
  return &state.delivery.served.emplace_back(
      ServedContent{ask.key(), value->second.epoch(), actual.version(), actual.base_version(),
                    shorter ? chain.SerializeAsString() : value->second.value(), sha256(value->second.value())});
}

}  // namespace

void serve_value(NewsState& state, const wire::RegisterValue& value, bool takes_parts, wire::News& news) {
  if (!takes_parts || value.value().size() <= inline_most) {
    state.delivery.counters.bytes_sent += value.value().size();
    *news.add_values() = value;
    return;
  }
  auto* offer = news.add_offers();
  offer->set_key(value.key());
  offer->set_epoch(value.epoch());
  offer->set_version(value.version());
}

void serve_asked(NewsState& state, const MemberState& member, const wire::Envelope& envelope, Moment now,
                 Effects& effects) {
  const auto& ask = envelope.value_ask();
  auto* content = content_for(state, ask);
  if (content == nullptr) return;
  content->asked = now;
  const bool same = content->version == ask.version() && content->base_version == ask.base_version();
  const auto offset = same ? std::min<std::uint64_t>(ask.offset(), content->bytes.size()) : 0;
  auto answer = member_envelope(member, envelope.from());
  auto* part = answer.mutable_value_part();
  part->set_key(content->key);
  part->set_epoch(content->epoch);
  part->set_version(content->version);
  part->set_base_version(content->base_version);
  part->set_size(content->bytes.size());
  part->set_offset(offset);
  part->set_bytes(content->bytes.substr(offset, part_length(state, envelope.from(), now)));
  window_take(state.delivery.window, BulkUse::part, envelope.from(), part->bytes().size(), now);
  part->set_value_hash(content->value_hash);
  state.delivery.counters.bytes_sent += part->bytes().size();
  effects.push_back(SendMessage{envelope.address(), std::move(answer)});
}

void serve_learned(NewsState& state, const MemberState& member, const wire::RegisterValue& former,
                   const wire::RegisterValue& value) {
  auto& links = state.delivery.links[value.key()];
  const bool linked = !links.empty() && links.back().version() == value.version();
  if (!linked) {
    // A data node is nobody's steady source: it keeps the links that it was given, and makes none.
    const bool makes = member.options.program == Program::control && former.value().size() > inline_most;
    if (!makes || (!links.empty() && links.back().version() != former.version())) links.clear();
    if (makes) {
      auto& link = links.emplace_back();
      link.set_base_version(former.version());
      link.set_version(value.version());
      link.set_epoch(value.epoch());
      *link.mutable_delta() = make_delta(former.value(), value.value());
    }
  }
  std::size_t bytes = 0;
  for (const auto& link : links) bytes += link.ByteSizeLong();
  while (!links.empty() && (links.size() > links_most || bytes > value.value().size())) {
    bytes -= links.front().ByteSizeLong();
    links.pop_front();
  }
  if (links.empty()) state.delivery.links.erase(value.key());
}

void write_delivery(const NewsState& state, const BulkState& bulk, JsonText& text) {
  const auto& counters = state.delivery.counters;
  text.number("configuration_bytes_sent", counters.bytes_sent)
      .number("configuration_bytes_received", counters.bytes_received)
      .number("transfers", counters.fetches)
      .number("transfers_repeated", counters.fetches_restarted)
      .number("parts_repeated", counters.parts_repeated)
      .number("invariant_violations", counters.violations + bulk.lane.counters.violations);
  write_bulk(bulk, text);
}

void serve_tick(NewsState& state, Moment now) {
  std::erase_if(state.delivery.served, [&](const ServedContent& item) { return now - item.asked > state.bound; });
}

}  // namespace weldsail
