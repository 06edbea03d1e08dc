#pragma once
#include "core/configuration/config.hpp"

namespace weldsail {

/// Where one attempt at a request stands.
enum class AttemptPhase { open, refused, unsent, broken, whole };

/// One try to have a worker run a request.
struct Attempt {
  std::string worker;
  std::uint64_t pipe = 0;
  AttemptPhase phase = AttemptPhase::open;
  std::string reason;
  Moment begun = 0;
};

/// All tries at a request; the next move follows from it alone.
struct Ledger {
  RouteKind kind = RouteKind::stream;
  bool resumable = false;
  Moment due = 0;
  Moment hold_due = 0;
  std::uint64_t next_piece = 0;
  bool answer_begun = false;
  std::vector<Attempt> attempts;
};

/// What to do with a request next.
enum class Move { wait, assign, finish, give_up_not_run, give_up_unknown, end_in_error };

/// Most tries at one request.
inline constexpr std::size_t attempt_limit = 4;

/// True while a worker may be running the request.
bool ledger_open(const Ledger& ledger);
/// True when some attempt may have run.
bool ledger_may_have_run(const Ledger& ledger);
/// The next move; a retry needs the budget's leave.
Move ledger_next(const Ledger& ledger, bool retry_allowed, Moment now);
/// Begins an attempt.
void ledger_begin(Ledger& ledger, std::string worker, std::uint64_t pipe, Moment now);
/// Ends the open attempt.
void ledger_end(Ledger& ledger, AttemptPhase phase, std::string reason);

}  // namespace weldsail
