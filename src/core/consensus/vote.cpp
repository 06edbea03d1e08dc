#include "core/consensus/vote.hpp"

namespace weldsail {
namespace {

constexpr std::string_view vote_prefix = "vote/";

std::string record_name(const std::string& key) { return std::string(vote_prefix) + key; }

}  // namespace

void vote_start(VoteState& state, const Records& records, Moment now) {
  for (const auto& [name, bytes] : records)
    if (name.starts_with(vote_prefix) && !bytes.empty()) state.votes[name.substr(vote_prefix.size())] = {bytes, now};
}

void vote_receive(VoteState& state, const MemberState& member, const wire::Envelope& envelope, Moment now,
                  Effects& effects) {
  const auto& claim = envelope.claim();
  const auto found = state.votes.find(claim.key());
  if (claim.release()) {
    if (found == state.votes.end() || found->second.claimer != claim.claimer()) return;
    state.votes.erase(found);
    effects.push_back(Persist{vote_tokens + state.next_token++, {{record_name(claim.key()), ""}}});
    return;
  }
  auto answer = member_envelope(member, envelope.from());
  auto* claimed = answer.mutable_claimed();
  claimed->set_key(claim.key());
  claimed->set_claimer(claim.claimer());
  claimed->set_granted(found == state.votes.end() || found->second.claimer == claim.claimer());
  if (!claimed->granted()) {
    claimed->set_holder(found->second.claimer);
    effects.push_back(SendMessage{envelope.address(), std::move(answer)});
    return;
  }
  state.votes[claim.key()] = {claim.claimer(), now};
  const auto token = vote_tokens + state.next_token++;
  answer.set_address(envelope.address());
  state.waiting[token] = std::move(answer);
  effects.push_back(Persist{token, {{record_name(claim.key()), claim.claimer()}}});
}

void vote_persisted(VoteState& state, const MemberState& member, const Persisted& event, Effects& effects) {
  const auto found = state.waiting.find(event.token);
  if (found == state.waiting.end()) return;
  auto answer = std::move(found->second);
  state.waiting.erase(found);
  const auto address = answer.address();
  answer.set_address(member.self.address());
  if (event.kept) effects.push_back(SendMessage{address, std::move(answer)});
}

std::vector<std::pair<std::string, std::string>> vote_records(const VoteState& state) {
  std::vector<std::pair<std::string, std::string>> records;
  for (const auto& [key, vote] : state.votes) records.emplace_back(record_name(key), vote.claimer);
  return records;
}

void vote_tick(VoteState& state, Moment now, Effects& effects) {
  if (now < state.next_expiry) return;
  state.next_expiry = now + state.bound;
  Persist expired{vote_tokens + state.next_token++, {}};
  std::erase_if(state.votes, [&](const auto& item) {
    const bool old = now - item.second.given > state.kept;
    if (old) expired.records.emplace_back(record_name(item.first), "");
    return old;
  });
  if (!expired.records.empty()) effects.push_back(std::move(expired));
}

}  // namespace weldsail
