#include <algorithm>

#include "core/configuration/fetch.hpp"
#include "core/configuration/serve.hpp"
#include "core/dataparts.hpp"
#include "core/forwarding/paths/path.hpp"
#include "core/operations/metrics.hpp"

namespace weldsail {
namespace {

void use_news(DataState& state, Moment now, Effects& effects) {
  data_use_config(state, now, effects);
  const auto placement = state.news.values.find(placement_key);
  if (placement == state.news.values.end() || placement->second.version() <= state.placement_version) return;
  wire::Placement value;
  if (!value.ParseFromString(placement->second.value())) return;
  state.placement = std::move(value);
  memo_placement(state.memo, placement->second, effects);
  state.placement_version = placement->second.version();
  std::map<std::string, std::string> services;
  for (const auto& record : state.placement.workers()) services[record.address()] = record.service();
  watch_set(state.watch, services, effects);
}

void on_message(DataState& state, const wire::Envelope& envelope, Moment now, Effects& effects) {
  const auto own = state.member.self.cluster();
  if (own != 0 && envelope.cluster() != 0 && own != envelope.cluster()) return;
  if (envelope.to() != 0 && envelope.to() != state.member.self.node()) return;
  if (const auto whole = bulk_receive(state.bulk, state.news.delivery.window, state.member, envelope, now, effects))
    return on_message(state, *whole, now, effects);
  if (envelope.has_ping()) {
    member_receive(state.member, envelope, news_known(state.news), now, effects);
    news_heard(state.news, state.member, envelope, now, effects);
  }
  if (envelope.has_news()) {
    formation_learn(state.formation, state.member, envelope.news().core(), effects);
    for (const auto& value : envelope.news().values())
      if (wire::Core core; value.key() == core_key && core.ParseFromString(value.value()))
        formation_learn(state.formation, state.member, core, effects);
    for (const auto& value : envelope.news().values())
      news_learn(state.news, state.member, state.formation.core, value, now, effects);
    for (const auto& offer : envelope.news().offers())
      fetch_offered(state.news, state.member, envelope, offer, now, effects);
    news_answered(state.news, state.member, envelope, now);
    data_hear_first(state, envelope);
    use_news(state, now, effects);
  }
  if (envelope.has_value_part())
    if (const auto value = fetch_part(state.news, state.member, envelope, now, effects)) {
      news_learn(state.news, state.member, state.formation.core, *value, now, effects);
      use_news(state, now, effects);
    }
  if (envelope.has_value_ask()) serve_asked(state.news, state.member, envelope, now, effects);
  if (envelope.has_news_ask()) news_asked_once(state.news, state.member, state.formation.core, envelope, now, effects);
  if (envelope.has_operated()) operate_answered(state.operate, news_copy(state.news), envelope, effects);
  if (envelope.has_claimed()) claims_receive(state, envelope, now, effects);
  if (envelope.has_fleet()) path_fleet(state, envelope, now, effects);
  if (envelope.has_counter_ask() && state.options.dialect != nullptr) {
    const auto& ask = envelope.counter_ask();
    state.path.known_reports = {envelope.from(), ask.known_backlogs(), ask.known_counters()};
    path_report(state, envelope.from(), envelope.address(), ask.round(), now, effects);
  } else if (envelope.has_counter_ask())
    report_counters(state, envelope.from(), envelope.address(), envelope.counter_ask().round(), now, effects);
}

void on_request(DataState& state, const RequestArrived& event, Moment now, Effects& effects) {
  // What comes by host and path at the callers' own door may be any path.
  const bool callers_own = state.options.dialect != nullptr && event.door == 0;
  if (!callers_own && metrics_asked(event))
    return metrics_answer(
        event, [&] { return data_metrics_text(state, now); }, effects);
  if (state.options.dialect != nullptr && (event.door == 0 || !operate_path(event.path)))
    return path_take(state, event, now, effects);
  if (!operate_path(event.path)) {
    data_take(state, event, now, effects);
    return;
  }
  const Asker asker{event.request, 0, {}};
  if (!operate_readable(event)) return operate_refuse(state.member, asker, 400, "malformed", "refused", {}, effects);
  auto operation = operate_read(event, state.random);
  if (operate_local(state.member, operation, data_status_text(state, now), asker, effects)) return;
  const auto key = operate_key(operation.path());
  operate_forward(state.operate, state.bulk, state.member, std::move(operation), *key, event.request, now, effects);
}

/// The time of a node that leaves is over: what it still carries gets its final answer.
void break_off(DataState& state, Moment now, Effects& effects) {
  while (!state.carries.empty()) {
    const auto& [request, carry] = *state.carries.begin();
    const auto unknown = ledger_may_have_run(carry.ledger) ? Move::give_up_unknown : Move::give_up_not_run;
    carry_end(state, carry, carry.ledger.answer_begun ? Move::end_in_error : unknown, effects);
    carry_drop(state, request, now, effects);
  }
}

void on_tick(DataState& state, const Ticked& event, Moment now, Effects& effects) {
  state.random = event.random;
  const auto known = news_known(state.news);
  member_tick(state.member, known, now, effects);
  news_tick(state.news, state.member, now, effects);
  operate_tick(state.operate, state.bulk, state.member, now, effects);
  watch_tick(state.watch, state.numbers, now, effects);
  data_ask_first(state, now, effects);
  use_news(state, now, effects);
  claims_tick(state, now, effects);
  break_dark(state, now, effects);
  std::vector<std::uint64_t> late;
  for (const auto& [request, carry] : state.carries)
    if (now >= carry.ledger.due || (now >= carry.ledger.hold_due && !ledger_open(carry.ledger)))
      late.push_back(request);
  for (const auto request : late) carry_move(state, request, now, effects);
  dispatch(state, now, effects);
  report_tick(state, now, effects);
  if (state.options.dialect != nullptr) path_tick(state, now, effects);
  if (state.leave_due == 0) return;
  if (state.options.dialect != nullptr) {
    if (path_may_depart(state, now, effects)) effects.push_back(Depart{path_write_time(state)});
    return;
  }
  if (now >= state.leave_due) break_off(state, now, effects);
  if (state.carries.empty()) effects.push_back(Depart{});
}

void on_leave(DataState& state, Moment now, Effects& effects) {
  if (state.member.leaving) return;
  member_leave(state.member, news_known(state.news), effects);
  state.leave_due = now + state.options.leave_limit;
  effects.push_back(CloseAfterAnswers{});
  if (state.options.dialect != nullptr) return path_leave(state, now);
  std::vector<std::uint64_t> held;
  for (auto& [request, carry] : state.carries)
    if (!ledger_open(carry.ledger)) held.push_back(request);
  for (const auto request : held) {
    ++state.totals.not_run;
    const bool ran = ledger_may_have_run(state.carries.at(request).ledger);
    const auto& claim = state.carries.at(request).claim;
    if (claim && !ran) claim_release(*claim, state.member, state.formation.core, effects);
    if (!state.carries.at(request).ledger.answer_begun)
      refuse_caller(request, ran ? 502 : 503, "leaving", ran ? "unknown" : "not_run", 1, effects);
    else
      effects.push_back(AnswerEnd{request, false});
    carry_drop(state, request, now, effects);
  }
}

}  // namespace

DataState make_data(const DataOptions& options) {
  DataState state;
  state.options = options;
  state.member.options = options.member;
  state.member.options.program = Program::data;
  // The product's own interface has one bound for all.
  if (options.dialect == nullptr) state.options.limits.adopt = options.member.bound;
  const auto bound = options.member.bound;
  state.hold.limit = options.held_limit;
  state.memo.enabled = options.has_folder;
  if (options.dialect != nullptr) state.news.control_only = {placement_key};
  state.path.fleet.bound = bound;
  state.path.list.pace = bound / 3;
  bulk_configure(state.bulk, bound);
  state.memo.bound = state.news.bound = state.operate.bound = state.watch.bound = bound;
  return state;
}

namespace {

void take_event(DataState& state, const Event& event, Moment now, Effects& effects) {
  if (const auto* started = std::get_if<Started>(&event)) {
    state.random = started->random;
    member_start(state.member, started->random, 0, now);
    memo_start(state.memo, started->records, state.member, state.news, now);
  }
  if (const auto* persisted = std::get_if<Persisted>(&event);
      persisted != nullptr && memo_persisted(state.memo, *persisted))
    use_news(state, now, effects);
  if (const auto* ticked = std::get_if<Ticked>(&event)) on_tick(state, *ticked, now, effects);
  if (const auto* message = std::get_if<MessageArrived>(&event)) on_message(state, message->envelope, now, effects);
  if (const auto* request = std::get_if<RequestArrived>(&event)) on_request(state, *request, now, effects);
  if (const auto* gone = std::get_if<RequestGone>(&event)) {
    carry_gone(state, gone->request, effects);
    path_gone(state, gone->request, now, effects);
    operate_gone(state.operate, gone->request);
  }
  if (std::holds_alternative<Leaving>(event)) on_leave(state, now, effects);
  if (const auto* observed = std::get_if<TransportObserved>(&event)) state.transport = observed->figures;
  if (const auto heard = watch_pipe(state.watch, event, effects)) {
    state.running_at_status[*heard] = state.running[*heard];
    dispatch(state, now, effects);
  }
  carry_pipe(state, event, now, effects);
  if (state.options.dialect == nullptr) return;
  path_list(state, event, now, effects);
  path_pipe(state, event, now, effects);
}

}  // namespace

Effects reduce(DataState& state, const Event& event, Moment now) {
  Effects effects;
  take_event(state, event, now, effects);
  bulk_send(state.bulk, state.news.delivery.window, state.member, now, effects);
  return effects;
}

}  // namespace weldsail
