#include "core/configuration/news.hpp"

#include <algorithm>
#include <utility>

#include "core/configuration/fetch.hpp"
#include "core/configuration/serve.hpp"
#include "core/consensus/duty.hpp"

namespace weldsail {
namespace {

/// Without a proof for this part of the bound a data node asks other data nodes, too.
constexpr Moment proofs_per_bound = 2;

bool newer(const NewsState& state, const std::string& key, std::uint64_t version) {
  return !state.values.contains(key) || version > news_version(state, key);
}

/// Whoever has been given news is no longer remembered as one who waits: it asks again.
void ask_soon(NewsState& state, Moment now) {
  for (auto& [node, source] : state.sources)
    if (!source.open) source.next_ask = now;
}

bool is_data(const MemberState& member, std::uint64_t node) {
  const auto found = member.others.find(node);
  return found != member.others.end() && found->second.entry.program() == static_cast<std::uint32_t>(Program::data);
}

/// Proofs that were awaited for versions up to the one that is here now.
void take_awaited_proofs(NewsState& state) {
  auto& awaited = state.awaited_proofs;
  const auto end = awaited.upper_bound(news_version(state, config_key));
  for (auto item = awaited.begin(); item != end; item = awaited.erase(item)) news_prove_current(state, item->second);
}

/// The version of a value that an asker has; 0 where it names none.
std::uint64_t asker_version(const wire::NewsAsk& ask, const std::string& key) {
  const auto found = std::ranges::find(ask.known(), key, &wire::Known::key);
  return found == ask.known().end() ? 0 : found->version();
}

bool answer_news(NewsState& state, const MemberState& member, const wire::Core& core, const wire::Envelope& ask,
                 Moment now, Effects& effects) {
  auto envelope = member_envelope(member, ask.from());
  auto* news = envelope.mutable_news();
  const bool data = !state.control_only.empty() && is_data(member, ask.from());
  for (const auto& [key, value] : state.values) {
    if (data && state.control_only.contains(key)) continue;
    if (value.version() > asker_version(ask.news_ask(), key))
      serve_value(state, value, ask.news_ask().takes_parts(), *news);
  }
  const bool stranger = ask.cluster() == 0 && core.formed();
  if (news->values_size() + news->offers_size() == 0 && !stranger) return false;
  *news->mutable_core() = core;
  news_write_age(state, ask.news_ask().asked_ms(), now, *news);
  effects.push_back(SendMessage{ask.address(), std::move(envelope)});
  return true;
}

}  // namespace

std::uint64_t news_version(const NewsState& state, const std::string& key) {
  const auto found = state.values.find(key);
  return found == state.values.end() ? 0 : found->second.version();
}

std::string news_document(const NewsState& state) {
  wire::ConfigValue value;
  const auto found = state.values.find(config_key);
  if (found == state.values.end() || !value.ParseFromString(found->second.value())) return {};
  return std::move(*value.mutable_document());
}

std::vector<wire::Known> news_known(const NewsState& state) {
  std::vector<wire::Known> known;
  for (const auto& [key, value] : state.values) {
    wire::Known item;
    item.set_key(key);
    item.set_epoch(value.epoch());
    item.set_version(value.version());
    known.push_back(std::move(item));
  }
  return known;
}

void news_send_ask(const NewsState& state, const MemberState& member, std::uint64_t node, const std::string& address,
                   Moment now, Effects& effects) {
  auto envelope = member_envelope(member, node);
  auto* ask = envelope.mutable_news_ask();
  for (const auto& item : news_known(state)) *ask->add_known() = item;
  ask->set_asked_ms(static_cast<std::uint64_t>(now));
  ask->set_takes_parts(true);
  effects.push_back(SendMessage{address, std::move(envelope)});
}

bool news_proved(const NewsState& state, Moment now) {
  return state.current_as_of && now - *state.current_as_of <= state.bound / proofs_per_bound;
}

void news_prove_current(NewsState& state, Moment as_of) {
  state.current_as_of = state.current_as_of ? std::max(*state.current_as_of, as_of) : as_of;
}

void news_write_age(const NewsState& state, std::uint64_t asked_ms, Moment now, wire::News& news) {
  news.set_asked_ms(asked_ms);
  news.set_majority_met(state.current_as_of.has_value());
  if (state.current_as_of) news.set_majority_age_ms(static_cast<std::uint64_t>(now - *state.current_as_of));
}

bool news_learn(NewsState& state, const MemberState& member, const wire::Core& core, const wire::RegisterValue& value,
                Moment now, Effects& effects) {
  if (!newer(state, value.key(), value.version())) return false;
  auto& own = state.values[value.key()];
  const auto former = std::exchange(own, value);
  serve_learned(state, member, former, value);
  fetch_learned(state, member, value.key(), now, effects);
  if (value.key() == config_key) take_awaited_proofs(state);
  if (value.value().size() > inline_most) ask_soon(state, now);
  for (auto item = state.waiting.begin(); item != state.waiting.end();)
    item = answer_news(state, member, core, item->second, now, effects) ? state.waiting.erase(item) : std::next(item);
  return true;
}

void news_asked(NewsState& state, const MemberState& member, const wire::Core& core, const wire::Envelope& envelope,
                Moment now, Effects& effects) {
  if (answer_news(state, member, core, envelope, now, effects)) return;
  state.waiting[envelope.from()] = envelope;
  const auto asked = envelope.news_ask().asked_ms();
  if (asked == 0) return;
  auto answer = member_envelope(member, envelope.from());
  news_write_age(state, asked, now, *answer.mutable_news());
  effects.push_back(SendMessage{envelope.address(), std::move(answer)});
}

void news_asked_once(NewsState& state, const MemberState& member, const wire::Core& core,
                     const wire::Envelope& envelope, Moment now, Effects& effects) {
  if (is_data(member, envelope.from())) answer_news(state, member, core, envelope, now, effects);
}

void news_ask_all(const NewsState& state, const MemberState& member, const wire::Core& core, Moment now,
                  Effects& effects) {
  for (const auto disk : core_members(core)) {
    const auto* entry = find_disk(member, disk);
    if (entry == nullptr) continue;
    auto envelope = member_envelope(member, entry->node());
    for (const auto& item : news_known(state)) *envelope.mutable_news_ask()->add_known() = item;
    envelope.mutable_news_ask()->set_first(true);
    envelope.mutable_news_ask()->set_asked_ms(static_cast<std::uint64_t>(now));
    envelope.mutable_news_ask()->set_takes_parts(true);
    effects.push_back(SendMessage{entry->address(), std::move(envelope)});
  }
}

void news_answer_first(NewsState& state, const AcceptorState& acceptor, const MemberState& member,
                       const wire::Core& core, const wire::Envelope& envelope, Moment now, Effects& effects) {
  auto answer = member_envelope(member, envelope.from());
  auto* news = answer.mutable_news();
  const bool data = !state.control_only.empty() && is_data(member, envelope.from());
  for (const auto& [key, value] : state.values) {
    if (data && state.control_only.contains(key)) continue;
    // What the asker names it has; former releases are sent all, as ever.
    const bool has = envelope.news_ask().takes_parts() && asker_version(envelope.news_ask(), key) >= value.version();
    if (!has) serve_value(state, value, envelope.news_ask().takes_parts(), *news);
  }
  for (const auto& [key, copy] : acceptor.copies) {
    auto* item = news->add_accepted();
    item->set_key(key);
    item->set_epoch(copy.accepted_epoch);
    item->set_version(copy.version);
  }
  *news->mutable_core() = core;
  news_write_age(state, envelope.news_ask().asked_ms(), now, *news);
  effects.push_back(SendMessage{envelope.address(), std::move(answer)});
}

void news_heard(NewsState& state, const MemberState& member, const wire::Envelope& envelope, Moment now,
                Effects& effects) {
  const bool data = member.options.program == Program::data;
  const bool from_data = is_data(member, envelope.from());
  if (from_data && !data) return;
  for (const auto& item : envelope.ping().known()) {
    if (data && state.control_only.contains(item.key())) continue;
    if (!newer(state, item.key(), item.version())) continue;
    fetch_missing(state, item, now);
    if (!from_data || !news_proved(state, now))
      news_send_ask(state, member, envelope.from(), envelope.address(), now, effects);
    else if (!state.delivery.fetches.contains(item.key()))
      ask_soon(state, now);
    return;
  }
}

}  // namespace weldsail
