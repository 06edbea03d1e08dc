#include <algorithm>

#include "core/forwarding/paths/path.hpp"
#include "core/membership/rendezvous.hpp"

namespace weldsail {
namespace {

// Part of its time that a request may wait for a worker before it is told to come back.
constexpr double hold_share = 0.45;
// Part of the silence that a caller bears in which a begun answer may wait for another worker.
constexpr double resume_share = 0.75;
constexpr std::size_t unsent_most = 4;
constexpr Moment connects_per_transit = 3;
// Before this part of the bound is left to a node that leaves, all that waits has its answer.
constexpr Moment leave_answers_per_bound = 3;

// A caller gives a silent stream up after the longest of these times.
Moment silence_limit(const PathRoute& route) {
  constexpr Moment least = 2000;
  constexpr Moment aims = 4;
  constexpr Moment gaps = 8;
  return std::max({least, aims * route.aim, gaps * route.gap_aim});
}

Moment hold_due(const PathCarry& carry, bool later) {
  if (carry.answer_begun && later) {
    const auto patience = static_cast<double>(silence_limit(carry.route));
    return carry.last_event + static_cast<Moment>(resume_share * patience);
  }
  auto time = carry.due - carry.arrived;
  if (carry.route.mode == PathMode::stream) time = std::min(time, silence_limit(carry.route));
  return carry.arrived + static_cast<Moment>(hold_share * static_cast<double>(time));
}

void count_change(std::uint64_t& count, bool more) {
  if (more)
    ++count;
  else if (count > 0)
    --count;
}

/// True when a call names an adapter that no other one waits for.
bool adapter_unawaited(const UnitUse& use, const std::string& adapter) {
  if (adapter.empty()) return false;
  const auto found = use.adapters.find(adapter);
  return found == use.adapters.end() || found->second.waiting == 0;
}

void set_waits(DataState& state, PathCarry& carry, bool waits) {
  if (carry.waits == waits) return;
  carry.waits = waits;
  if (waits)
    state.path.waiting.insert(carry.request);
  else
    state.path.waiting.erase(carry.request);
  if (carry.unit.empty()) return;
  auto& use = path_use(state, carry.unit);
  if (waits && (use.waiting.empty() || adapter_unawaited(use, carry.call.adapter))) state.path.fresh.insert(carry.unit);
  if (waits)
    use.waiting.insert(carry.request);
  else
    use.waiting.erase(carry.request);
  if (!carry.call.adapter.empty()) count_change(use.adapters[carry.call.adapter].waiting, waits);
}

const char* lack_reason(Lack lack) {
  if (lack == Lack::model) return "no_model";
  return lack == Lack::adapter ? "no_adapter" : "no_worker";
}

RequestPhase phase_for(Lack lack) {
  if (lack == Lack::model) return RequestPhase::model;
  return lack == Lack::adapter ? RequestPhase::adapter : RequestPhase::worker;
}

}  // namespace

void path_open_try(DataState& state, PathCarry& carry, const wire::WorkerEntry& worker, Moment now, Effects& effects) {
  auto& path = state.path;
  const auto pipe = state.numbers.take();
  if (!carry.answer_begun) phase_enter(carry.phases, RequestPhase::first_event, now);
  if (carry_sent(carry) > 0) budget_repeat(path.budgets[carry.service], now);
  auto& track = path.tracks[worker.identity()];
  PathTry item;
  item.worker = worker.identity();
  item.pipe = pipe;
  item.begun = item.last_bytes = now;
  if (!carry.unit.empty()) {
    item.missed_tokens = parts_missed(track.parts, carry.call, carry.chain);
    parts_remember(track.parts, carry.chain);
    track.unread_tokens += item.missed_tokens;
    path_counter(state, carry.unit, now).missed_tokens += item.missed_tokens;
    auto& use = path_use(state, carry.unit);
    ++use.running;
    use.last_used = now;
    if (!carry.call.adapter.empty()) count_change(use.adapters[carry.call.adapter].running, true);
  }
  ++track.open;
  carry.tries.push_back(std::move(item));
  path.pipes[pipe] = carry.request;
  carry.status = 0;
  carry.head = {};
  carry.answer.clear();
  carry.answer_whole = false;
  carry.reader.buffer.clear();
  RunTerms terms{worker.identity(), std::max<Moment>(1, carry.due - now), carry.route.urgency, carry.reader.last,
                 carry.tenant};
  OpenPipe open{pipe,
                worker.address(),
                carry.method,
                carry.target,
                state.options.dialect->run_headers(carry.call, terms),
                carry.body,
                false,
                carry.due + state.options.limits.transit};
  open.fresh = !carry_repeatable(carry);
  open.connect_due = now + connects_per_transit * state.options.limits.transit;
  effects.push_back(std::move(open));
}

void path_move(DataState& state, std::uint64_t request, Moment now, Effects& effects) {
  const auto found = state.path.carries.find(request);
  if (found == state.path.carries.end()) return;
  auto& carry = found->second;
  if (carry_open(carry)) return;
  if (!carry.tries.empty() && carry.tries.back().phase == TryPhase::whole)
    return path_finish(state, carry, now, effects);
  const bool may_have_run = carry_may_have_run(carry);
  const auto give_up = [&](const char* reason, int status = 503) {
    set_waits(state, carry, false);
    if (may_have_run || carry.answer_begun) return path_break(state, carry, reason, now, effects);
    path_refuse(state, carry, status, reason, now, effects);
  };
  if (now >= carry.due) return give_up("past_due");
  if (may_have_run && !carry_repeatable(carry)) return give_up("unknown");
  const auto sent = carry_sent(carry);
  const bool no_tries = carry_workers(carry) >= std::max<std::size_t>(1, carry.route.tries);
  if (no_tries && !carry.answer_begun && !carry_left(carry)) return give_up("tries");
  if (carry.tries.size() - sent >= unsent_most) return give_up("unreachable");
  // A begun answer can't be refused any more: it waits for what may change in time.
  const auto wait_or_give_up = [&](const char* reason) {
    if (!carry.answer_begun || now >= hold_due(carry, true)) return give_up(reason);
    set_waits(state, carry, true);
  };
  if (sent > 0 && !budget_allows(state.path.budgets[carry.service], state.options.limits, path_nodes(state), now))
    return wait_or_give_up("budget");
  set_waits(state, carry, false);
  if (const auto placing = path_place(state, carry); placing != Placing::placed) {
    const auto refusal = path_refusal(state, placing, carry.arrived, now, effects);
    return give_up(refusal.reason, refusal.status);
  }
  if (configuration_outdated(state, carry.arrived, now)) return wait_or_give_up("newer_configuration");
  if (!path_will_finish(state, carry, now)) {
    if (!may_have_run && !carry.answer_begun) ++state.path.leaving.refused_held;
    return give_up("leaving");
  }
  const auto choice = path_choose(state, carry, now);
  state.path.considered += choice.considered;
  if (choice.worker != nullptr) return path_open_try(state, carry, *choice.worker, now, effects);
  if (no_tries && !choice.later) return give_up("tries");
  const bool ends_soon =
      state.leave_due != 0 && now >= state.leave_due - state.options.member.bound / leave_answers_per_bound;
  if (ends_soon && !may_have_run && !carry.answer_begun) ++state.path.leaving.refused_held;
  if (ends_soon || now >= hold_due(carry, choice.later)) return give_up(lack_reason(choice.lack));
  set_waits(state, carry, true);
  if (!carry.answer_begun) phase_enter(carry.phases, phase_for(choice.lack), now);
}

void path_dispatch(DataState& state, Moment now, Effects& effects) {
  std::vector<std::tuple<int, Moment, std::uint64_t>> order;
  for (const auto request : state.path.waiting) {
    const auto& carry = state.path.carries.at(request);
    order.emplace_back(carry.route.urgency, carry.arrived, request);
  }
  std::ranges::sort(order);
  for (const auto& [urgency, arrived, request] : order) path_move(state, request, now, effects);
}

void path_avoid(DataState& state, const std::string& worker, Moment now) {
  const auto bound = state.options.member.bound;
  auto& track = state.path.tracks[worker];
  track.avoid_for = std::clamp(track.avoid_for * 2, bound / 6, bound);
  track.avoid_until = now + track.avoid_for;
}

void path_end_run(DataState& state, const PathCarry& carry, PathTry& item, TryPhase phase, const std::string& reason,
                  Moment now, Effects& effects) {
  auto& path = state.path;
  item.phase = phase;
  item.ended = now;
  item.partial.reset();
  path.pipes.erase(item.pipe);
  auto& track = path.tracks[item.worker];
  if (track.open > 0) --track.open;
  if (!item.has_event) track.unread_tokens -= std::min(track.unread_tokens, item.missed_tokens);
  if (!carry.unit.empty()) {
    auto& use = path_use(state, carry.unit);
    count_change(use.running, false);
    use.last_used = now;
    if (!carry.call.adapter.empty()) count_change(use.adapters[carry.call.adapter].running, false);
  }
  if (phase == TryPhase::whole) track.avoid_for = 0;
  if (phase == TryPhase::unsent || phase == TryPhase::broken) path_avoid(state, item.worker, now);
  if (phase != TryPhase::whole) {
    ++state.totals.breakdowns[reason];
    note(effects, "attempt.breakdown",
         {{"request", carry.call.identity},
          {"worker", item.worker},
          {"reason", reason},
          {"sent", phase == TryPhase::unsent ? "false" : "true"}});
  }
}

void path_end_try(DataState& state, PathCarry& carry, TryPhase phase, const std::string& reason, Moment now,
                  Effects& effects) {
  if (carry_open(carry)) path_end_run(state, carry, carry.tries.back(), phase, reason, now, effects);
}

void path_cancel_try(DataState& state, PathCarry& carry, TryPhase phase, const std::string& reason, Moment now,
                     Effects& effects) {
  if (!carry_open(carry)) return;
  effects.push_back(CancelPipe{carry.tries.back().pipe});
  path_end_try(state, carry, phase, reason, now, effects);
}

void path_gone(DataState& state, std::uint64_t request, Moment now, Effects& effects) {
  state.path.early.erase(request);
  const auto found = state.path.carries.find(request);
  if (found == state.path.carries.end()) return;
  auto& carry = found->second;
  set_waits(state, carry, false);
  path_cancel_all(state, carry, "caller_gone", now, effects);
  ++state.totals.gone;
  losses_count(state, carry, RequestOutcome::caller_gone, now);
  state.path.carries.erase(found);
}

}  // namespace weldsail
