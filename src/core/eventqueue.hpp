#pragma once
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "core/event.hpp"
#include "core/timehistogram.hpp"

namespace weldsail {

/// Upper bounds of the histogram of waits, in milliseconds.
inline constexpr std::array<Moment, 8> wait_buckets{10, 25, 50, 100, 250, 500, 1000, 2500};
/// Times for which events waited for the thread.
using WaitHistogram = TimeHistogram<wait_buckets>;

/// Events that wait for the one thread of a process. Those that others must not overtake go first, then urgent ones;
/// the others wait for all of them. Of these, answers on pipes that this process opened go before messages: they are
/// few, each follows from an own request, and whoever asked can't go on without them. After `answers_in_a_row` of them
/// one message has its turn. Messages are shed in a stated order when the thread lags:
/// - a whole report of a data node takes the place of the one that still waits, unless that one has counters for a
/// round;
/// - a message that has waited for longer than `age_most` is dropped, as its sender tells it again;
/// - beyond `waiting_most` events a further message is dropped.
/// What a pipe tells is never dropped.
class EventQueue {
 public:
  /// Milliseconds for which a message that isn't urgent may wait.
  static constexpr Moment age_most = 2000;
  /// Events that may wait; messages beyond are dropped.
  static constexpr std::size_t waiting_most = 4096;
  /// Events of pipes that are taken before a message has its turn.
  static constexpr std::size_t answers_in_a_row = 16;

  /// A message by which events that came before it are to be judged.
  void put_first(Event event) { first_.push_back(std::move(event)); }
  void put_urgent(Event event) { urgent_.push_back(std::move(event)); }
  void put_later(Event event, Moment now);

  bool has_urgent() const { return !first_.empty() || !urgent_.empty(); }
  bool has_later() const { return !answers_.empty() || !later_.empty(); }
  Event take_urgent();
  /// The next event that waited for the urgent ones; none when all that wait are too old.
  std::optional<Event> take_later(Moment now);
  /// Takes all urgent events, and none of those before and after them.
  std::deque<Event> take_all_urgent() { return std::exchange(urgent_, {}); }

  std::size_t waiting() const { return first_.size() + urgent_.size() + waiting_later(); }
  std::size_t waiting_later() const { return answers_.size() + later_.size(); }
  /// Milliseconds for which the oldest of those that wait for the urgent ones has waited.
  Moment waited(Moment now) const;
  /// Messages that were dropped, and reports that newer ones have replaced.
  std::uint64_t dropped() const { return dropped_; }
  std::uint64_t replaced() const { return replaced_; }
  /// Waits of the ends of pipes to workers, from their reading until they were taken.
  const WaitHistogram& answer_waits() const { return answer_waits_; }

 private:
  struct Waiting {
    /// When its place in the queue was taken, and when the event came that has it now.
    Moment since;
    Moment came;
    Event event;
  };

  std::optional<Event> take_message(Moment now);
  /// The whole report of the same data node that may be replaced; null where none waits.
  Waiting* replaceable(const wire::Envelope& envelope);

  std::deque<Event> first_;
  std::deque<Event> urgent_;
  std::deque<Waiting> answers_;
  /// Answers that were taken since a message had its turn.
  std::size_t answers_taken_ = 0;
  std::deque<Waiting> later_;
  /// Events that have been taken from `later_`, so that a place in it has a number that stays.
  std::uint64_t taken_ = 0;
  /// Number of the newest whole report of each data node; it may have been taken.
  std::map<std::uint64_t, std::uint64_t> reports_;
  std::uint64_t dropped_ = 0;
  std::uint64_t replaced_ = 0;
  WaitHistogram answer_waits_;
};

}  // namespace weldsail
