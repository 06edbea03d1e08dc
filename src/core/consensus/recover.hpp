#pragma once
#include "core/configuration/news.hpp"
#include "core/consensus/repair.hpp"
#include "core/operations/operate.hpp"

namespace weldsail {

/// The manual way out when a majority of the core's disks is gone for good.
struct RecoverState {
  Moment bound = 3000;
  std::optional<Asker> asker;
  std::set<std::uint64_t> awaited;
  Moment begun = 0;
  std::uint64_t token = 0;
  std::uint64_t config_version = 0;
};

/// Prefix of the tokens that belong to the recovery.
inline constexpr std::uint64_t recover_tokens = 7ULL << 40U;

/// What the recovery works on.
struct RecoverContext {
  MemberState& member;
  const FormationState& formation;
  AcceptorState& acceptor;
  VoteState& vote;
  const NewsState& news;
  Moment now;
};

/// Takes an operator's order to go on with this disk alone, or says why not.
void recover_ask(RecoverState& state, const RecoverContext& context, const Asker& asker, const wire::Operate& operation,
                 Effects& effects);
/// Takes what another surviving disk holds.
void recover_answered(RecoverState& state, const RecoverContext& context, const wire::Envelope& envelope);
/// Goes on once all surviving disks have answered, or a bound is over.
void recover_tick(RecoverState& state, const RecoverContext& context, Effects& effects);
/// The new core is on the disk.
void recover_persisted(RecoverState& state, const RecoverContext& context, const Persisted& event, Effects& effects);

}  // namespace weldsail
