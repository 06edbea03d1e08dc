#include "core/configuration/news.hpp"

#include <algorithm>

#include "core/membership/rendezvous.hpp"

namespace weldsail {
namespace {

constexpr std::ptrdiff_t sources = 2;

bool newer(const NewsState& state, const std::string& key, std::uint64_t version) {
  const auto found = state.values.find(key);
  return found == state.values.end() || version > found->second.version();
}

bool asks_as_data(const MemberState& member, std::uint64_t node) {
  const auto found = member.others.find(node);
  return found != member.others.end() && found->second.entry.program() == static_cast<std::uint32_t>(Program::data);
}

bool answer_news(const NewsState& state, const MemberState& member, const wire::Core& core, const wire::Envelope& ask,
                 Effects& effects) {
  auto envelope = member_envelope(member, ask.from());
  auto* news = envelope.mutable_news();
  const bool data = !state.control_only.empty() && asks_as_data(member, ask.from());
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
  effects.push_back(SendMessage{ask.address(), std::move(envelope)});
  return true;
}

void ask(NewsState& state, const MemberState& member, std::uint64_t node, const std::string& address,
         Effects& effects) {
  auto envelope = member_envelope(member, node);
  for (const auto& item : news_known(state)) *envelope.mutable_news_ask()->add_known() = item;
  envelope.mutable_news_ask();
  effects.push_back(SendMessage{address, std::move(envelope)});
}

std::vector<const wire::Member*> pick_sources(const MemberState& member) {
  std::map<std::uint64_t, const wire::Member*> candidates;
  std::vector<std::uint64_t> nodes;
  for (const auto* entry : live_members(member, Program::control)) {
    if (entry->node() == member.self.node()) continue;
    candidates[entry->node()] = entry;
    nodes.push_back(entry->node());
  }
  std::vector<const wire::Member*> picked;
  const auto order = rendezvous_order(member.self.node(), nodes);
  for (const auto node : order)
    if (picked.empty() || (picked.size() == 1 && picked.front()->locality() != candidates[node]->locality()))
      picked.push_back(candidates[node]);
  if (picked.size() == 1 && order.size() > 1) picked.push_back(candidates[order[1]]);
  return picked;
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

bool news_learn(NewsState& state, const MemberState& member, const wire::Core& core, const wire::RegisterValue& value,
                Effects& effects) {
  if (!newer(state, value.key(), value.version())) return false;
  state.values[value.key()] = value;
  for (auto item = state.waiting.begin(); item != state.waiting.end();)
    item = answer_news(state, member, core, item->second, effects) ? state.waiting.erase(item) : std::next(item);
  return true;
}

void news_tick(NewsState& state, const MemberState& member, Moment now, Effects& effects) {
  const auto open =
      std::ranges::count_if(state.asked, [&](const auto& item) { return now - item.second < state.bound / 3; });
  if (open >= sources) return;
  for (const auto* source : pick_sources(member)) {
    const auto found = state.asked.find(source->node());
    if (found != state.asked.end() && now - found->second < state.bound / 3) continue;
    state.asked[source->node()] = now;
    ask(state, member, source->node(), source->address(), effects);
  }
  std::erase_if(state.asked, [&](const auto& item) { return now - item.second > state.bound * 2; });
}

void news_asked(NewsState& state, const MemberState& member, const wire::Core& core, const wire::Envelope& envelope,
                Effects& effects) {
  if (!answer_news(state, member, core, envelope, effects)) state.waiting[envelope.from()] = envelope;
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
                       const wire::Core& core, const wire::Envelope& envelope, Effects& effects) {
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
  effects.push_back(SendMessage{envelope.address(), std::move(answer)});
}

void news_heard(NewsState& state, const MemberState& member, const wire::Envelope& envelope, Effects& effects) {
  const bool data = member.options.program == Program::data;
  for (const auto& item : envelope.ping().known())
    if (!(data && state.control_only.contains(item.key())) && newer(state, item.key(), item.version())) {
      ask(state, member, envelope.from(), envelope.address(), effects);
      return;
    }
}

}  // namespace weldsail
