#include "core/data.hpp"
#include "core/json.hpp"
#include "core/membership/rendezvous.hpp"

namespace weldsail {
namespace {

void finish(DataState& state, const Carry& carry, Effects& effects) {
  ++state.totals.finished;
  if (carry.ledger.answer_begun) {
    effects.push_back(AnswerEnd{carry.request, true});
    return;
  }
  auto headers = carry.headers;
  headers.push_back({"weldsail-request", carry.caller_id});
  effects.push_back(Answer{carry.request, carry.status, std::move(headers), carry.answer});
}

void end_in_error(DataState& state, const Carry& carry, Effects& effects) {
  ++state.totals.streams_broken;
  JsonText text;
  text.object().key("error").object().field("code", "stream_broken").field("outcome", "unknown").close();
  text.number("pieces", carry.ledger.next_piece).close();
  effects.push_back(AnswerBytes{carry.request, "data: " + text.text() + "\n\n"});
  effects.push_back(AnswerEnd{carry.request, true});
}

}  // namespace

void refuse_caller(std::uint64_t request, int status, const std::string& code, const std::string& outcome,
                   int retry_after, Effects& effects) {
  JsonText text;
  text.object().field("code", code).field("outcome", outcome).close();
  std::vector<Header> headers{{"content-type", "application/json"}};
  if (retry_after > 0) headers.push_back({"retry-after", std::to_string(retry_after)});
  effects.push_back(Answer{request, status, std::move(headers), text.text()});
}

void carry_end(DataState& state, const Carry& carry, Move move, Effects& effects) {
  const auto& reason = carry.ledger.attempts.empty() ? std::string("held") : carry.ledger.attempts.back().reason;
  if (move == Move::finish) finish(state, carry, effects);
  if (move == Move::end_in_error) end_in_error(state, carry, effects);
  if (move == Move::give_up_not_run) {
    ++state.totals.not_run;
    if (carry.claim) claim_release(*carry.claim, state.member, state.formation.core, effects);
    const auto retry =
        hold_retry(state.hold, carry.pool, state.pools[carry.pool].waiting.size(), mix(state.random ^ carry.request));
    refuse_caller(carry.request, 503, carry.ledger.attempts.empty() ? "no_worker_ready" : "worker_broke_down",
                  "not_run", retry, effects);
  }
  if (move == Move::give_up_unknown) {
    ++state.totals.unknown;
    refuse_caller(carry.request, 502, "worker_broke_down", "unknown", 0, effects);
  }
  if (move != Move::finish) note(effects, "carry.given_up", {{"run", carry.run}, {"reason", reason}});
}

void carry_homeless(DataState& state, const Carry& carry, Moment now, Effects& effects) {
  const auto request = carry.request;
  const bool ran = ledger_may_have_run(carry.ledger);
  if (carry.claim && !ran) claim_release(*carry.claim, state.member, state.formation.core, effects);
  if (carry.ledger.answer_begun) {
    end_in_error(state, carry, effects);
  } else {
    ++(ran ? state.totals.unknown : state.totals.not_run);
    refuse_caller(request, ran ? 502 : 404, "no_such_route", ran ? "unknown" : "not_run", 0, effects);
  }
  carry_drop(state, request, now, effects);
}

}  // namespace weldsail
