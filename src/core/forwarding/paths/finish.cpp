#include <algorithm>

#include "core/forwarding/paths/path.hpp"
#include "core/membership/rendezvous.hpp"

namespace weldsail {
namespace {

// Shares of what is left of the caller's time after which it is told to come back.
constexpr Moment retry_parts = 6;

void drop(DataState& state, const PathCarry& carry, const char* outcome, Moment now, Effects& effects) {
  ++state.path.outcomes[outcome];
  state.path.last_busy = now;
  if (std::string_view(outcome) != "finished")
    note(effects, "carry.given_up",
         {{"request", carry.call.identity},
          {"route", carry.route.name},
          {"reason", outcome},
          {"waited_ms", std::to_string(now - carry.arrived)}});
  state.path.waiting.erase(carry.request);
  state.path.carries.erase(carry.request);
}

void pass_on(PathCarry& carry, Effects& effects) {
  if (path_promises(carry.status)) {
    effects.push_back(Answer{carry.request, 502, {}, {}});
    return;
  }
  effects.push_back(Answer{carry.request, carry.status, carry.head.headers, std::move(carry.answer)});
}

}  // namespace

bool path_promises(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

Header path_retry_after(Moment wait) {
  return {"retry-after", std::to_string(wait / 1000) + "." + std::to_string(1000 + wait % 1000).substr(1)};
}

void path_challenge(const DataState& state, Answer& answer) {
  constexpr int unauthorized = 401;
  if (answer.status == unauthorized)
    answer.headers.push_back({"www-authenticate", state.options.dialect->key_challenge});
}

void path_finish(DataState& state, PathCarry& carry, Moment now, Effects& effects) {
  ++state.totals.finished;
  const bool success = carry.status >= 200 && carry.status < 300;
  losses_count(state, carry, success ? RequestOutcome::in_time : RequestOutcome::failed, now);
  if (carry.answer_begun)
    effects.push_back(AnswerEnd{carry.request, true});
  else
    pass_on(carry, effects);
  drop(state, carry, "finished", now, effects);
}

void path_refuse(DataState& state, PathCarry& carry, int status, const char* reason, Moment now, Effects& effects) {
  ++state.totals.not_run;
  losses_count(state, carry, RequestOutcome::refused, now);
  Answer answer{carry.request, status, {}, {}};
  if (status == 503) {
    const auto left = std::max<Moment>(0, carry.due - now) / retry_parts;
    const auto wait = std::min(left, state.options.member.bound / 3);
    const auto spread =
        wait == 0 ? 0 : static_cast<Moment>(mix(state.random ^ carry.request) % static_cast<std::uint64_t>(wait));
    answer.headers.push_back(path_retry_after(wait / 2 + spread / 2));
  }
  path_challenge(state, answer);
  effects.push_back(std::move(answer));
  drop(state, carry, reason, now, effects);
}

void path_break(DataState& state, PathCarry& carry, const char* reason, Moment now, Effects& effects) {
  ++state.totals.unknown;
  losses_count(state, carry, RequestOutcome::broken, now);
  if (carry.answer_begun) {
    ++state.totals.streams_broken;
    effects.push_back(AnswerEnd{carry.request, false});
  } else if (carry.answer_whole) {
    pass_on(carry, effects);
  } else {
    effects.push_back(Answer{carry.request, now >= carry.due ? 504 : 502, {}, {}});
  }
  drop(state, carry, reason, now, effects);
}

}  // namespace weldsail
