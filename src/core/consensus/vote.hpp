#pragma once
#include "core/membership/member.hpp"

namespace weldsail {

/// A claim as one core disk remembers it.
struct Vote {
  std::string claimer;
  Moment given = 0;
};

/// How long a key is refused after its claim, where the options don't say.
inline constexpr Moment vote_kept = 1200000;

/// The disk side of claims: the first claimer of a key has this disk's vote.
struct VoteState {
  Moment bound = 3000;
  Moment kept = vote_kept;
  std::map<std::string, Vote> votes;
  std::map<std::uint64_t, wire::Envelope> waiting;
  std::uint64_t next_token = 0;
  Moment next_expiry = 0;
};

/// Prefix of the tokens that belong to the votes.
inline constexpr std::uint64_t vote_tokens = 4ULL << 40U;
void vote_start(VoteState& state, const Records& records, Moment now);
/// Takes a claim or a release; a granted claim is answered once it is synced.
void vote_receive(VoteState& state, const MemberState& member, const wire::Envelope& envelope, Moment now,
                  Effects& effects);
void vote_persisted(VoteState& state, const MemberState& member, const Persisted& event, Effects& effects);
/// All votes, as records.
std::vector<std::pair<std::string, std::string>> vote_records(const VoteState& state);
/// Drops votes that are past their time.
void vote_tick(VoteState& state, Moment now, Effects& effects);

}  // namespace weldsail
