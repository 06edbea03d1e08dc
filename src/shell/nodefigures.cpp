#include <utility>

#include "core/control.hpp"
#include "core/data.hpp"
#include "shell/node.hpp"

/// What a process tells of its own events: how long they waited, and what its thread spent on them.
namespace weldsail {
namespace {

/// Events that have waited for longer than this are told to the log, at this pace.
constexpr Moment late_events = 1000;
constexpr Moment late_notes_pace = 5000;
/// Kinds of event whose cost a note of late events names.
constexpr std::size_t kinds_noted = 8;

}  // namespace

template <typename State>
void Node<State>::note_late(Moment now) {
  const auto age = queue_.waited(now);
  if (age < late_events || now < next_late_note_) return;
  next_late_note_ = now + late_notes_pace;
  const auto costs = costs_since(std::exchange(costs_noted_, costs_), costs_);
  TransportFigures figures;
  messenger_.observe(figures);
  const auto received = traffic_since(std::exchange(received_noted_, figures.received), figures.received);
  log_note({"events.late",
            {{"waited_ms", std::to_string(age)},
             {"waiting", std::to_string(queue_.waiting_later())},
             {"dropped", std::to_string(queue_.dropped())},
             {"replaced", std::to_string(queue_.replaced())},
             {"costs", costs_text(costs, kinds_noted)},
             {"received", traffic_text(received, kinds_noted)}},
            true});
}

template <typename State>
TransportObserved Node<State>::observe() const {
  TransportObserved observed;
  messenger_.observe(observed.figures);
  callers_.observe(observed.figures);
  observed.figures.waiting_events = queue_.waiting();
  observed.figures.waiting_ms = static_cast<std::uint64_t>(queue_.waited(monotonic_now()));
  observed.figures.events_dropped = queue_.dropped();
  observed.figures.reports_replaced = queue_.replaced();
  const auto& waits = queue_.answer_waits();
  observed.figures.answer_waits.assign(waits.counts.begin(), waits.counts.end());
  observed.figures.answer_waits_sum = waits.sum;
  observed.figures.costs = costs_;
  return observed;
}

template void Node<ControlState>::note_late(Moment now);
template void Node<DataState>::note_late(Moment now);
template TransportObserved Node<ControlState>::observe() const;
template TransportObserved Node<DataState>::observe() const;

}  // namespace weldsail
