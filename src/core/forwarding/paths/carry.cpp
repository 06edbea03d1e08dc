#include <algorithm>

#include "core/data.hpp"
#include "core/forwarding/pipeevent.hpp"

namespace weldsail {
namespace {

std::string budget_name(const Carry& carry) {
  return carry.route.kind == RouteKind::call ? carry.cell + "/" + carry.route.service : carry.cell;
}

CarryCounter& counter_of(DataState& state, const Carry& carry, Moment now) {
  auto& counter = state.counters[carry.pool][carry.ledger.attempts.back().worker];
  counter.counted = now;
  return counter;
}

void stop_running(DataState& state, Carry& carry, Moment now) {
  const auto& attempt = carry.ledger.attempts.back();
  state.pipes.erase(attempt.pipe);
  auto& count = state.running[attempt.worker];
  if (count > 0) --count;
  auto& pool = state.pools[carry.pool];
  if (pool.running > 0) --pool.running;
  pool.last_used = now;
}

void end_attempt(DataState& state, Carry& carry, AttemptPhase phase, const std::string& reason, bool cancel, Moment now,
                 Effects& effects) {
  if (!ledger_open(carry.ledger)) return;
  const auto attempt = carry.ledger.attempts.back();
  if (cancel) effects.push_back(CancelPipe{attempt.pipe});
  stop_running(state, carry, now);
  ledger_end(carry.ledger, phase, reason);
  if (phase == AttemptPhase::whole) return;
  ++state.totals.breakdowns[reason];
  note(effects, "attempt.breakdown",
       {{"run", carry.run},
        {"worker", attempt.worker},
        {"reason", reason},
        {"certain", phase == AttemptPhase::refused || phase == AttemptPhase::unsent ? "true" : "false"}});
  if (phase == AttemptPhase::unsent || phase == AttemptPhase::broken) watch_broken(state.watch, attempt.worker);
}

void begin_answer(Carry& carry, Effects& effects) {
  if (carry.ledger.answer_begun) return;
  carry.ledger.answer_begun = true;
  effects.push_back(
      AnswerHead{carry.request, 200, {{"content-type", "text/event-stream"}, {"weldsail-request", carry.caller_id}}});
}

void take_stream(DataState& state, Carry& carry, const std::string& bytes, Moment now, Effects& effects) {
  for (const auto& event : stream_feed(carry.reader, bytes)) {
    if (event.sign == StreamSign::broken) {
      end_attempt(state, carry, AttemptPhase::broken, event.reason, true, now, effects);
      return;
    }
    begin_answer(carry, effects);
    effects.push_back(AnswerBytes{carry.request, event.raw + "\n\n"});
    if (event.sign == StreamSign::final_piece) {
      end_attempt(state, carry, AttemptPhase::whole, "final", false, now, effects);
      return;
    }
    auto& counter = counter_of(state, carry, now);
    counter.generated_tokens += event.tokens;
    if (carry.last_piece == 0)
      counter.first_token.add(static_cast<double>(now - carry.ledger.attempts.back().begun));
    else
      counter.inter_token.add(static_cast<double>(now - carry.last_piece));
    carry.last_piece = now;
    carry.ledger.next_piece = carry.reader.next_piece;
  }
}

void take_answer(DataState& state, Carry& carry, const std::string& bytes, Moment now, Effects& effects) {
  carry.answer += bytes;
  if (carry.answer.size() > state.options.body_limit)
    end_attempt(state, carry, AttemptPhase::broken, "answer too long", true, now, effects);
}

void take_end(DataState& state, Carry& carry, const PipeEnded& event, Moment now, Effects& effects) {
  const bool call = carry.route.kind == RouteKind::call;
  const bool answered = call ? carry.status != 0 : carry.status >= 400 && carry.status < 500;
  auto phase = AttemptPhase::broken;
  auto reason = event.reason.empty() ? std::string("ended early") : event.reason;
  if (event.whole && carry.refused) {
    phase = AttemptPhase::refused;
    reason = "refused " + std::to_string(carry.status);
  } else if (!event.sent) {
    phase = AttemptPhase::unsent;
  } else if (event.whole && answered) {
    phase = AttemptPhase::whole;
  }
  end_attempt(state, carry, phase, reason, false, now, effects);
}

void open_run(DataState& state, Carry& carry, const WorkerView& view, Moment now, Effects& effects) {
  const bool call = carry.route.kind == RouteKind::call;
  const auto pipe = state.numbers.take();
  auto& budget = state.budgets[budget_name(carry)];
  if (carry.ledger.attempts.empty()) {
    budget_earn(budget);
  } else {
    budget_spend(budget);
    ++state.totals.retries;
  }
  ledger_begin(carry.ledger, view.address, pipe, now);
  state.pipes[pipe] = carry.request;
  ++state.running[view.address];
  ++state.pools[carry.pool].running;
  carry.status = 0;
  carry.refused = false;
  carry.answer.clear();
  carry.headers.clear();
  carry.reader = {carry.run, carry.ledger.next_piece, {}, false};
  std::vector<Header> headers{{"content-type", "application/json"},
                              {"weldsail-run", carry.run},
                              {"weldsail-instance", view.status->instance},
                              {"weldsail-service", view.service}};
  if (!call) {
    headers.push_back({"weldsail-model", carry.route.model});
    if (!carry.route.adapter.empty()) headers.push_back({"weldsail-adapter", carry.route.adapter});
    headers.push_back({"weldsail-resume", std::to_string(carry.ledger.next_piece)});
    const auto missed = missed_tokens(state, carry, view.address);
    state.totals.prompt_tokens += carry.prompt_tokens;
    state.totals.hit_tokens += carry.prompt_tokens - missed;
    counter_of(state, carry, now).missed_tokens += missed;
    prefix_remember(state.prefixes[view.address], carry.blocks);
  }
  effects.push_back(OpenPipe{pipe, view.address, "POST", "/v1/run", std::move(headers), carry.body, call,
                             carry.ledger.due + state.options.member.bound});
}

}  // namespace

void carry_drop(DataState& state, std::uint64_t request, Moment now, Effects& effects) {
  const auto found = state.carries.find(request);
  if (found == state.carries.end()) return;
  auto& carry = found->second;
  end_attempt(state, carry, AttemptPhase::broken, "dropped", true, now, effects);
  const auto name = carry.pool;
  std::erase(state.pools[name].waiting, request);
  hold_remove(state.hold, name, carry.tenant, carry.body.size());
  state.claiming.erase(request);
  state.carries.erase(found);
}

void carry_move(DataState& state, std::uint64_t request, Moment now, Effects& effects) {
  const auto found = state.carries.find(request);
  if (found == state.carries.end()) return;
  auto& carry = found->second;
  const bool allowed = budget_allows(state.budgets[budget_name(carry)]);
  const auto move = ledger_next(carry.ledger, allowed, now);
  if (move == Move::wait) return;
  if (move == Move::assign) {
    if (!carry_reroute(state, carry)) return carry_homeless(state, carry, now, effects);
    const auto* view = assign_worker(state, carry, now);
    auto& waiting = state.pools[carry.pool].waiting;
    const auto place = std::ranges::find(waiting, request);
    if (view == nullptr) {
      if (place == waiting.end()) waiting.push_back(request);
      return;
    }
    if (place != waiting.end()) {
      waiting.erase(place);
      const auto cost = static_cast<double>(1 + carry.prompt_tokens + carry.generation_tokens);
      hold_left(state.hold, carry.pool, carry.tenant, cost, !waiting.empty(), now);
    }
    open_run(state, carry, *view, now, effects);
    return;
  }
  carry_end(state, carry, move, effects);
  carry_drop(state, request, now, effects);
}

void break_dark(DataState& state, Moment now, Effects& effects) {
  std::vector<std::uint64_t> dark;
  for (const auto& [pipe, request] : state.pipes) {
    const auto& carry = state.carries.at(request);
    const auto& attempt = carry.ledger.attempts.back();
    const auto view = state.watch.views.find(attempt.worker);
    const bool present = view != state.watch.views.end() && worker_present(state.watch, view->second, now);
    if (!present && now - std::max(attempt.begun, carry.last_bytes) > state.watch.bound) dark.push_back(request);
  }
  for (const auto request : dark) {
    end_attempt(state, state.carries.at(request), AttemptPhase::broken, "worker dark", true, now, effects);
    carry_move(state, request, now, effects);
  }
}

void carry_gone(DataState& state, std::uint64_t request, Effects& effects) {
  if (!state.carries.contains(request)) return;
  ++state.totals.gone;
  carry_drop(state, request, state.carries.at(request).arrived, effects);
}

void carry_pipe(DataState& state, const Event& event, Moment now, Effects& effects) {
  const auto pipe = event_pipe(event);
  const auto found = pipe ? state.pipes.find(*pipe) : state.pipes.end();
  if (found == state.pipes.end()) return;
  auto& carry = state.carries.at(found->second);
  if (const auto* head = std::get_if<PipeHead>(&event)) {
    carry.status = head->status;
    carry.refused = head->status >= 400 && !header_value(head->headers, "weldsail-not-run").empty();
    for (const auto& header : head->headers)
      if (header.name == "content-type") carry.headers.push_back(header);
    return;
  }
  if (const auto* bytes = std::get_if<PipeBytes>(&event)) {
    carry.last_bytes = now;
    if (carry.route.kind == RouteKind::call || carry.status != 200)
      take_answer(state, carry, bytes->bytes, now, effects);
    else
      take_stream(state, carry, bytes->bytes, now, effects);
  }
  if (const auto* ended = std::get_if<PipeEnded>(&event)) take_end(state, carry, *ended, now, effects);
  const bool runs = ledger_open(carry.ledger);
  carry_move(state, carry.request, now, effects);
  if (!runs) dispatch(state, now, effects);
}

}  // namespace weldsail
