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
/// Contents that are kept, those that were asked for last; who fetches another one begins anew.
constexpr std::size_t served_most = 16;

/// Smallest part, where many ask at once.
constexpr std::size_t part_least = part_bytes / 4;
/// Bytes of parts, with pieces of messages, that may be under way before parts shrink to that.
constexpr std::size_t parts_window_most = 6 * part_bytes;

/// Askers share the window: each has one ask under way, so what this sends to all of them at once has a bound without
/// any of them having to wait.
std::size_t part_length(NewsState& state, std::uint64_t asker, Moment now) {
  auto& window = state.delivery.window;
  window_release(window, BulkUse::part, asker);
  window_expire_parts(window, state.bound, now);
  const auto share = parts_window_most / (window_peers(window, BulkUse::part) + 1);
  const auto room = parts_window_most - std::min(parts_window_most, window_bytes(window));
  return std::clamp(std::min(share, room), part_least, part_bytes);
}

/// The links from a version to the newest one; empty when there is no such way.
wire::ValueChain chain_from(const NewsState& state, const wire::RegisterValue& value, std::uint64_t base_version) {
  wire::ValueChain chain;
  const auto history = state.delivery.links.find(value.key());
  if (history == state.delivery.links.end()) return chain;
  const auto& links = history->second.links;
  if (links.empty() || links.back().version() != value.version()) return chain;
  const auto first = std::ranges::find(links, base_version, &wire::ValueLink::base_version);
  for (auto link = first; link != links.end(); ++link) *chain.add_links() = *link;
  return chain;
}

void drop_oldest_link(LinkHistory& history) {
  history.bytes -= history.links.front().ByteSizeLong();
  history.links.pop_front();
}

const std::string& content_bytes(const NewsState& state, const ServedContent& content) {
  return content.own_bytes ? *content.own_bytes : state.values.at(content.key).value();
}

/// Whoever fetches a superseded value as a whole may go on with it.
void keep_superseded(DeliveryState& delivery, const wire::RegisterValue& former) {
  for (auto& content : delivery.served)
    if (!content.own_bytes && content.key == former.key()) content.own_bytes = former.value();
}

ServedContent* find_content(NewsState& state, const wire::ValueAsk& ask) {
  const auto found = std::ranges::find_if(state.delivery.served, [&](const ServedContent& item) {
    return item.key == ask.key() && item.version == ask.version() && item.base_version == ask.base_version();
  });
  return found == state.delivery.served.end() ? nullptr : &*found;
}

/// A value's hash, which is made once for all contents that lead to it.
std::string hash_of(const NewsState& state, const wire::RegisterValue& value) {
  const auto& served = state.delivery.served;
  const auto known = std::ranges::find_if(
      served, [&](const ServedContent& item) { return item.key == value.key() && item.version == value.version(); });
  return known == served.end() ? sha256(value.value()) : known->value_hash;
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
  auto hash = hash_of(state, value->second);
  // What is being fetched stays, however much has come since it was begun.
  auto& served = state.delivery.served;
  if (served.size() >= served_most) served.erase(std::ranges::min_element(served, {}, &ServedContent::asked));
  auto& content = served.emplace_back();
  content.key = ask.key();
  content.epoch = value->second.epoch();
  content.version = actual.version();
  content.base_version = actual.base_version();
  if (shorter) content.own_bytes = chain.SerializeAsString();
  content.value_hash = std::move(hash);
  return &content;
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
  const auto& bytes = content_bytes(state, *content);
  const bool same = content->version == ask.version() && content->base_version == ask.base_version();
  const auto offset = same ? std::min<std::uint64_t>(ask.offset(), bytes.size()) : 0;
  auto answer = member_envelope(member, envelope.from());
  auto* part = answer.mutable_value_part();
  part->set_key(content->key);
  part->set_epoch(content->epoch);
  part->set_version(content->version);
  part->set_base_version(content->base_version);
  part->set_size(bytes.size());
  part->set_offset(offset);
  part->set_bytes(bytes.substr(offset, part_length(state, envelope.from(), now)));
  window_take(state.delivery.window, BulkUse::part, envelope.from(), part->bytes().size(), now);
  part->set_value_hash(content->value_hash);
  state.delivery.counters.bytes_sent += part->bytes().size();
  effects.push_back(SendMessage{envelope.address(), std::move(answer)});
}

void serve_add_link(LinkHistory& history, wire::ValueLink link) {
  history.bytes += link.ByteSizeLong();
  history.links.push_back(std::move(link));
}

void serve_learned(NewsState& state, const MemberState& member, const wire::RegisterValue& former,
                   const wire::RegisterValue& value) {
  keep_superseded(state.delivery, former);
  auto& history = state.delivery.links[value.key()];
  auto& links = history.links;
  const bool linked = !links.empty() && links.back().version() == value.version();
  if (!linked) {
    // A data node is nobody's steady source: it keeps the links that it was given, and makes none.
    const bool makes = member.options.program == Program::control && former.value().size() > inline_most;
    if (!makes || (!links.empty() && links.back().version() != former.version())) history = {};
    if (makes) {
      wire::ValueLink link;
      link.set_base_version(former.version());
      link.set_version(value.version());
      link.set_epoch(value.epoch());
      *link.mutable_delta() = make_delta(former.value(), value.value());
      serve_add_link(history, std::move(link));
    }
  }
  while (!links.empty() && (links.size() > links_most || history.bytes > value.value().size()))
    drop_oldest_link(history);
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
