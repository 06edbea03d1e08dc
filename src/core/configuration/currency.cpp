#include "core/configuration/currency.hpp"

#include "core/consensus/duty.hpp"

namespace weldsail {
namespace {

constexpr Moment rounds_per_bound = 6;

/// A disk that has accepted more proves nothing: that may or may not have been acknowledged.
void judge_round(const CurrencyState& state, NewsState& news, const wire::Core& core) {
  if (state.round == 0 || state.core != core_tag(core)) return;
  std::set<std::uint64_t> agreeing;
  for (const auto& [disk, version] : state.accepted)
    if (version <= news_version(news, config_key)) agreeing.insert(disk);
  if (core_majority(core, agreeing)) news_prove_current(news, state.round);
}

}  // namespace

void currency_tick(CurrencyState& state, NewsState& news, const MemberState& member, const wire::Core& core, Moment now,
                   Effects& effects) {
  judge_round(state, news, core);
  if (!core.formed() || (state.round != 0 && now - state.round < state.bound / rounds_per_bound)) return;
  state.round = now;
  state.core = core_tag(core);
  state.accepted.clear();
  for (const auto disk : core_members(core)) {
    const auto* entry = find_disk(member, disk);
    if (entry == nullptr) continue;
    auto envelope = member_envelope(member, entry->node());
    envelope.mutable_news_ask()->set_accepted_only(true);
    envelope.mutable_news_ask()->set_asked_ms(static_cast<std::uint64_t>(now));
    effects.push_back(SendMessage{entry->address(), std::move(envelope)});
  }
}

void currency_answer(const AcceptorState& acceptor, const MemberState& member, const wire::Envelope& envelope,
                     Effects& effects) {
  const auto copy = acceptor.copies.find(config_key);
  auto answer = member_envelope(member, envelope.from());
  auto* news = answer.mutable_news();
  news->set_asked_ms(envelope.news_ask().asked_ms());
  auto* accepted = news->add_accepted();
  accepted->set_key(config_key);
  if (copy != acceptor.copies.end()) {
    accepted->set_epoch(copy->second.accepted_epoch);
    accepted->set_version(copy->second.version);
  }
  effects.push_back(SendMessage{envelope.address(), std::move(answer)});
}

void currency_heard(CurrencyState& state, NewsState& news, const wire::Core& core, const wire::Envelope& envelope) {
  const auto& answer = envelope.news();
  if (answer.asked_ms() != static_cast<std::uint64_t>(state.round)) return;
  for (const auto& item : answer.accepted())
    if (item.key() == config_key) state.accepted[envelope.disk()] = item.version();
  judge_round(state, news, core);
}

}  // namespace weldsail
