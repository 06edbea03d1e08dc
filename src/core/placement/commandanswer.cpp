#include "core/placement/commandanswer.hpp"

#include <algorithm>

namespace weldsail {
namespace {

/// Ratios to the contact bound.
constexpr Moment reports_due_part = 6;
constexpr Moment reports_pace_part = 25;
constexpr Moment reports_late_part = 5;
constexpr std::size_t doublings_most = 3;
/// A refused order rests at its worker for so many bounds, and the load of its unit elsewhere for this part of the
/// bound at first and for as many bounds at last.
constexpr Moment refused_bounds = 4;
constexpr Moment refused_least_part = 4;
/// A model comes from the worker's own disk in about this share of its time from the store.
constexpr double disk_share = 0.2;

Moment report_lateness(const Limits& limits) { return limits.contact / reports_pace_part; }

Moment expected_end(const SentOrder& sent, const WorkerBook& book, const CommandContext& context) {
  const auto lateness = report_lateness(context.limits);
  if (!sent.order.load || !sent.order.adapter.empty()) return sent.sent + lateness;
  const auto service = context.paths.services.find(book.entry.service());
  if (service == context.paths.services.end()) return sent.sent + lateness;
  const auto model = service->second.models.find(sent.order.model);
  const auto time = model == service->second.models.end() ? 0 : model->second.load_time;
  return sent.sent + lateness + (sent.from_store ? time : static_cast<Moment>(static_cast<double>(time) * disk_share));
}

void forget_order(WorkerBook& book) {
  book.order.reset();
  book.orders_taken.reset();
}

std::string unit_of(const WorkerBook& book) { return unit_name(book.entry.service(), book.order->order.model); }

/// The worker refused the order, or nothing came of it: it isn't given again at once, here or elsewhere.
void note_refusal(CommandState& state, WorkerBook& book, const WorkerOrder& order, const CommandContext& context) {
  if (!order.adapter.empty()) return;
  const auto contact = context.limits.contact;
  auto& refused = order.load ? book.refused_loads : book.refused_unloads;
  refusals_add(refused, order.model, refused_bounds * contact, refused_bounds * contact, context.now);
  if (!order.load) return;
  refusals_add(state.refused_units, unit_name(book.entry.service(), order.model), contact / refused_least_part,
               refused_bounds * contact, context.now);
}

/// The order was done: earlier refusals of it count no more.
void forget_refusals(CommandState& state, WorkerBook& book, const WorkerOrder& order) {
  if (!order.adapter.empty()) return;
  (order.load ? book.refused_loads : book.refused_unloads).erase(order.model);
  if (order.load) state.refused_units.erase(unit_name(book.entry.service(), order.model));
}

void settle_order(CommandState& state, WorkerBook& book, const WorkerReport& report, const CommandContext& context,
                  Effects& effects) {
  auto& sent = *book.order;
  const bool shown = sent.order.taken && report.orders_taken > *sent.order.taken;
  const bool clear = !report.under_order && !shown;
  if (clear && !sent.clear_since) sent.clear_since = book.asked;
  const bool late = sent.clear_since && book.asked >= *sent.clear_since + context.limits.contact / reports_late_part;
  if (report.under_order || (clear && !late)) {
    book.next_word = context.now + report_lateness(context.limits);
    return;
  }
  const auto unit = unit_of(book);
  const auto order = sent.order;
  const auto ended = sent;
  if (shown && sent.doubtful && sent.from_store) store_take(state.store);
  book.order.reset();
  book_holdings(book, report.models, context.limits, context.now);
  book.orders_taken = report.orders_taken;
  const bool done = book_holds(book, order.model, order.adapter) == order.load;
  if (!done && !order.load && order.adapter.empty()) state.aborted.push_back(unit);
  if (done && !order.adapter.empty()) command_time_adapter(state, ended, context.now);
  if (done)
    forget_refusals(state, book, order);
  else
    note_refusal(state, book, order, context);
  if (!done) book.next_word = context.now + context.limits.contact / reports_due_part;
  if (!done) note(effects, "order.came_to_nothing", {{"worker", book.entry.identity()}, {"model", order.model}});
}

}  // namespace

void command_order_answered(CommandState& state, WorkerBook& book, const PipeEnded& ended,
                            const CommandContext& context, Effects& effects) {
  auto& sent = *book.order;
  if (book.answer == 0 && !ended.sent) {
    book.order.reset();
    book.next_word = context.now + context.limits.contact / reports_due_part;
    return;
  }
  if (book.answer == 0 || book.answer >= 500) {
    sent.doubtful = true;
    book.orders_taken.reset();
    book.next_word = context.now + report_lateness(context.limits);
    note(effects, "order.unanswered", {{"worker", book.entry.identity()}, {"reason", ended.reason}});
    return;
  }
  const auto answer = context.dialect.read_order_answer(book.answer);
  if (answer == OrderAnswer::under_way) {
    sent.taken = true;
    book.next_word = expected_end(sent, book, context);
    return;
  }
  const bool soon = answer != OrderAnswer::refused && answer != OrderAnswer::fenced;
  if (!soon && !sent.order.load && sent.order.adapter.empty()) state.aborted.push_back(unit_of(book));
  note(effects, "order.refused",
       {{"worker", book.entry.identity()}, {"model", sent.order.model}, {"status", std::to_string(book.answer)}});
  if (answer == OrderAnswer::refused) note_refusal(state, book, sent.order, context);
  forget_order(book);
  book.next_word = context.now + (soon ? report_lateness(context.limits) : context.limits.contact / reports_due_part);
}

void command_reported(CommandState& state, WorkerBook& book, const CommandContext& context, Effects& effects) {
  const auto report = book.answer == 200 ? context.dialect.read_report(book.body) : std::nullopt;
  if (!report) {
    const auto wait = (context.limits.contact / reports_due_part) << std::min(book.failures++, doublings_most);
    book.next_word = context.now + wait;
    return;
  }
  book.failures = 0;
  book.running = report->running;
  book.waiting = report->waiting;
  if (book.order) return settle_order(state, book, *report, context, effects);
  if (report->under_order) {
    book.next_word = context.now + report_lateness(context.limits) * 2;
    return;
  }
  book.orders_taken = report->orders_taken;
  book_holdings(book, report->models, context.limits, context.now);
}

}  // namespace weldsail
