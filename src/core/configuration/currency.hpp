#pragma once
#include "core/configuration/news.hpp"

namespace weldsail {

/// A control process's proof that its configuration is current: a quorum read of the accepted versions.
///
/// What was acknowledged is accepted by a majority of the core disks. So when a majority, asked at a moment, has
/// accepted nothing newer than what this process has, nothing newer had been acknowledged by that moment.
struct CurrencyState {
  Moment bound = 3000;
  /// When the present round was sent; 0 before the first one. By the own clock.
  Moment round = 0;
  /// The core that the round was sent to; answers prove nothing about a later one.
  CoreTag core{0, 0};
  /// Version of the configuration that each disk had accepted when it answered the round.
  std::map<std::uint64_t, std::uint64_t> accepted;
};

/// Asks all core disks, six times a bound.
void currency_tick(CurrencyState& state, NewsState& news, const MemberState& member, const wire::Core& core, Moment now,
                   Effects& effects);
/// A core disk's answer.
void currency_answer(const AcceptorState& acceptor, const MemberState& member, const wire::Envelope& envelope,
                     Effects& effects);
/// Takes a disk's answer; raises `current_as_of` once a majority has answered.
void currency_heard(CurrencyState& state, NewsState& news, const wire::Core& core, const wire::Envelope& envelope);

}  // namespace weldsail
