#pragma once
#include <optional>
#include <set>

#include "core/consensus/acceptor.hpp"

namespace weldsail {

/// Where an owner stands with its key.
enum class OwnerPhase { idle, preparing, adopting, holding };
/// What a step did to the ownership.
enum class RegisterSignal { none, held, committed, lost };

/// What a disk has accepted of a key, by the epoch and version, which name one value.
using AcceptedTag = std::pair<std::uint64_t, std::uint64_t>;

/// What one life of a disk's process has accepted: the disk may come back with a former release, which knows no deltas.
struct AcceptedBy {
  std::uint64_t node = 0;
  AcceptedTag tag = {0, 0};
};

/// A change that waits for its majority.
struct Proposal {
  std::uint64_t version = 0;
  std::string value;
  std::set<std::uint64_t> granted;
  Moment sent = 0;
  /// How a large value is made from the one before it, and which disks lack that one.
  std::optional<wire::Delta> delta = {};
  AcceptedTag base = {0, 0};
  std::set<std::uint64_t> lacking = {};
};

/// The owner side of one key.
struct RegisterState {
  std::string key;
  Moment bound = 3000;
  OwnerPhase phase = OwnerPhase::idle;
  std::uint64_t epoch = 0;
  std::uint64_t seen_epoch = 0;
  std::uint64_t version = 0;
  std::string value;
  std::uint64_t best_epoch = 0;
  std::set<std::uint64_t> promised;
  std::optional<Proposal> proposal;
  Moment since = 0;
  Moment confirmed = 0;
  Moment acts_from = 0;
  /// Nothing was granted to a former holder after this moment.
  Moment former_until = 0;
  Moment round_sent = 0;
  std::map<std::uint64_t, Moment> checked;
  /// What each disk that takes deltas has accepted last, by its word or by what was sent to it since.
  std::map<std::uint64_t, AcceptedBy> accepted_at;
  /// What the own disk had accepted when the key was asked for.
  DiskCopy known;
};

/// Seats of a core are below this; epochs are round * stride + seat.
inline constexpr std::uint64_t epoch_stride = 4096;

/// Time for which a confirmation lets an owner act.
Moment lease_length(Moment bound);
/// Seat of a disk in the core, 0 when it has none.
std::uint32_t core_seat(const wire::Core& core, std::uint64_t disk);
/// True for a disk of the set that counts until a change is over.
bool core_old(const wire::Core& core, std::uint64_t disk);
/// True for a disk of the set that a change leads to.
bool core_coming(const wire::Core& core, std::uint64_t disk);
/// Disks of the core, those that are being taken in too.
std::set<std::uint64_t> core_members(const wire::Core& core);
/// Epoch and version of a core; the larger is the newer.
using CoreTag = std::pair<std::uint64_t, std::uint64_t>;
CoreTag core_tag(const wire::Core& core);
/// True when the disks are a majority, of the old and of the new set while both count.
bool core_majority(const wire::Core& core, const std::set<std::uint64_t>& disks);

/// Begins to take the key under an epoch above all that were seen; `acceptor` is the own disk's.
void register_prepare(RegisterState& state, const MemberState& member, const wire::Core& core,
                      const AcceptorState& acceptor, Moment now, Effects& effects);
/// Proposes the next value; false when the key isn't held or a change is under way.
bool register_propose(RegisterState& state, const MemberState& member, const wire::Core& core, std::string value,
                      Moment now, Effects& effects);
RegisterSignal register_receive(RegisterState& state, const MemberState& member, const wire::Core& core,
                                const wire::Envelope& envelope, Moment now, Effects& effects);
RegisterSignal register_tick(RegisterState& state, const MemberState& member, const wire::Core& core, Moment now,
                             Effects& effects);
/// Gives the key up.
void register_release(RegisterState& state, Moment now, Effects& effects);
/// True while no other owner can have begun to act.
bool register_may_act(const RegisterState& state, Moment now);

}  // namespace weldsail
