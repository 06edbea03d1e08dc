#pragma once
#include "core/bulk/bulk.hpp"
#include "core/configuration/memo.hpp"
#include "core/configuration/news.hpp"
#include "core/consensus/claim.hpp"
#include "core/forwarding/attempt.hpp"
#include "core/forwarding/paths/state.hpp"
#include "core/forwarding/prefix.hpp"
#include "core/forwarding/stream.hpp"
#include "core/operations/operate.hpp"
#include "core/overload/budget.hpp"
#include "core/overload/hold.hpp"
#include "core/placement/scaler.hpp"
#include "core/placement/worker.hpp"

namespace weldsail {

/// What a data-plane process is told at its start.
struct DataOptions {
  MemberOptions member;
  std::size_t backlog_limit = 256;
  std::size_t body_limit = 1U << 20U;
  std::size_t held_limit = 64U << 20U;
  Moment hold_limit = 60000;
  Moment leave_limit = 10000;
  bool has_folder = false;
  /// How the outside speaks; null for the product's own interface.
  const Dialect* dialect = nullptr;
  Limits limits;
};

/// Where a route's requests go under one configuration.
struct Placed {
  std::string cell;
  RouteOptions route;
};

/// A caller's request in this node.
struct Carry {
  std::uint64_t request = 0;
  std::string caller_id;
  std::string run;
  std::string tenant;
  std::string cell;
  std::string pool;
  std::string route_name;
  RouteOptions route;
  std::uint64_t document_version = 0;
  Body body;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t generation_tokens = 0;
  std::vector<std::uint64_t> blocks;
  Moment arrived = 0;
  Ledger ledger;
  std::optional<ClaimState> claim;
  StreamReader reader;
  int status = 0;
  bool refused = false;
  std::vector<Header> headers;
  std::string answer;
  Moment last_piece = 0;
  Moment last_bytes = 0;
};

/// What was counted for one unit on one worker, since this process began.
struct CarryCounter {
  std::uint64_t missed_tokens = 0;
  std::uint64_t generated_tokens = 0;
  Latencies first_token;
  Latencies inter_token;
  /// When something was counted last.
  Moment counted = 0;
};

/// Requests of one unit or call service that wait for a worker.
struct Pool {
  std::deque<std::uint64_t> waiting;
  std::uint64_t running = 0;
  Moment last_used = 0;
  std::map<std::string, Moment> adapters;
};

/// Totals that the status document shows.
struct Totals {
  std::uint64_t taken = 0;
  std::uint64_t finished = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t streams_broken = 0;
  std::uint64_t retries = 0;
  std::uint64_t gone = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t hit_tokens = 0;
  std::map<std::string, std::uint64_t> breakdowns;
};

/// A data-plane process.
struct DataState {
  DataOptions options;
  MemberState member;
  FormationState formation;
  NewsState news;
  BulkState bulk;
  MemoState memo;
  OperateState operate;
  PathState path;
  std::optional<ConfigDocument> document;
  std::uint64_t document_version = 0;
  /// Up to this moment nothing newer than the version in force had been acknowledged to anybody; nothing before the
  /// first proof of this life.
  std::optional<Moment> current_as_of;
  std::set<std::uint64_t> first_heard;
  std::uint64_t first_floor = 0;
  Moment first_asked = 0;
  wire::Placement placement;
  std::uint64_t placement_version = 0;
  WorkerWatch watch;
  PipeNumbers numbers;
  std::map<std::uint64_t, Carry> carries;
  std::map<std::uint64_t, std::uint64_t> pipes;
  std::set<std::uint64_t> claiming;
  std::map<std::string, Pool> pools;
  HoldState hold;
  std::map<std::string, Budget> budgets;
  std::map<std::string, std::uint64_t> running;
  /// Own requests at each worker when its status came in.
  std::map<std::string, std::uint64_t> running_at_status;
  std::map<std::string, PrefixMemory> prefixes;
  std::map<std::string, std::map<std::string, CarryCounter>> counters;
  Totals totals;
  /// Refusals for want of a place in the configuration that became 503, as no proof was young enough, by the status
  /// that they would have had.
  std::map<int, std::uint64_t> unproved_refusals;
  /// As the shell told it last.
  TransportFigures transport;
  Moment next_report = 0;
  /// Units that have begun to wait are told of no sooner than this.
  Moment next_fresh_report = 0;
  /// Reports of counters and backlogs that were sent, to whomever.
  std::uint64_t reports_sent = 0;
  Moment leave_due = 0;
  std::uint64_t random = 0;
};

/// True while a newer configuration than the one in force is known to be committed: what the older one doesn't allow
/// may be allowed by now.
bool configuration_newer_known(const DataState& state);
/// True when no version newer than the one in force had been acknowledged for the time in which it must be in force
/// (`Limits::adopt`) when a request arrived: whatever is acknowledged by now, the request may be judged by this one.
bool configuration_proved(const DataState& state, Moment arrived);
/// True while a newer configuration than the one in force is known to be committed and a request arrived too late to be
/// served by the older one, or the newer one waits too long for the disk. A node that knows of nothing newer goes on
/// serving, with or without a proof: it may be cut off.
bool configuration_outdated(const DataState& state, Moment arrived, Moment now);

/// How a request is refused that has not run.
struct Refusal {
  int status;
  const char* reason;
  /// When to come back; 0 where that is no use.
  Moment retry_after;
};
/// How a request is refused that the configuration in force has no place for: by the given status and reason where it
/// is proved that no newer one need have a place for it, else to come back soon.
Refusal refuse_unplaced(DataState& state, int status, const char* reason, Moment arrived, Moment now, Effects& effects);

DataState make_data(const DataOptions& options);
/// One step of a data-plane process.
Effects reduce(DataState& state, const Event& event, Moment now);
std::string data_status_text(const DataState& state, Moment now);

/// Takes a caller's request or answers it at once.
void data_take(DataState& state, const RequestArrived& event, Moment now, Effects& effects);
/// Moves a request on as its ledger says.
void carry_move(DataState& state, std::uint64_t request, Moment now, Effects& effects);
void carry_pipe(DataState& state, const Event& event, Moment now, Effects& effects);
/// Moves a request on once its claim is decided.
void claim_settle(DataState& state, std::uint64_t request, Moment now, Effects& effects);
void claims_receive(DataState& state, const wire::Envelope& envelope, Moment now, Effects& effects);
void claims_tick(DataState& state, Moment now, Effects& effects);
/// Breaks attempts at workers that have been silent for the bound.
void break_dark(DataState& state, Moment now, Effects& effects);
void carry_gone(DataState& state, std::uint64_t request, Effects& effects);
/// Gives waiting requests to workers: deferred ones yield, tenants take turns by the tokens they were given.
void dispatch(DataState& state, Moment now, Effects& effects);
/// Name of the pool that a route's requests wait in.
std::string pool_name(const std::string& cell, const RouteOptions& route);
/// Brings a request in line with the configuration in force; false when that has no place for it.
bool carry_reroute(DataState& state, Carry& carry);
/// Does so for all held requests when a new configuration has come into force.
void reroute_held(DataState& state, Moment now, Effects& effects);
/// A worker for the request now, or nothing.
const WorkerView* assign_worker(const DataState& state, const Carry& carry, Moment now);
/// Prompt tokens that the worker would have to compute.
std::uint64_t missed_tokens(const DataState& state, const Carry& carry, const std::string& worker);
/// Sends counters and backlogs to whom they are for. Counters of units and workers that have left are dropped with a
/// report that tells counters.
void report_counters(DataState& state, std::uint64_t node, const std::string& address, std::uint64_t round, Moment now,
                     Effects& effects);
void report_tick(DataState& state, Moment now, Effects& effects);
/// Gives a request its final answer, as its ledger's move says.
void carry_end(DataState& state, const Carry& carry, Move move, Effects& effects);
/// Ends a request that the configuration in force has no place for.
void carry_homeless(DataState& state, const Carry& carry, Moment now, Effects& effects);
/// Drops a request that has its final answer.
void carry_drop(DataState& state, std::uint64_t request, Moment now, Effects& effects);
/// Answers with an error document.
void refuse_caller(std::uint64_t request, int status, const std::string& code, const std::string& outcome,
                   int retry_after, Effects& effects);

}  // namespace weldsail
