#pragma once
#include <deque>

#include "core/configuration/takenchanges.hpp"
#include "core/dialect.hpp"
#include "core/operations/operate.hpp"

namespace weldsail {

/// An operation on the configuration that waits for its turn.
struct ConfigJob {
  Asker asker;
  wire::Operate operation;
  Moment arrived = 0;
  /// Of a change; empty for a read.
  std::string fingerprint;
  /// Decided upon once, but a refusal or repeat may be told only after a majority has confirmed this owner again.
  bool unconfirmed = false;
  /// Whoever asked has been told that the outcome is unknown.
  bool answered = false;
};

/// The configuration owner's state.
struct ConfigDutyState {
  Moment bound = 3000;
  std::deque<ConfigJob> changes;
  std::deque<ConfigJob> reads;
  std::optional<ConfigJob> under_way;
  wire::ConfigValue current;
  /// How documents are read; null for the product's own.
  const Dialect* dialect = nullptr;
  /// The operator's number of the current document, where the dialect's documents have one.
  std::uint64_t revision = 0;
  /// Changes by which repeats are recognised; older ones are left unclear.
  std::size_t remembered = remembered_changes;
};

/// Takes the value that the owner holds now.
void config_held(ConfigDutyState& state, const RegisterState& owner);
void config_take(ConfigDutyState& state, ConfigJob job);
/// Moves waiting reads and changes on where they can be.
void config_tick(ConfigDutyState& state, const MemberState& member, const wire::Core& core, RegisterState& owner,
                 Moment now, Effects& effects);
/// A change has its majority.
void config_committed(ConfigDutyState& state, const MemberState& member, const RegisterState& owner, Effects& effects);
/// The key is lost: the change under way is unknown, no waiting one took effect by being sent here.
void config_lost(ConfigDutyState& state, const MemberState& member, Effects& effects);

}  // namespace weldsail
