#pragma once
#include <deque>
#include <memory>
#include <set>

#include "core/asks.hpp"
#include "core/dialect.hpp"
#include "core/forwarding/paths/lengths.hpp"
#include "core/forwarding/paths/losses.hpp"
#include "core/limits.hpp"
#include "core/placement/scaler.hpp"

namespace weldsail {

/// Where one try at a worker stands. A silent one is still open, beside a later try at another worker. One that was
/// left was ended by this node's choice, not by a fault of its worker.
enum class TryPhase { open, silent, left, not_run, unsent, broken, failed, whole };

/// Reads a stream's events as far as passing them on needs it.
struct EventReader {
  std::string buffer;
  std::optional<std::uint64_t> last;
  bool disordered = false;
};

/// What a worker has answered so far.
struct PartialAnswer {
  int status = 0;
  RunHead head;
  std::string body;
  EventReader reader;
};

/// One try to have a worker run a request.
struct PathTry {
  std::string worker;
  std::uint64_t pipe = 0;
  TryPhase phase = TryPhase::open;
  Moment begun = 0;
  Moment ended = 0;
  Moment last_bytes = 0;
  std::uint64_t missed_tokens = 0;
  bool has_event = false;
  /// When its first event came.
  Moment first_event = 0;
  std::uint64_t events = 0;
  /// Of a silent try, to go on from there.
  std::optional<PartialAnswer> partial = std::nullopt;
};

/// A caller's request by host and path, in this node.
struct PathCarry {
  std::uint64_t request = 0;
  std::string method;
  std::string target;
  std::string path;
  /// Until the request can't be sent to a worker any more.
  Body body;
  PathCall call;
  PathRoute route;
  std::uint64_t revision = 0;
  std::string service;
  std::string unit;
  /// Whose key the request carries, by the configuration that it was placed under; empty where it needs none.
  std::string tenant;
  std::vector<std::uint64_t> chain;
  Moment arrived = 0;
  Moment due = 0;
  std::vector<PathTry> tries;
  int status = 0;
  RunHead head;
  std::string answer;
  /// The worker's answer is here whole, though it may be no success.
  bool answer_whole = false;
  EventReader reader;
  bool answer_begun = false;
  /// When events were last passed on to the caller.
  Moment last_event = 0;
  bool waits = false;
  PhaseClock phases = {};
};

/// Parts of prompts that a worker probably keeps, the least recently used first out.
struct PartMemory {
  std::map<std::uint64_t, std::uint64_t> stamp_of;
  std::map<std::uint64_t, std::uint64_t> part_at;
  std::uint64_t next = 1;
};

/// What this node has seen of one worker, by identity.
struct WorkerTrack {
  std::uint64_t open = 0;
  std::uint64_t unread_tokens = 0;
  /// Others' requests there by its last answer, and when that came.
  std::uint64_t others = 0;
  Moment seen_load = 0;
  Moment last_bytes = 0;
  Moment avoid_until = 0;
  Moment avoid_for = 0;
  PartMemory parts;
};

/// Sends beyond each request's first within the budget's window, and requests.
struct PathBudget {
  std::deque<Moment> requests;
  std::deque<Moment> repeats;
};

/// What this node was asked for one adapter.
struct AdapterUse {
  std::uint64_t waiting = 0;
  std::uint64_t running = 0;
  AskRecord asks;
};

/// What this node was asked for one unit, for the holder of the placement.
struct UnitUse {
  std::set<std::uint64_t> waiting;
  std::uint64_t running = 0;
  Moment last_used = 0;
  AskRecord asks;
  std::map<std::string, AdapterUse> adapters;
  LengthsByKind lengths = {};
  /// Number of the last report that was sent before something here changed.
  std::uint64_t changed_after = 0;
};

/// What was counted for one unit.
struct UnitCounter {
  std::uint64_t missed_tokens = 0;
  std::uint64_t generated_tokens = 0;
  Latencies first_event;
  Latencies between_events;
  /// When something was counted last, and the number of the last report that was sent before.
  Moment counted = 0;
  std::uint64_t changed_after = 0;
};

/// What the placement's holder has said that it has of this node's reports, by number; 0 for nothing.
struct KnownReports {
  std::uint64_t holder = 0;
  std::uint64_t backlogs = 0;
  std::uint64_t counters = 0;
};

/// True while the last try is open.
bool carry_open(const PathCarry& carry);
/// True when some try may have run.
bool carry_may_have_run(const PathCarry& carry);
/// How often the request was sent to a worker, or may have been.
std::size_t carry_sent(const PathCarry& carry);
/// Distinct workers that the request was sent to, or may have been: what the route's `tries` bounds.
std::size_t carry_workers(const PathCarry& carry);
/// True when a try was left: the request may go to that worker again.
bool carry_left(const PathCarry& carry);
/// Whether a request may go to a worker: now, later (it turned the request away a moment ago), or never.
enum class MayAsk { now, later, never };
/// A worker that it never went to counts against the route's tries. It may go again to a worker that it left. An answer
/// that has begun can't be refused any more, so it may go again to a worker that turned it away without running it,
/// `pause` ms after that.
MayAsk carry_may_ask(const PathCarry& carry, const std::string& worker, Moment pause, Moment now);
/// True when the request may run more than once.
bool carry_repeatable(const PathCarry& carry);

/// Takes bytes of a stream; returns whole events only.
std::string events_take(EventReader& reader, const std::string& bytes);

/// Chained identities of a prompt's parts for one model and adapter.
std::vector<std::uint64_t> part_chain(const PathCall& call);
/// Prompt tokens that the worker would have to read.
std::uint64_t parts_missed(const PartMemory& memory, const PathCall& call, const std::vector<std::uint64_t>& chain);
void parts_remember(PartMemory& memory, const std::vector<std::uint64_t>& chain);

/// Counts a request or a repeat for a service.
void budget_request(PathBudget& budget, Moment now);
void budget_repeat(PathBudget& budget, Moment now);
/// True when one more repeat keeps this node within its part of what all nodes may repeat.
bool budget_allows(PathBudget& budget, const Limits& limits, std::size_t nodes, Moment now);

}  // namespace weldsail
