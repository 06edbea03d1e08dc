#include "core/eventqueue.hpp"

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
  const auto* report = whole_report(event);
  if (report != nullptr)
    if (auto* former = replaceable(*report)) {
      former->came = now;
      former->event = std::move(event);
      ++replaced_;
      return;
    }
  if (later_.size() >= waiting_most && std::holds_alternative<MessageArrived>(event)) {
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

std::optional<Event> EventQueue::take_later(Moment now) {
  while (!later_.empty()) {
    auto waiting = std::move(later_.front());
    later_.pop_front();
    ++taken_;
    if (now - waiting.came <= age_most || !std::holds_alternative<MessageArrived>(waiting.event))
      return std::move(waiting.event);
    ++dropped_;
  }
  if (reports_.size() > waiting_most) reports_.clear();
  return std::nullopt;
}

}  // namespace weldsail
