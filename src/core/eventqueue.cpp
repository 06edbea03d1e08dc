#include "core/eventqueue.hpp"

#include <algorithm>

namespace weldsail {
namespace {

/// The envelope of a whole report of a data node; null for every other event.
const wire::Envelope* whole_report(const Event& event) {
  const auto* message = std::get_if<MessageArrived>(&event);
  if (message == nullptr || !message->envelope.has_counter_report()) return nullptr;
  return message->envelope.counter_report().partial() ? nullptr : &message->envelope;
}

}  // namespace

EventQueue::Waiting* EventQueue::replaceable(const wire::Envelope& envelope) {
  const auto found = reports_.find(envelope.from());
  if (found == reports_.end() || found->second < taken_) return nullptr;
  auto& waiting = later_[found->second - taken_];
  const auto& former = whole_report(waiting.event)->counter_report();
  const auto& next = envelope.counter_report();
  const bool needed = former.round() != 0 && former.round() != next.round();
  return needed || next.number() < former.number() ? nullptr : &waiting;
}

void EventQueue::put_later(Event event, Moment now) {
  if (!std::holds_alternative<MessageArrived>(event)) {
    answers_.push_back({now, now, std::move(event)});
    return;
  }
  const auto* report = whole_report(event);
  if (report != nullptr)
    if (auto* former = replaceable(*report)) {
      former->came = now;
      former->event = std::move(event);
      ++replaced_;
      return;
    }
  if (later_.size() >= waiting_most) {
    ++dropped_;
    return;
  }
  if (report != nullptr) reports_[report->from()] = taken_ + later_.size();
  later_.push_back({now, now, std::move(event)});
}

Event EventQueue::take_urgent() {
  auto& lane = first_.empty() ? urgent_ : first_;
  auto event = std::move(lane.front());
  lane.pop_front();
  return event;
}

Moment EventQueue::waited(Moment now) const {
  const auto age = [&](const std::deque<Waiting>& lane) { return lane.empty() ? 0 : now - lane.front().since; };
  return std::max(age(answers_), age(later_));
}

std::optional<Event> EventQueue::take_later(Moment now) {
  const bool messages_turn = answers_taken_ >= answers_in_a_row && !later_.empty();
  if (answers_.empty() || messages_turn) {
    answers_taken_ = 0;
    return take_message(now);
  }
  ++answers_taken_;
  auto waiting = std::move(answers_.front());
  answers_.pop_front();
  if (std::holds_alternative<PipeEnded>(waiting.event)) answer_waits_.add(now - waiting.since);
  return std::move(waiting.event);
}

std::optional<Event> EventQueue::take_message(Moment now) {
  while (!later_.empty()) {
    auto waiting = std::move(later_.front());
    later_.pop_front();
    ++taken_;
    if (now - waiting.came <= age_most) return std::move(waiting.event);
    ++dropped_;
  }
  if (reports_.size() > waiting_most) reports_.clear();
  return std::nullopt;
}

}  // namespace weldsail
