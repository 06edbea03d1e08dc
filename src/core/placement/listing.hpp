#pragma once
#include "core/dialect.hpp"
#include "core/limits.hpp"
#include "core/placement/worker.hpp"

namespace weldsail {

/// The platform's list of workers, asked for page by page.
struct ListState {
  /// Least time between the beginnings of two asks, in milliseconds.
  Moment pace = 1000;
  /// Least time to the next ask after one that failed without being told to slow down; 0 for `pace`, in milliseconds.
  Moment retry = 0;
  Moment next_ask = 0;
  std::uint64_t pipe = 0;
  int answer = 0;
  Moment retry_after = 0;
  std::string body;
  std::string path;
  std::size_t pages = 0;
  /// Bytes of the list so far, all pages together.
  std::size_t bytes = 0;
  std::size_t failures = 0;
  /// Pages that were longer than what is read of one, and lists that were longer than what is kept.
  std::uint64_t too_large = 0;
  Moment begun = 0;
  std::vector<wire::WorkerEntry> gathered;
  /// The last whole list, sorted by identity, and the moment at which its first page was asked for.
  std::vector<wire::WorkerEntry> workers;
  Moment asked = 0;
  bool known = false;
};

/// Asks for the next page when it is time; an address that is missing means that there is no list.
void list_tick(ListState& state, const Limits& limits, const Dialect& dialect, PipeNumbers& numbers, Moment now,
               Effects& effects);
/// Takes a pipe's event; true when a whole new list has come in. A failed ask keeps the last list.
bool list_pipe(ListState& state, const Limits& limits, const Dialect& dialect, PipeNumbers& numbers, const Event& event,
               Moment now, Effects& effects);
/// Drops an ask that is under way.
void list_end(ListState& state, Effects& effects);

}  // namespace weldsail
