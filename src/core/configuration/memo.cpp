#include "core/configuration/memo.hpp"

namespace weldsail {
namespace {

constexpr std::string_view memo_prefix = "memo/";
constexpr const char* cluster_name = "memo-cluster";
constexpr Moment tries_per_bound = 6;

}  // namespace

void memo_start(MemoState& state, const Records& records, MemberState& member, NewsState& news, Moment now) {
  state.started = now;
  if (!state.enabled) return;
  for (const auto& [name, bytes] : records) {
    wire::RegisterValue value;
    if (!name.starts_with(memo_prefix) || !value.ParseFromString(bytes)) continue;
    if (value.key() == config_key) state.version = value.version();
    news.values[value.key()] = value;
  }
  const auto cluster = records.find(cluster_name);
  if (cluster != records.end()) member.self.set_cluster(std::stoull(cluster->second));
}

bool memo_keep(MemoState& state, const MemberState& member, const NewsState& news, std::uint64_t version, Moment now,
               Effects& effects) {
  if (!state.enabled || state.version >= version) return true;
  if (state.wanted <= state.version) state.wanted_since = now;
  if (state.wanted == version && now - state.asked < state.bound / tries_per_bound) return false;
  state.wanted = version;
  state.asked = now;
  Persist kept{memo_tokens + ++state.next_token, {{cluster_name, std::to_string(member.self.cluster())}}};
  kept.records.emplace_back(std::string(memo_prefix) + config_key, news.values.at(config_key).SerializeAsString());
  effects.push_back(std::move(kept));
  return false;
}

void memo_placement(MemoState& state, const wire::RegisterValue& value, Effects& effects) {
  if (!state.enabled) return;
  effects.push_back(Persist{memo_tokens, {{std::string(memo_prefix) + placement_key, value.SerializeAsString()}}});
}

bool memo_persisted(MemoState& state, const Persisted& event) {
  if (state.next_token == 0 || event.token != memo_tokens + state.next_token || !event.kept) return false;
  state.version = state.wanted;
  return true;
}

bool memo_suffices(const MemoState& state, std::uint64_t version, Moment now) {
  return state.version != 0 && version >= state.version && now - state.started >= state.bound;
}

bool memo_late(const MemoState& state, Moment now) {
  return state.wanted > state.version && now - state.wanted_since > state.bound / 3;
}

}  // namespace weldsail
