#include "core/eventqueue.hpp"

#include <catch2/catch.hpp>

using namespace weldsail;

namespace {

Event report(std::uint64_t node, std::uint64_t number, std::uint64_t round = 0, bool partial = false) {
  wire::Envelope envelope;
  envelope.set_from(node);
  auto* content = envelope.mutable_counter_report();
  content->set_number(number);
  content->set_round(round);
  content->set_partial(partial);
  return MessageArrived{std::move(envelope)};
}

/// Node and number of a report that is taken; 0 and 0 when there is none.
std::pair<std::uint64_t, std::uint64_t> take(EventQueue& queue, Moment now) {
  const auto event = queue.take_later(now);
  if (!event) return {0, 0};
  const auto& envelope = std::get<MessageArrived>(*event).envelope;
  return {envelope.from(), envelope.counter_report().number()};
}

using Taken = std::pair<std::uint64_t, std::uint64_t>;

}  // namespace

TEST_CASE("a whole report takes the place of the one of the same node that still waits", "[queue]") {
  EventQueue queue;
  queue.put_later(report(1, 1), 100);
  queue.put_later(report(2, 1), 110);
  queue.put_later(report(1, 2), 120);
  queue.put_later(report(1, 3, 0, true), 130);
  queue.put_later(report(1, 4), 140);
  CHECK(queue.replaced() == 2);
  CHECK(queue.waiting_later() == 3);
  CHECK(queue.waited(200) == 100);
  CHECK(take(queue, 200) == Taken{1, 4});
  CHECK(take(queue, 200) == Taken{2, 1});
  // The next one of a node whose report was taken is put at the end.
  queue.put_later(report(1, 5), 210);
  CHECK(take(queue, 220) == Taken{1, 3});
  CHECK(take(queue, 220) == Taken{1, 5});
  CHECK(take(queue, 220) == Taken{0, 0});
  CHECK(queue.dropped() == 0);
}

TEST_CASE("a report with counters for a round stays, and an older report replaces no newer one", "[queue]") {
  EventQueue queue;
  queue.put_later(report(1, 5, 7), 100);
  queue.put_later(report(1, 6), 110);
  CHECK(queue.replaced() == 0);
  queue.put_later(report(1, 4), 115);
  CHECK(queue.replaced() == 0);
  queue.put_later(report(2, 1, 7), 120);
  queue.put_later(report(2, 2, 7), 130);
  CHECK(queue.replaced() == 1);
  CHECK(take(queue, 140) == Taken{1, 5});
  CHECK(take(queue, 140) == Taken{1, 6});
  CHECK(take(queue, 140) == Taken{1, 4});
  CHECK(take(queue, 140) == Taken{2, 2});
}

TEST_CASE("messages are dropped once they are too old or too many, what pipes tell never", "[queue]") {
  EventQueue queue;
  queue.put_later(PipeEnded{5, true, true, ""}, 0);
  queue.put_later(report(1, 1), 0);
  queue.put_later(report(2, 1), EventQueue::age_most);
  // A report that replaced an older one is as old as itself.
  queue.put_later(report(3, 1), 0);
  queue.put_later(report(3, 2), EventQueue::age_most);
  const auto now = EventQueue::age_most + 1;
  const auto first = queue.take_later(now);
  REQUIRE(first);
  CHECK(std::holds_alternative<PipeEnded>(*first));
  CHECK(take(queue, now) == Taken{2, 1});
  CHECK(queue.dropped() == 1);
  CHECK(take(queue, now) == Taken{3, 2});
  for (std::size_t node = 0; node < EventQueue::waiting_most + 10; ++node) queue.put_later(report(node + 1, 1), now);
  CHECK(queue.waiting_later() == EventQueue::waiting_most);
  CHECK(queue.dropped() == 11);
  queue.put_later(PipeEnded{6, true, true, ""}, now);
  CHECK(queue.waiting_later() == EventQueue::waiting_most + 1);
}

TEST_CASE("urgent events are taken in the order in which they came, before all others", "[queue]") {
  EventQueue queue;
  queue.put_later(report(1, 1), 0);
  queue.put_urgent(PipeEnded{1, true, true, ""});
  queue.put_urgent(PipeEnded{2, true, true, ""});
  REQUIRE(queue.has_urgent());
  CHECK(std::get<PipeEnded>(queue.take_urgent()).pipe == 1);
  CHECK(queue.take_all_urgent().size() == 1);
  CHECK_FALSE(queue.has_urgent());
  CHECK(queue.has_later());
}

TEST_CASE("what requests are judged by goes before those that came earlier, in its own order", "[queue]") {
  EventQueue queue;
  queue.put_urgent(RequestGone{1});
  queue.put_first(RequestGone{2});
  queue.put_urgent(RequestGone{3});
  queue.put_first(RequestGone{4});
  CHECK(queue.waiting() == 4);
  std::vector<std::uint64_t> order;
  while (queue.has_urgent()) order.push_back(std::get<RequestGone>(queue.take_urgent()).request);
  CHECK(order == std::vector<std::uint64_t>{2, 4, 1, 3});
  CHECK(queue.waiting() == 0);
}
