#include "core/configuration/news.hpp"

#include <algorithm>

namespace weldsail {
namespace {

/// Without a proof for this part of the bound a data node asks other data nodes, too.
constexpr Moment proofs_per_bound = 2;

bool newer(const NewsState& state, const std::string& key, std::uint64_t version) {
  const auto found = state.values.find(key);
  return found == state.values.end() || version > found->second.version();
}

bool is_data(const MemberState& member, std::uint64_t node) {
  const auto found = member.others.find(node);
  return found != member.others.end() && found->second.entry.program() == static_cast<std::uint32_t>(Program::data);
}

bool answer_news(const NewsState& state, const MemberState& member, const wire::Core& core, const wire::Envelope& ask,
                 Moment now, Effects& effects) {
  auto envelope = member_envelope(member, ask.from());
  auto* news = envelope.mutable_news();
  const bool data = !state.control_only.empty() && is_data(member, ask.from());
  for (const auto& [key, value] : state.values) {
    if (data && state.control_only.contains(key)) continue;
    std::uint64_t has = 0;
    for (const auto& item : ask.news_ask().known())
      if (item.key() == key) has = item.version();
    if (value.version() > has) *news->add_values() = value;
  }
  const bool stranger = ask.cluster() == 0 && core.formed();
  if (news->values_size() == 0 && !stranger) return false;
  *news->mutable_core() = core;
  news_write_age(state, ask.news_ask().asked_ms(), now, *news);
  effects.push_back(SendMessage{ask.address(), std::move(envelope)});
  return true;
}

}  // namespace

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
  state.values[value.key()] = value;
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

void news_asked_once(const NewsState& state, const MemberState& member, const wire::Core& core,
                     const wire::Envelope& envelope, Moment now, Effects& effects) {
  if (is_data(member, envelope.from())) answer_news(state, member, core, envelope, now, effects);
}

void news_ask_all(const NewsState& state, const MemberState& member, const wire::Core& core, Effects& effects) {
  for (const auto disk : core_members(core)) {
    const auto* entry = find_disk(member, disk);
    if (entry == nullptr) continue;
    auto envelope = member_envelope(member, entry->node());
    for (const auto& item : news_known(state)) *envelope.mutable_news_ask()->add_known() = item;
    envelope.mutable_news_ask()->set_first(true);
    effects.push_back(SendMessage{entry->address(), std::move(envelope)});
  }
}

void news_answer_first(const NewsState& state, const AcceptorState& acceptor, const MemberState& member,
                       const wire::Core& core, const wire::Envelope& envelope, Moment now, Effects& effects) {
  auto answer = member_envelope(member, envelope.from());
  auto* news = answer.mutable_news();
  for (const auto& [key, value] : state.values) *news->add_values() = value;
  for (const auto& [key, copy] : acceptor.copies) {
    auto* item = news->add_accepted();
    item->set_key(key);
    item->set_epoch(copy.accepted_epoch);
    item->set_version(copy.version);
  }
  *news->mutable_core() = core;
  news_write_age(state, 0, now, *news);
  effects.push_back(SendMessage{envelope.address(), std::move(answer)});
}

void news_heard(NewsState& state, const MemberState& member, const wire::Envelope& envelope, Moment now,
                Effects& effects) {
  const bool data = member.options.program == Program::data;
  if ((news_proved(state, now) || !data) && is_data(member, envelope.from())) return;
  for (const auto& item : envelope.ping().known())
    if (!(data && state.control_only.contains(item.key())) && newer(state, item.key(), item.version())) {
      news_send_ask(state, member, envelope.from(), envelope.address(), now, effects);
      return;
    }
}

}  // namespace weldsail
