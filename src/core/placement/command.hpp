#pragma once
#include "core/placement/book.hpp"
#include "core/placement/store.hpp"

namespace weldsail {

/// The command part: reports and orders, one at a time for each worker, under the holder's fence.
struct CommandState {
  std::uint64_t fence = 0;
  std::string holder;
  /// No order leaves sooner: a former holder may have ordered up to now.
  Moment orders_from = 0;
  Books books;
  /// Identities of all books with an order or a report that failed; some others may be among them.
  std::set<std::string> watched;
  std::map<std::uint64_t, std::string> pipes;
  StoreShare store;
  /// Units whose unload came to nothing.
  std::vector<std::string> aborted;
  /// Units of which a worker refused a load: no other worker is asked for a while.
  Refusals refused_units;
  /// Time from the sending of an adapter's order to its end, a moving mean; 0 until one has ended.
  double adapter_order_ms = 0;
  std::uint64_t sent = 0;
  std::uint64_t reports = 0;
  /// Answers to asks for reports that were longer than what is read of one.
  std::uint64_t reports_too_large = 0;
};

/// What a word to a worker is made from.
struct CommandContext {
  const PathConfig& paths;
  const Dialect& dialect;
  const Limits& limits;
  PipeNumbers& numbers;
  Moment now;
};

/// Begins a term: what is known of workers is kept only where a list or a report tells it anew.
void command_begin(CommandState& state, std::uint64_t fence, std::string holder, Moment orders_from, Moment now);
/// Drops all pipes.
void command_end(CommandState& state, Effects& effects);
/// Takes a whole list.
ListChange command_list(CommandState& state, const std::vector<wire::WorkerEntry>& workers, Moment asked,
                        Effects& effects);
/// Takes the time of an adapter's order that has been done.
void command_time_adapter(CommandState& state, const SentOrder& sent, Moment now);
/// Time in which a worker unloads one adapter and loads another, as observed; 0 until it was.
Moment command_adapter_swap(const CommandState& state);
/// True when the next word to the worker may leave.
bool command_free(const WorkerBook& book, Moment now);
/// Asks for reports that show the end of orders; identities of those whose order has ended without one.
std::vector<std::string> command_tick(CommandState& state, const CommandContext& context, Effects& effects);
/// Gives an order when the worker, its room and the store allow it; a report is asked for first where one is missing.
/// True when the order or the ask has left.
bool command_give(CommandState& state, WorkerBook& book, WorkerOrder order, const CommandContext& context,
                  Effects& effects);
/// Asks a worker that seems to run nothing for its report.
void command_probe(CommandState& state, WorkerBook& book, const CommandContext& context, Effects& effects);
/// Takes a pipe's event; the worker's identity when something new is known of it.
std::optional<std::string> command_pipe(CommandState& state, const Event& event, const CommandContext& context,
                                        Effects& effects);

}  // namespace weldsail
