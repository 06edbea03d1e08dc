#include "core/forwarding/attempt.hpp"

#include <algorithm>

namespace weldsail {
namespace {

Move give_up(const Ledger& ledger) {
  if (ledger.answer_begun) return Move::end_in_error;
  return ledger_may_have_run(ledger) ? Move::give_up_unknown : Move::give_up_not_run;
}

}  // namespace

bool ledger_open(const Ledger& ledger) {
  return !ledger.attempts.empty() && ledger.attempts.back().phase == AttemptPhase::open;
}

bool ledger_may_have_run(const Ledger& ledger) {
  return std::ranges::any_of(ledger.attempts, [](const Attempt& attempt) {
    return attempt.phase != AttemptPhase::refused && attempt.phase != AttemptPhase::unsent;
  });
}

Move ledger_next(const Ledger& ledger, bool retry_allowed, Moment now) {
  if (!ledger.attempts.empty() && ledger.attempts.back().phase == AttemptPhase::whole) return Move::finish;
  if (now >= ledger.due) return give_up(ledger);
  if (ledger_open(ledger)) return Move::wait;
  if (now >= ledger.hold_due) return give_up(ledger);
  if (ledger.attempts.empty()) return Move::assign;
  const bool resumes = ledger.kind != RouteKind::call && ledger.resumable;
  if (ledger_may_have_run(ledger) && !resumes) return give_up(ledger);
  if (!retry_allowed || ledger.attempts.size() >= attempt_limit) return give_up(ledger);
  return Move::assign;
}

void ledger_begin(Ledger& ledger, std::string worker, std::uint64_t pipe, Moment now) {
  ledger.attempts.push_back({std::move(worker), pipe, AttemptPhase::open, {}, now});
}

void ledger_end(Ledger& ledger, AttemptPhase phase, std::string reason) {
  if (!ledger_open(ledger)) return;
  ledger.attempts.back().phase = phase;
  ledger.attempts.back().reason = std::move(reason);
}

}  // namespace weldsail
