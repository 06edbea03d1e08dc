#pragma once
#include <optional>

#include "core/eventqueue.hpp"
#include "shell/client.hpp"
#include "shell/disk.hpp"
#include "shell/log.hpp"
#include "shell/messenger.hpp"
#include "shell/server.hpp"
#include "shell/stopwatch.hpp"

namespace weldsail {

/// Where a process listens and keeps its files.
struct Place {
  std::string peers;
  std::string callers;
  std::string folder;
  ServerLimits limits;
  Moment tick = 25;
  /// A second address for callers, whose requests come through door 1; may be empty.
  std::string aside = {};
  /// An address where only the process's figures are told; may be empty.
  std::string metrics = {};
};

/// Runs a program's reducer: events in, effects out.
template <typename State>
class Node {
 public:
  Node(const Place& place, State state);
  /// Begins to listen and starts the program.
  std::error_code start();
  /// Runs until the program departs.
  void run();

 private:
  /// Puts an event behind those of its urgency.
  void put(Event event);
  /// Takes urgent events, then others, each for a bounded time; false while urgent ones are left.
  bool take_turn();
  void take(const Event& event);
  /// Looks at the connections, waiting at most so long.
  void step(int milliseconds);
  /// Tells the log when events wait for too long: this process is short of processor time.
  void note_late(Moment now);
  /// Tells the program what only the shell counts.
  TransportObserved observe() const;
  void carry_out(Effect& effect);
  void send(const SendMessage& effect);
  /// Lets a departing process end its connections in order: answers are written, and requests that are half here told
  /// that they weren't run.
  void write_out();
  /// Does what is due; the milliseconds until more will be.
  int beat();

  Place place_;
  State state_;
  Loop loop_;
  Messenger messenger_;
  Server callers_;
  Client client_;
  std::optional<Disk> disk_;
  Interrupts interrupts_;
  EventQueue queue_;
  EventCosts costs_;
  /// As they were when late events were last told.
  EventCosts costs_noted_;
  TrafficByKind received_noted_;
  Moment next_late_note_ = 0;
  Moment next_tick_ = 0;
  /// Milliseconds that the last tick took.
  Moment tick_took_ = 0;
  bool departed_ = false;
  /// Longest time for that.
  Moment write_time_ = 0;
};

}  // namespace weldsail
