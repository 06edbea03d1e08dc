#pragma once
#include "core/consensus/duty.hpp"
#include "core/placement/workerindex.hpp"

namespace weldsail {

/// The view of all workers at its keeper, who tells it to the data nodes.
struct FleetKeeper {
  Moment bound = 3000;
  std::uint64_t term = 0;
  std::uint64_t version = 0;
  /// Sorted by identity.
  std::vector<wire::WorkerEntry> workers;
  /// The platform's list was asked for at this moment.
  Moment asked = 0;
  Moment next_beat = 0;
  /// Entries that were compared with those that data nodes know.
  std::uint64_t compared = 0;
  /// Version that each data node was last sent; 0 where a message can't be relied on.
  std::map<std::uint64_t, std::uint64_t> told;
};

/// The view as a data node knows it.
struct FleetKnown {
  Moment bound = 3000;
  bool known = false;
  std::uint64_t term = 0;
  /// 0 where `workers` is the platform's own list, which this node asked for as the keeper was silent.
  std::uint64_t version = 0;
  /// What is left of their times counts from `as_of`.
  WorkerIndex workers;
  /// The platform's list was as the view says at this moment.
  Moment as_of = 0;
  std::uint64_t data_nodes = 1;
  /// The keeper takes reports of some units alone.
  bool partial_reports = false;
  /// A newer version was heard of that isn't here.
  bool behind = false;
  Moment next_ask = 0;
  /// The holder whose answer is awaited, and the pause after the last ask.
  std::uint64_t asked = 0;
  Moment ask_pause = 0;
};

/// Begins a term's view; nothing is told before the first list.
void fleet_begin(FleetKeeper& keeper, std::uint64_t term);
/// Takes all workers as they are known now, sorted by identity; a change goes to every live data node at once, and is
/// answered with true.
bool fleet_set(FleetKeeper& keeper, std::vector<wire::WorkerEntry> workers, Moment asked, const MemberState& member,
               Moment now, Effects& effects);
/// Takes some workers as they are known now, and identities of workers that are gone; the others stay as they were.
bool fleet_change(FleetKeeper& keeper, std::vector<wire::WorkerEntry> workers, const std::vector<std::string>& gone,
                  Moment asked, const MemberState& member, Moment now, Effects& effects);
/// Tells every live data node the age of the list, and newcomers the whole view.
void fleet_beat(FleetKeeper& keeper, const MemberState& member, Moment now, Effects& effects);
/// Beats when no list has come for a while.
void fleet_tick(FleetKeeper& keeper, const MemberState& member, Moment now, Effects& effects);
/// Answers a data node that has missed something.
void fleet_asked(FleetKeeper& keeper, const wire::Envelope& envelope, const MemberState& member, Moment now,
                 Effects& effects);

/// Takes what the keeper told, unless a newer list is here; true when workers or their models changed.
bool fleet_take(FleetKnown& known, const wire::FleetView& view, Moment now);
/// Takes the platform's own list, sorted by identity and asked for at a moment, unless what is here is as new. The
/// keeper's next word that is newer is asked for whole.
bool fleet_take_list(FleetKnown& known, const std::vector<wire::WorkerEntry>& workers, Moment asked);
/// Asks the keeper where this node has nothing or is behind.
void fleet_ask(FleetKnown& known, const MemberState& member, Moment now, Effects& effects);

}  // namespace weldsail
