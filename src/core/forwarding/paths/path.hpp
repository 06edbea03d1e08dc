#pragma once
#include "core/data.hpp"

namespace weldsail {

/// Takes a caller's request by host and path, or answers it at once.
void path_take(DataState& state, const RequestArrived& event, Moment now, Effects& effects);
/// Takes or refuses requests that came before the first configuration.
void path_early(DataState& state, Moment now, Effects& effects);
/// Sends a request to a worker where one can be had, keeps it waiting, or gives it its final answer.
void path_move(DataState& state, std::uint64_t request, Moment now, Effects& effects);
/// Moves on all requests that wait, the most urgent first.
void path_dispatch(DataState& state, Moment now, Effects& effects);
void path_pipe(DataState& state, const Event& event, Moment now, Effects& effects);
void path_gone(DataState& state, std::uint64_t request, Moment now, Effects& effects);
void path_tick(DataState& state, Moment now, Effects& effects);
/// Takes a configuration that has come into force.
void path_configure(DataState& state, const std::string& document, Moment now, Effects& effects);
/// Takes the holder's view of the workers.
void path_fleet(DataState& state, const wire::Envelope& envelope, Moment now, Effects& effects);
/// Takes an event of this node's own ask for the platform's list.
void path_list(DataState& state, const Event& event, Moment now, Effects& effects);
/// True while this node wants callers.
bool path_ready(const DataState& state, Moment now);
/// Begins to leave: what is in hand is finished.
void path_leave(DataState& state, Moment now);
/// True when this node stays, or when an answer that a worker begins now is whole, or past due, before the node's end:
/// by the request's own deadline, or, for one that came early enough, by an estimate of its answer's length.
bool path_will_finish(const DataState& state, const PathCarry& carry, Moment now);
/// True when nothing is left to finish, or the time for it is over and all have their final answer.
bool path_may_depart(DataState& state, Moment now, Effects& effects);
/// Time that a departing node may use to write its answers out.
Moment path_write_time(const DataState& state);

/// Whether the configuration in force has a place for a request, or why not.
enum class Placing { placed, no_route, key_unknown, too_large };
/// Brings a request in line with the configuration in force, which decides its route and its tenant together.
Placing path_place(const DataState& state, PathCarry& carry);
/// How a request is refused that wasn't placed.
Refusal path_refusal(DataState& state, Placing placing, Moment arrived, Moment now, Effects& effects);
/// Why no worker was chosen, where none was.
enum class Lack { none, model, adapter, worker };
struct Choice {
  const wire::WorkerEntry* worker = nullptr;
  Lack lack = Lack::worker;
  /// No worker can be had now, but one that is there may take the request a little later.
  bool later = false;
  /// Workers that were looked at.
  std::uint64_t considered = 0;
};
/// The worker with the least expected time to the first byte, or what is lacking.
Choice path_choose(const DataState& state, const PathCarry& carry, Moment now);
/// Opens a try at a worker.
void path_open_try(DataState& state, PathCarry& carry, const wire::WorkerEntry& worker, Moment now, Effects& effects);
/// Offers requests whose workers have been silent for long to other workers. What they have is kept until another
/// worker goes on with the answer: a silent worker may be sound.
void path_offer_silent(DataState& state, Moment now, Effects& effects);
/// Takes an event of a silent try. True when the event is to be taken on as one of the open try, as its worker speaks
/// again; later tries are left.
bool path_silent_speaks(DataState& state, PathCarry& carry, std::uint64_t pipe, const Event& event, Moment now,
                        Effects& effects);
/// After an event of the last try: silent ones are left once it goes on with the answer, and the last of them is the
/// open one again where it has ended without that.
void path_settle_offer(DataState& state, PathCarry& carry, Moment now, Effects& effects);
/// Sends fewer requests to a worker for a while, longer each time.
void path_avoid(DataState& state, const std::string& worker, Moment now);
/// True when an answer's status says that the request has not run and never will: only who knows that may say so.
bool path_promises(int status);
/// Ends one try of a request.
void path_end_run(DataState& state, const PathCarry& carry, PathTry& item, TryPhase phase, const std::string& reason,
                  Moment now, Effects& effects);
/// Ends the open try.
void path_end_try(DataState& state, PathCarry& carry, TryPhase phase, const std::string& reason, Moment now,
                  Effects& effects);
/// Tells a refused caller, in seconds, when to come back.
Header path_retry_after(Moment wait);
/// Adds to a 401 what HTTP wants there: how to bring a key.
void path_challenge(const DataState& state, Answer& answer);
/// Closes the connection of the open try, if there is one, and ends the try.
void path_cancel_try(DataState& state, PathCarry& carry, TryPhase phase, const std::string& reason, Moment now,
                     Effects& effects);
/// Closes the connections of all tries that are open or silent, and ends these.
void path_cancel_all(DataState& state, PathCarry& carry, const std::string& reason, Moment now, Effects& effects);
/// Gives the final answer and drops the request.
void path_finish(DataState& state, PathCarry& carry, Moment now, Effects& effects);
/// Refuses a request that has not run.
void path_refuse(DataState& state, PathCarry& carry, int status, const char* reason, Moment now, Effects& effects);
/// Ends a request whose outcome isn't known, or whose answer can't be finished.
void path_break(DataState& state, PathCarry& carry, const char* reason, Moment now, Effects& effects);
/// The counters of a unit, to which something is added now.
UnitCounter& path_counter(DataState& state, const std::string& unit, Moment now);
/// What this node was asked for a unit, of which something changes now.
UnitUse& path_use(DataState& state, const std::string& unit);
/// Sends this node's counters and backlogs; round 0 without counters. Where the holder has said which report it has,
/// only what has changed since is told. Counters of units that have left are dropped with a report that tells counters.
void path_report(DataState& state, std::uint64_t node, const std::string& address, std::uint64_t round, Moment now,
                 Effects& effects);
/// Tells the holder of units that requests have begun to wait for, and of no others.
void path_report_fresh(DataState& state, std::uint64_t node, const std::string& address, Moment now, Effects& effects);
/// Name under which a model of a service is placed; empty for plain calls.
std::string path_unit(const std::string& service, const std::string& model);
/// Data nodes that share what is bounded for all of them.
std::size_t path_nodes(const DataState& state);

}  // namespace weldsail
