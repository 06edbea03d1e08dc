#include <algorithm>

#include "core/forwarding/paths/path.hpp"
#include "core/forwarding/pipeevent.hpp"

namespace weldsail {
namespace {

/// Answers that hold less than this aren't looked at: the number of requests bounds them.
constexpr std::size_t short_answer = 64U << 10U;
/// Parts of the memory for requests that one answer, and all answers together, may hold besides.
constexpr std::size_t one_answer_parts = 4;
constexpr std::size_t all_answers_parts = 2;

bool streams(const PathCarry& carry) {
  return carry.route.mode == PathMode::stream && carry.status >= 200 && carry.status < 300;
}

void take_load(DataState& state, const PathCarry& carry, const RunHead& head, Moment now) {
  auto& track = state.path.tracks[carry.tries.back().worker];
  track.last_bytes = now;
  if (!head.load) return;
  const auto there = (*head.load)[0] + (*head.load)[1];
  track.others = there - std::min(there, track.open);
  track.seen_load = now;
}

void take_head(DataState& state, PathCarry& carry, const PipeHead& event, Moment now, Effects& effects) {
  auto head = state.options.dialect->read_head(carry.call, event.status, event.headers);
  take_load(state, carry, head, now);
  carry.status = event.status;
  carry.tries.back().last_bytes = now;
  const bool success = event.status >= 200 && event.status < 300;
  if (!head.same_request || (success && !head.sealed)) {
    // An answer to something else, or nobody's: nothing of it may reach the caller.
    return path_cancel_try(state, carry, TryPhase::broken, "foreign_answer", now, effects);
  }
  if (carry.answer_begun && (!success || head.not_run)) {
    return path_cancel_try(state, carry, head.not_run ? TryPhase::not_run : TryPhase::failed, "not_resumed", now,
                           effects);
  }
  carry.head = std::move(head);
  // The worker has begun it, so that it can't go to another one.
  if (!carry.head.not_run && !carry_repeatable(carry)) carry.body = {};
}

/// A worker serves the request: what it asked for is owed to nobody any more.
void served(DataState& state, const PathCarry& carry, Moment now) {
  if (carry.unit.empty()) return;
  auto& use = path_use(state, carry.unit);
  asks_serve(use.asks, now);
  if (!carry.call.adapter.empty()) asks_serve(use.adapters[carry.call.adapter].asks, now);
}

void first_event(DataState& state, PathCarry& carry, Moment now) {
  served(state, carry, now);
  auto& item = carry.tries.back();
  auto& track = state.path.tracks[item.worker];
  track.unread_tokens -= std::min(track.unread_tokens, item.missed_tokens);
  item.has_event = true;
  item.first_event = now;
  phase_enter(carry.phases, RequestPhase::answer, now);
  if (!carry.unit.empty()) path_counter(state, carry.unit, now).first_event.add(static_cast<double>(now - item.begun));
}

void count_events(DataState& state, PathCarry& carry, const std::string& events, Moment now, Effects& effects) {
  auto& item = carry.tries.back();
  const auto pause = now - item.last_bytes;
  if (item.has_event) carry.phases.longest_pause = std::max(carry.phases.longest_pause, pause);
  if (item.has_event && carry.route.gap_aim > 0 && pause > carry.route.gap_aim)
    note(effects, "stream.pause",
         {{"request", carry.call.identity},
          {"worker", item.worker},
          {"unit", carry.unit},
          {"pause_ms", std::to_string(pause)},
          {"open", std::to_string(state.path.tracks[item.worker].open)},
          {"others", std::to_string(state.path.tracks[item.worker].others)}});
  if (!item.has_event)
    first_event(state, carry, now);
  else if (!carry.unit.empty())
    path_counter(state, carry.unit, now).between_events.add(static_cast<double>(now - item.last_bytes));
  std::uint64_t count = 0;
  for (auto place = events.find("\n\n"); place != std::string::npos; place = events.find("\n\n", place + 2)) ++count;
  item.events += count;
  if (carry.unit.empty()) return;
  path_counter(state, carry.unit, now).generated_tokens +=
      count * state.path.config->services[carry.service].tokens_per_event;
}

/// Bytes of an answer that wait for its end, or for the end of an event.
std::size_t held_answer(const PathCarry& carry) {
  auto size = carry.answer.size() + carry.reader.buffer.size();
  for (const auto& item : carry.tries)
    if (item.partial) size += item.partial->body.size() + item.partial->reader.buffer.size();
  return size;
}

/// True when what is held of answers takes too much memory: of this one, or of all of them where this one is long.
bool holds_too_much(const DataState& state, const PathCarry& carry) {
  const auto own = held_answer(carry);
  if (own <= short_answer) return false;
  std::size_t all = 0;
  for (const auto& [request, other] : state.path.carries) all += held_answer(other);
  const auto limit = state.options.held_limit;
  return own > limit / one_answer_parts || all > limit / all_answers_parts;
}

void take_bytes(DataState& state, PathCarry& carry, const PipeBytes& event, Moment now, Effects& effects) {
  if (!streams(carry)) {
    carry.answer += event.bytes;
    carry.tries.back().last_bytes = now;
    state.path.tracks[carry.tries.back().worker].last_bytes = now;
    if (!holds_too_much(state, carry)) return;
    return path_cancel_try(state, carry, TryPhase::broken, "answer_too_long", now, effects);
  }
  auto whole = events_take(carry.reader, event.bytes);
  if (carry.reader.disordered) {
    return path_cancel_try(state, carry, TryPhase::broken, "events_out_of_order", now, effects);
  }
  if (holds_too_much(state, carry))
    return path_cancel_try(state, carry, TryPhase::broken, "event_too_long", now, effects);
  if (!whole.empty()) {
    if (!carry.answer_begun) {
      carry.answer_begun = true;
      effects.push_back(AnswerHead{carry.request, carry.status, carry.head.headers});
    }
    carry.last_event = now;
    count_events(state, carry, whole, now, effects);
    effects.push_back(AnswerBytes{carry.request, std::move(whole)});
  }
  carry.tries.back().last_bytes = now;
  state.path.tracks[carry.tries.back().worker].last_bytes = now;
}

void add_length(LengthsByKind& lengths, bool stream, const AnswerLength& length) {
  (stream ? lengths.streams : lengths.in_one_piece).add(length);
}

/// A success that one worker gave whole tells how long the next ones may take.
void count_length(DataState& state, const PathCarry& carry, Moment now) {
  const bool success = carry.status >= 200 && carry.status < 300;
  if (!success || carry.call.last_event || carry_sent(carry) > 1) return;
  const bool stream = streams(carry);
  const auto& item = carry.tries.back();
  AnswerLength length{now - item.begun, 0, 0};
  if (stream && item.has_event) {
    length.first = item.first_event - item.begun;
    length.rest = now - item.first_event;
    length.rest_tokens =
        (std::max<std::uint64_t>(1, item.events) - 1) * state.path.config->services[carry.service].tokens_per_event;
  }
  add_length(state.path.lengths[carry.service], stream, length);
  if (!carry.unit.empty()) add_length(state.path.units[carry.unit].lengths, stream, length);
}

void take_end(DataState& state, PathCarry& carry, const PipeEnded& event, Moment now, Effects& effects) {
  if (!event.sent) return path_end_try(state, carry, TryPhase::unsent, event.reason, now, effects);
  if (!event.whole || carry.status == 0) {
    const auto reason = event.reason.empty() ? std::string("cut") : event.reason;
    return path_end_try(state, carry, TryPhase::broken, reason, now, effects);
  }
  if (carry.head.not_run)
    return path_end_try(state, carry, TryPhase::not_run, "refused_" + std::to_string(carry.status), now, effects);
  if (streams(carry) && !carry.reader.buffer.empty())
    return path_end_try(state, carry, TryPhase::broken, "half_event", now, effects);
  carry.answer_whole = true;
  count_length(state, carry, now);
  const bool success = carry.status >= 200 && carry.status < 300;
  if (success) served(state, carry, now);
  path_end_try(state, carry, success || carry.status < 500 ? TryPhase::whole : TryPhase::failed,
               "status_" + std::to_string(carry.status), now, effects);
}

}  // namespace

void path_pipe(DataState& state, const Event& event, Moment now, Effects& effects) {
  const auto pipe = event_pipe(event);
  const auto found = pipe ? state.path.pipes.find(*pipe) : state.path.pipes.end();
  if (found == state.path.pipes.end()) return;
  auto& carry = state.path.carries.at(found->second);
  if (carry.tries.back().pipe != *pipe && !path_silent_speaks(state, carry, *pipe, event, now, effects)) return;
  if (const auto* head = std::get_if<PipeHead>(&event)) take_head(state, carry, *head, now, effects);
  if (const auto* bytes = std::get_if<PipeBytes>(&event)) take_bytes(state, carry, *bytes, now, effects);
  if (const auto* ended = std::get_if<PipeEnded>(&event)) take_end(state, carry, *ended, now, effects);
  path_settle_offer(state, carry, now, effects);
  if (carry_open(carry)) return;
  path_move(state, carry.request, now, effects);
}

}  // namespace weldsail
