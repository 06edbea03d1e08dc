#include "core/placement/commandanswer.hpp"

#include <algorithm>
#include <cmath>

namespace weldsail {
namespace {

/// Ratios to the contact bound.
constexpr Moment orders_due_part = 10;
constexpr Moment reports_due_part = 6;
constexpr Moment probes_pace_part = 3;
constexpr Moment adapter_time_part = 50;
/// Weight of the newest adapter order in the mean time of such orders.
constexpr double adapter_time_weight = 0.1;
/// Bytes of the longest report that is read.
constexpr std::size_t report_bytes_most = 1U << 20U;

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

std::size_t doubtful_loads(const CommandState& state) {
  return static_cast<std::size_t>(std::ranges::count_if(state.watched, [&](const std::string& identity) {
    const auto book = state.books.find(identity);
    if (book == state.books.end() || !book->second.order) return false;
    return book->second.order->doubtful && book->second.order->from_store;
  }));
}

/// True when the worker, or for a load any worker, refused the same order a short while ago.
bool refused_lately(const CommandState& state, const WorkerBook& book, const WorkerOrder& order, Moment now) {
  if (!order.adapter.empty()) return false;
  if (!order.load) return refusals_active(book.refused_unloads, order.model, now);
  return refusals_active(book.refused_loads, order.model, now) ||
         refusals_active(state.refused_units, unit_name(book.entry.service(), order.model), now);
}

/// Takes bytes of an answer; false when the answer is a report that is too long. What an order's answer says beside its
/// status isn't read.
bool take_bytes(WorkerBook& book, const std::string& bytes) {
  if (book.pipe_orders) return true;
  if (book.body.size() + bytes.size() > report_bytes_most) return false;
  book.body += bytes;
  return true;
}

/// Looks after one book; true when its order has ended without a report.
bool watch(CommandState& state, WorkerBook& book, const CommandContext& context, Effects& effects) {
  if (book.pipe != 0) return false;
  if (!book.order) {
    if (context.now >= book.next_word) ask_report(state, book, context, effects);
    return false;
  }
  const auto& sent = *book.order;
  const bool quick = sent.taken && sent.order.load && !sent.order.adapter.empty();
  if (!quick && context.now >= book.next_word) ask_report(state, book, context, effects);
  if (!quick || context.now < sent.sent + context.limits.contact / adapter_time_part) return false;
  const auto order = sent.order;
  command_time_adapter(state, sent, context.now);
  book.held[order.model].insert(order.adapter);
  book.orders_taken = order.taken ? std::optional(*order.taken + 1) : std::nullopt;
  book.lists_from = context.now + 2 * context.limits.list_delay;
  book.order.reset();
  return true;
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

ListChange command_list(CommandState& state, const std::vector<wire::WorkerEntry>& workers, Moment asked,
                        Effects& effects) {
  const auto before = doubtful_loads(state);
  auto change = books_list(state.books, workers, asked, effects);
  for (auto gone = before; gone > doubtful_loads(state); --gone) store_take(state.store);
  std::erase_if(state.pipes, [&](const auto& item) { return !state.books.contains(item.second); });
  return change;
}

void command_time_adapter(CommandState& state, const SentOrder& sent, Moment now) {
  const auto taken = static_cast<double>(now - sent.sent);
  if (state.adapter_order_ms == 0) state.adapter_order_ms = taken;
  state.adapter_order_ms += (taken - state.adapter_order_ms) * adapter_time_weight;
}

Moment command_adapter_swap(const CommandState& state) {
  constexpr double orders_per_swap = 2;
  return static_cast<Moment>(std::ceil(orders_per_swap * state.adapter_order_ms));
}

bool command_free(const WorkerBook& book, Moment now) {
  return book.pipe == 0 && !book.order && now >= book.next_word && !book.entry.draining();
}

std::vector<std::string> command_tick(CommandState& state, const CommandContext& context, Effects& effects) {
  std::vector<std::string> ended;
  for (auto item = state.watched.begin(); item != state.watched.end();) {
    const auto found = state.books.find(*item);
    const bool idle = found == state.books.end() || (!found->second.order && found->second.failures == 0);
    if (idle) {
      item = state.watched.erase(item);
      continue;
    }
    ++item;
    if (watch(state, found->second, context, effects)) ended.push_back(found->first);
  }
  return ended;
}

bool command_give(CommandState& state, WorkerBook& book, WorkerOrder order, const CommandContext& context,
                  Effects& effects) {
  const auto service = context.paths.services.find(book.entry.service());
  if (!command_free(book, context.now) || service == context.paths.services.end()) return false;
  if (refused_lately(state, book, order, context.now)) return false;
  const bool from_store = order.load && order.adapter.empty() && !book.had.contains(order.model);
  // Most candidates wait for the store: they are told apart before anything else is worked out.
  if (from_store && state.store.filled == context.now && state.store.ready < 1) return false;
  if (!book_fits(book, order, service->second)) return false;
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
  book.adapter_last = !order.adapter.empty();
  book.order = SentOrder{order, context.now, false, from_store, false, {}};
  state.watched.insert(book.entry.identity());
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
  const auto* bytes = std::get_if<PipeBytes>(&event);
  const auto* ended = std::get_if<PipeEnded>(&event);
  const bool too_large = bytes != nullptr && !take_bytes(book, bytes->bytes);
  if (ended == nullptr && !too_large) return std::nullopt;
  const auto identity = found->second;
  if (too_large) {
    ++state.reports_too_large;
    effects.push_back(CancelPipe{number});
  }
  state.pipes.erase(found);
  book.pipe = 0;
  state.watched.insert(identity);
  if (!book.pipe_orders && (too_large || !ended->whole)) book.answer = 0;
  if (book.pipe_orders)
    command_order_answered(state, book, *ended, context, effects);
  else
    command_reported(state, book, context, effects);
  return identity;
}

}  // namespace weldsail
