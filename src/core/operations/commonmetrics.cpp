#include <algorithm>

#include "core/configuration/fetch.hpp"
#include "core/eventqueue.hpp"
#include "core/operations/metrics.hpp"

namespace weldsail {
namespace {

const char* program_name(std::uint32_t program) {
  return program == static_cast<std::uint32_t>(Program::data) ? "wsdp" : "wscp";
}

void write_identity(MetricsText& text, const MemberState& member) {
  text.gauge("process_info", "Always 1; the labels say which process this is.");
  text.sample(1, {{"program", program_name(static_cast<std::uint32_t>(member.options.program))},
                  {"node", std::to_string(member.self.node())},
                  {"address", member.options.address},
                  {"locality", member.options.locality}});
  text.gauge("leaving", "1 while the process was told to end.").sample(member.leaving ? 1 : 0);
}

void write_members(MetricsText& text, const MemberState& member) {
  std::map<std::pair<std::string, std::string>, std::uint64_t> counts;
  const auto count = [&](const wire::Member& entry) {
    ++counts[{program_name(entry.program()), member_state_name(entry.state())}];
  };
  count(member.self);
  for (const auto& [node, view] : member.others) count(view.entry);
  text.gauge("members", "Known processes, this one included, by program and state.");
  for (const auto& [kind, number] : counts) text.sample(number, {{"program", kind.first}, {"state", kind.second}});
}

/// Writes messages and bytes of one direction.
void write_traffic(MetricsText& text, const TrafficByKind& traffic, const std::string& direction) {
  // Kinds that aren't known share a name.
  std::map<std::string, KindTraffic> by_name;
  for (const auto& [kind, counted] : traffic) {
    auto& sum = by_name[message_kind_name(kind)];
    sum.messages += counted.messages;
    sum.bytes += counted.bytes;
  }
  text.counter("messages_" + direction + "_total", "Messages between processes that were " + direction + ", by kind.");
  for (const auto& [name, counted] : by_name) text.sample(counted.messages, {{"kind", name}});
  text.counter("message_bytes_" + direction + "_total", "Bytes of these messages, without their framing.");
  for (const auto& [name, counted] : by_name) text.sample(counted.bytes, {{"kind", name}});
}

void write_costs(MetricsText& text, const EventCosts& costs) {
  text.counter("events_total", "Events that the process's one thread has taken, by kind.");
  for (const auto& [kind, cost] : costs) text.sample(cost.events, {{"kind", kind}});
  text.counter("event_microseconds_total", "Time of that thread that they took with their effects, in microseconds.");
  for (const auto& [kind, cost] : costs) {
    const auto spent = std::chrono::duration_cast<std::chrono::microseconds>(cost.time);
    text.sample(static_cast<std::uint64_t>(spent.count()), {{"kind", kind}});
  }
}

void write_fetches(MetricsText& text, const DeliveryState& delivery) {
  text.gauge("fetches_open", "Large values that are being fetched.").sample(delivery.fetches.size());
  text.gauge("fetch_received_bytes", "Bytes that have come of a value being fetched.");
  for (const auto& [key, fetch] : delivery.fetches) text.sample(fetch.received.size(), {{"key", key}});
  text.gauge("fetch_size_bytes", "Bytes of the whole of it; 0 before the first part.");
  for (const auto& [key, fetch] : delivery.fetches) text.sample(fetch.size, {{"key", key}});
  std::uint64_t kept = 0;
  for (const auto& content : delivery.served) kept += content.own_bytes ? content.own_bytes->size() : 0;
  text.gauge("served_content_bytes", "Memory of chains and superseded values that others are fetching here.")
      .sample(kept);
}

void write_transfers(MetricsText& text, const DeliveryCounters& counters) {
  text.counter("configuration_bytes_sent_total", "Bytes of parts and of values inside news that were sent.");
  text.sample(counters.bytes_sent);
  text.counter("configuration_bytes_received_total", "Bytes of parts that came in.").sample(counters.bytes_received);
  text.counter("fetches_total", "Fetches of large values that were begun.").sample(counters.fetches);
  text.counter("fetches_restarted_total", "Fetches that began anew.").sample(counters.fetches_restarted);
  text.counter("parts_repeated_total", "Parts that were asked for again, as no answer came in time.");
  text.sample(counters.parts_repeated);
  text.counter("source_pauses_total", "Pauses of a source, as a value that it gave wasn't what its hash says.");
  text.sample(counters.source_pauses);
  text.counter("invariant_violations_total", "Broken invariants of delivery; must stay 0.").sample(counters.violations);
}

void write_versions(MetricsText& text, const NewsState& news, std::uint64_t in_force, std::uint64_t revision,
                    Moment now) {
  const auto& missing = news.delivery.missing;
  text.gauge("configuration_version", "Version of the configuration in force; 0 for none.").sample(in_force);
  text.gauge("configuration_revision", "The operator's own number of it, where it has one.").sample(revision);
  text.gauge("configuration_known_version", "Newest version that is known to be committed.");
  text.sample(std::max(in_force, fetch_known_version(news)));
  text.gauge("configuration_behind", "1 while a committed version is known that isn't here.");
  text.sample(fetch_behind(news) ? 1 : 0);
  auto since = now;
  for (const auto& [version, heard] : missing) since = std::min(since, heard);
  text.gauge("configuration_behind_seconds", "Time since the first version that isn't here was heard of.");
  text.seconds(now - since);
  text.gauge("configuration_proof_age_seconds", "Age of the last proof that the configuration here is the newest.");
  if (news.current_as_of) text.seconds(now - *news.current_as_of);
  const auto& adoption = news.delivery.adoption;
  text.histogram("configuration_adoption_seconds", "Time from the first word of a version until it was here.");
  text.buckets(adoption_buckets, adoption.counts, adoption.sum, {});
}

}  // namespace

void write_process_metrics(MetricsText& text, const MemberState& member, const TransportFigures& transport) {
  write_identity(text, member);
  write_members(text, member);
  write_traffic(text, transport.sent, "sent");
  write_traffic(text, transport.received, "received");
  text.counter("messages_dropped_total", "Messages for which there was no connection or no room in its queue.");
  text.sample(transport.messages_dropped);
  text.gauge("message_links", "Connections on which this process sends.").sample(transport.links);
  text.gauge("message_queue_bytes", "Memory of all queues of messages.").sample(transport.queued_bytes);
  text.gauge("message_queue_longest_bytes", "Memory of the longest of them.").sample(transport.longest_queue_bytes);
  text.gauge("request_body_bytes", "Memory that requests take, from the first bytes to the last use of the body.");
  text.sample(transport.body_bytes);
  text.gauge("request_body_bytes_limit", "Most that this may come to.").sample(transport.body_bytes_limit);
  text.counter("request_bodies_refused_total", "Requests that were refused as they came, for want of that memory.");
  text.sample(transport.bodies_refused);
  text.gauge("caller_connections", "Open connections of callers and operators.").sample(transport.caller_connections);
  text.gauge("events_waiting", "Events that wait for the process's one thread.").sample(transport.waiting_events);
  text.gauge("events_waiting_seconds", "Time for which the oldest of them has waited.");
  text.seconds(static_cast<Moment>(transport.waiting_ms));
  text.counter("events_dropped_total", "Messages that were dropped as too many events waited, or they for too long.");
  text.sample(transport.events_dropped);
  text.counter("reports_replaced_total",
               "Reports that newer ones of the same data node replaced before they were taken.");
  text.sample(transport.reports_replaced);
  if (!transport.answer_waits.empty()) {
    text.histogram("worker_answer_wait_seconds", "Time for which answers of workers waited for the one thread.");
    text.buckets(wait_buckets, transport.answer_waits, transport.answer_waits_sum, {});
  }
  write_costs(text, transport.costs);
}

void write_delivery_metrics(MetricsText& text, const NewsState& news, std::uint64_t in_force, std::uint64_t revision,
                            Moment now) {
  write_versions(text, news, in_force, revision, now);
  const auto open = std::ranges::count_if(news.sources, [](const auto& item) { return item.second.open; });
  text.gauge("news_asks_open", "Asks for news whose answer is awaited.").sample(static_cast<std::uint64_t>(open));
  text.gauge("news_asks_waiting", "Asks of others that wait here for something newer.").sample(news.waiting.size());
  write_fetches(text, news.delivery);
  write_transfers(text, news.delivery.counters);
}

}  // namespace weldsail
