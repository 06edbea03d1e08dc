#include "core/placement/command.hpp"

#include <algorithm>

namespace weldsail {
namespace {

/// Ratios to the contact bound.
constexpr Moment orders_due_part = 10;
constexpr Moment reports_due_part = 6;
constexpr Moment reports_pace_part = 25;
constexpr Moment reports_late_part = 5;
constexpr Moment probes_pace_part = 3;
constexpr Moment adapter_time_part = 50;
constexpr std::size_t doublings_most = 3;
/// A model comes from the worker's own disk in about this share of its time from the store.
constexpr double disk_share = 0.2;

Moment report_lateness(const Limits& limits) { return limits.contact / reports_pace_part; }

void open(CommandState& state, WorkerBook& book, OpenPipe pipe, const CommandContext& context, Effects& effects) {
  pipe.pipe = book.pipe = context.numbers.take();
  pipe.address = book.entry.address();
  pipe.headers = context.dialect.order_headers(book.entry.identity());
  book.asked = context.now;
  book.answer = 0;
  book.body.clear();
  state.pipes[book.pipe] = book.entry.identity();
  effects.push_back(std::move(pipe));
}

void ask_report(CommandState& state, WorkerBook& book, const CommandContext& context, Effects& effects) {
  book.pipe_orders = false;
  ++state.reports;
  OpenPipe pipe{};
  pipe.method = "GET";
  pipe.path = context.dialect.report_path;
  pipe.due = context.now + context.limits.contact / reports_due_part;
  open(state, book, std::move(pipe), context, effects);
}

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

void take_order_answer(CommandState& state, WorkerBook& book, const PipeEnded& ended, const CommandContext& context,
                       Effects& effects) {
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
  forget_order(book);
  book.next_word = context.now + (soon ? report_lateness(context.limits) : context.limits.contact / reports_due_part);
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
  if (shown && sent.doubtful && sent.from_store) store_take(state.store);
  book.order.reset();
  book_holdings(book, report.models, context.limits, context.now);
  book.orders_taken = report.orders_taken;
  const bool done = book_holds(book, order.model, order.adapter) == order.load;
  if (!done && !order.load && order.adapter.empty()) state.aborted.push_back(unit);
  if (!done) book.next_word = context.now + context.limits.contact / reports_due_part;
  if (!done) note(effects, "order.came_to_nothing", {{"worker", book.entry.identity()}, {"model", order.model}});
}

void take_report(CommandState& state, WorkerBook& book, const CommandContext& context, Effects& effects) {
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

std::size_t doubtful_loads(const CommandState& state) {
  return static_cast<std::size_t>(std::ranges::count_if(state.books, [](const auto& item) {
    return item.second.order && item.second.order->doubtful && item.second.order->from_store;
  }));
}

}  // namespace

void command_begin(CommandState& state, std::uint64_t fence, std::string holder, Moment orders_from, Moment now) {
  auto share = state.store;
  state = {};
  state.fence = fence;
  state.holder = std::move(holder);
  state.orders_from = orders_from;
  state.store = share;
  store_begin(state.store, now);
}

void command_end(CommandState& state, Effects& effects) {
  for (const auto& [pipe, identity] : state.pipes) effects.push_back(CancelPipe{pipe});
  state.pipes.clear();
  state.books.clear();
}

bool command_list(CommandState& state, const std::vector<wire::WorkerEntry>& workers, Moment asked, Effects& effects) {
  const auto before = doubtful_loads(state);
  const bool changed = books_list(state.books, workers, asked, effects);
  for (auto gone = before; gone > doubtful_loads(state); --gone) store_take(state.store);
  std::erase_if(state.pipes, [&](const auto& item) { return !state.books.contains(item.second); });
  return changed;
}

bool command_free(const WorkerBook& book, Moment now) {
  return book.pipe == 0 && !book.order && now >= book.next_word && !book.entry.draining();
}

bool command_tick(CommandState& state, const CommandContext& context, Effects& effects) {
  bool ended = false;
  for (auto& [identity, book] : state.books) {
    if (book.pipe != 0) continue;
    if (!book.order && book.failures > 0 && context.now >= book.next_word) ask_report(state, book, context, effects);
    if (!book.order) continue;
    const auto& sent = *book.order;
    const bool quick = sent.taken && sent.order.load && !sent.order.adapter.empty();
    if (quick && context.now >= sent.sent + context.limits.contact / adapter_time_part) {
      const auto order = sent.order;
      book.held[order.model].insert(order.adapter);
      book.orders_taken = order.taken ? std::optional(*order.taken + 1) : std::nullopt;
      book.lists_from = context.now + 2 * context.limits.list_delay;
      book.order.reset();
      ended = true;
    } else if (!quick && context.now >= book.next_word) {
      ask_report(state, book, context, effects);
    }
  }
  return ended;
}

bool command_give(CommandState& state, WorkerBook& book, WorkerOrder order, const CommandContext& context,
                  Effects& effects) {
  const auto service = context.paths.services.find(book.entry.service());
  if (!command_free(book, context.now) || service == context.paths.services.end()) return false;
  if (!book_fits(book, order, service->second)) return false;
  const bool from_store = order.load && order.adapter.empty() && !book.had.contains(order.model);
  if (from_store && !store_allows(state.store, context.limits, doubtful_loads(state), context.now)) return false;
  if (!book.orders_taken) {
    ask_report(state, book, context, effects);
    return true;
  }
  order.holder = state.holder;
  order.fence = state.fence;
  order.taken = book.orders_taken;
  if (from_store) store_take(state.store);
  ++state.sent;
  book.order = SentOrder{order, context.now, false, from_store, false, {}};
  book.pipe_orders = true;
  OpenPipe pipe{};
  pipe.method = "POST";
  pipe.path = context.dialect.order_path;
  pipe.body = context.dialect.order_body(order);
  pipe.due = context.now + context.limits.contact / orders_due_part;
  open(state, book, std::move(pipe), context, effects);
  return true;
}

void command_probe(CommandState& state, WorkerBook& book, const CommandContext& context, Effects& effects) {
  const auto pace = context.limits.contact / probes_pace_part;
  if (command_free(book, context.now) && context.now - book.asked >= pace) ask_report(state, book, context, effects);
}

std::optional<std::string> command_pipe(CommandState& state, const Event& event, const CommandContext& context,
                                        Effects& effects) {
  const auto number = std::visit(
      [](const auto& item) -> std::uint64_t {
        if constexpr (requires { item.pipe; }) return item.pipe;
        return 0;
      },
      event);
  const auto found = number == 0 ? state.pipes.end() : state.pipes.find(number);
  if (found == state.pipes.end()) return std::nullopt;
  auto& book = state.books.at(found->second);
  if (const auto* head = std::get_if<PipeHead>(&event)) book.answer = head->status;
  if (const auto* bytes = std::get_if<PipeBytes>(&event)) book.body += bytes->bytes;
  const auto* ended = std::get_if<PipeEnded>(&event);
  if (ended == nullptr) return std::nullopt;
  const auto identity = found->second;
  state.pipes.erase(found);
  book.pipe = 0;
  if (!ended->whole && !book.pipe_orders) book.answer = 0;
  if (book.pipe_orders)
    take_order_answer(state, book, *ended, context, effects);
  else
    take_report(state, book, context, effects);
  return identity;
}

}  // namespace weldsail
