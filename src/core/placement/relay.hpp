#pragma once
#include "core/placement/listing.hpp"
#include "core/placement/relays.hpp"
#include "core/placement/view.hpp"

namespace weldsail {

/// A control process that hands the holder's view of the workers on to the data nodes of its locality. When the holder
/// is silent it reads the platform's list for them, so that the number of readers follows localities, not nodes.
struct RelayState {
  Moment bound = 3000;
  FleetKnown known;
  ListState list;
  Moment next_beat = 0;
  /// Localities that have a relay, as of the last tick: they share the platform's rate of calls.
  std::size_t relays = 0;
  /// This process was the relay of its locality at the last tick.
  bool active = false;
  /// Views that were handed on, and whole lists that were read for want of one.
  std::uint64_t handed_on = 0;
  std::uint64_t lists_read = 0;
};

/// What relaying needs from the rest of the node.
struct RelayContext {
  const MemberState& member;
  PipeNumbers& numbers;
  const Dialect& dialect;
  const Limits& limits;
  Moment now;
};

RelayState make_relay(Moment bound);
/// Takes the holder's view, or a data node's ask for it.
void relay_message(RelayState& state, const RelayContext& context, const wire::Envelope& envelope, Effects& effects);
/// Beats, asks the holder for what is missing, and reads the list when its word is late.
void relay_tick(RelayState& state, const RelayContext& context, Effects& effects);
/// Takes an event of the own ask for the platform's list.
void relay_pipe(RelayState& state, const RelayContext& context, const Event& event, Effects& effects);

}  // namespace weldsail
