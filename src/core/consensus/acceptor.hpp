#pragma once
#include "core/membership/member.hpp"

namespace weldsail {

/// What one core disk remembers of a key.
struct DiskCopy {
  std::uint64_t promised = 0;
  std::uint64_t accepted_epoch = 0;
  std::uint64_t version = 0;
  std::string value;
};

/// The disk side of the registers: answers only after the disk has synced.
struct AcceptorState {
  std::map<std::string, DiskCopy> copies;
  std::map<std::uint64_t, wire::Envelope> waiting;
  std::uint64_t next_token = 0;
  /// When a holder of each key was last granted something here, and since when that is known.
  std::map<std::string, Moment> granted_at;
  Moment known_since = 0;
};

void acceptor_start(AcceptorState& state, const Records& records, Moment now);
/// The process stood still: what it has not heard meanwhile tells nothing.
void acceptor_woke(AcceptorState& state, Moment now);
/// Takes prepare, accept or check; the answer goes out once it is durable.
void acceptor_receive(AcceptorState& state, const MemberState& member, const wire::Envelope& envelope, Moment now,
                      Effects& effects);
/// Sends the answers that waited for the disk; a failed sync gives none.
void acceptor_persisted(AcceptorState& state, const MemberState& member, const Persisted& event, Effects& effects);

/// The value that this disk has accepted under just this epoch and version; null where it has accepted another, or
/// none.
const std::string* acceptor_accepted(const AcceptorState& state, const std::string& key, std::uint64_t epoch,
                                     std::uint64_t version);

/// All that this disk remembers, as records.
std::vector<std::pair<std::string, std::string>> acceptor_records(const AcceptorState& state);

/// Prefix of the tokens that belong to the acceptor.
inline constexpr std::uint64_t acceptor_tokens = 1ULL << 40U;

}  // namespace weldsail
