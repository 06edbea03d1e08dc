#include <algorithm>

#include "core/operations/metrics.hpp"

namespace weldsail {
namespace {

void write_core(MetricsText& text, const ControlState& state) {
  const auto& core = state.formation.core;
  text.gauge("core_formed", "1 when this process's disk belongs to a core.");
  text.sample(state.formation.phase == CorePhase::formed ? 1 : 0);
  text.gauge("core_version", "Version of the set of core disks.").sample(core.version());
  text.gauge("core_disks", "Disks of the core.").sample(static_cast<std::uint64_t>(core.disks_size()));
  text.gauge("core_next_disks", "Disks that the core is being changed to; 0 at rest.");
  text.sample(static_cast<std::uint64_t>(core.next_size()));
  text.gauge("records_unsynced", "Promises, values and votes that wait for the disk.");
  text.sample(state.acceptor.waiting.size() + state.vote.waiting.size());
  text.gauge("votes", "Idempotency keys that this disk remembers.").sample(state.vote.votes.size());
  std::uint64_t bytes = 0;
  for (const auto& [key, copy] : state.acceptor.copies) bytes += copy.value.size();
  text.gauge("accepted_value_bytes", "Memory of the values that this disk has accepted.").sample(bytes);
}

void write_keys(MetricsText& text, const ControlState& state, Moment now) {
  text.gauge("key_held", "1 while this process owns the key.");
  for (const auto& [key, owner] : state.owners) text.sample(owner.phase == OwnerPhase::holding ? 1 : 0, {{"key", key}});
  text.gauge("key_lease_valid", "1 while this process may act as the key's owner.");
  for (const auto& [key, owner] : state.owners) text.sample(register_may_act(owner, now) ? 1 : 0, {{"key", key}});
  text.gauge("key_epoch", "Epoch under which this process last asked for the key.");
  for (const auto& [key, owner] : state.owners) text.sample(owner.epoch, {{"key", key}});
  text.gauge("key_version", "Version of the key's value at its owner.");
  for (const auto& [key, owner] : state.owners) text.sample(owner.version, {{"key", key}});
  text.gauge("key_confirmed_age_seconds", "Age of the owner's last round that a majority has confirmed.");
  for (const auto& [key, owner] : state.owners)
    if (owner.phase == OwnerPhase::holding) text.seconds(now - owner.confirmed, {{"key", key}});
  text.gauge("key_proposal_bytes", "Bytes of the value that waits for its majority.");
  for (const auto& [key, owner] : state.owners)
    text.sample(owner.proposal ? owner.proposal->value.size() : 0, {{"key", key}});
}

void write_queues(MetricsText& text, const ControlState& state) {
  const auto& duty = state.config_duty;
  std::uint64_t body_bytes = 0;
  for (const auto& job : duty.changes) body_bytes += job.operation.body().size();
  if (duty.under_way) body_bytes += duty.under_way->operation.body().size();
  text.gauge("operations_waiting", "Operators' requests that wait for their turn, by kind.");
  text.sample(duty.changes.size(), {{"kind", "config_change"}}).sample(duty.reads.size(), {{"kind", "config_read"}});
  text.sample(state.drains.size(), {{"kind", "drain"}}).sample(state.core_jobs.size(), {{"kind", "core_change"}});
  text.gauge("operations_under_way", "Changes of the configuration that wait for a majority.");
  text.sample(duty.under_way ? 1 : 0);
  text.gauge("operations_forwarded", "Operators' requests that another process is to answer.");
  text.sample(state.operate.forwarded.size());
  text.gauge("operation_bytes", "Memory of the bodies of changes in hand.").sample(body_bytes);
}

/// What is under way to workers where they do both phases.
void write_orders(MetricsText& text, const PlacingState& placing) {
  std::uint64_t loads = 0;
  std::uint64_t unloads = 0;
  std::uint64_t doubtful = 0;
  std::uint64_t draining = 0;
  for (const auto& [identity, book] : placing.command.books) {
    if (book.entry.draining()) ++draining;
    if (!book.order) continue;
    ++(book.order->order.load ? loads : unloads);
    if (book.order->doubtful) ++doubtful;
  }
  text.gauge("orders_open", "Orders that workers carry out, by kind.");
  text.sample(loads, {{"kind", "load"}}).sample(unloads, {{"kind", "unload"}});
  text.gauge("orders_doubtful", "Those without an answer: they may begin at any moment.").sample(doubtful);
  const auto workers = placing.command.books.size();
  text.gauge("workers", "Workers on the platform's list, by state.");
  text.sample(workers - draining, {{"state", "usable"}}).sample(draining, {{"state", "draining"}});
  text.counter("worker_reports_total", "Reports that workers were asked for.").sample(placing.command.reports);
  text.counter("reports_too_large_total", "Reports of workers that were over the limit and weren't read.");
  text.sample(placing.command.reports_too_large);
}

/// What callers go on asking for without being served.
void write_unserved(MetricsText& text, const PlacingState& placing) {
  const auto& overdue = placing.overdue;
  text.gauge("asks_unserved", "Models and adapters that callers ask for and that haven't been served since, by kind.");
  text.sample(overdue.models, {{"kind", "model"}}).sample(overdue.adapters, {{"kind", "adapter"}});
  text.gauge("asks_unserved_oldest_seconds", "Time since the first of these asks.").seconds(overdue.oldest);
  text.counter("asks_overdue_total", "Models and adapters that were owed for longer than the bound.");
  text.sample(overdue.total);
  text.counter("models_displaced_total", "Models that gave way to others at a worker.").sample(placing.work.displaced);
  text.counter("models_displaced_unserved_total", "Those that hadn't served anybody there.");
  text.sample(placing.work.displaced_unserved);
}

void write_placing(MetricsText& text, const PlacingState& placing, Moment now) {
  write_orders(text, placing);
  write_unserved(text, placing);
  text.gauge("placement_decision", "Number of the committed decision.").sample(placing.committed.decision());
  text.counter("placement_decisions_total", "Turns of deciding in this term.").sample(placing.work.decisions);
  text.counter("placement_units_looked_at_total", "Models that these turns looked at.").sample(placing.work.units);
  text.counter("placement_workers_looked_at_total", "Workers that they looked at.").sample(placing.work.workers);
  text.counter("placement_places_cut_total", "Times that a model lacked a holder beyond the places of a turn.");
  text.sample(placing.work.places_cut);
  text.counter("store_loads_forgone_total",
               "Loads that the store allowed and that weren't given while some were owed.");
  text.sample(static_cast<std::uint64_t>(placing.command.store.forgone));
  text.histogram("placement_commit_seconds", "Time from a decision until a majority had it.");
  text.buckets(wait_buckets, placing.commits.counts, placing.commits.sum, {});
  text.gauge("placement_work_open", "Workers that may hold something else than decided.");
  text.sample(placing.open_work.size());
  text.gauge("placement_bytes", "Bytes of the placement as it was last proposed.").sample(placing.proposed.size());
  text.gauge("requests_waiting", "Requests that wait at data nodes, by their last reports.");
  text.sample(placing.wants.waiting);
  text.gauge("units_active", "Models with requests that wait or run.").sample(placing.wants.active.size());
  text.counter("list_too_large_total", "Answers of the platform's list that were over the limit and weren't read.");
  text.sample(placing.list.too_large);
  text.gauge("list_failures", "Failed asks for the platform's list since the last whole one.");
  text.sample(placing.list.failures);
  if (!placing.list.known) return;
  text.gauge("list_age_seconds", "Age of the last whole list.").seconds(now - placing.list.asked);
}

/// What this process hands on to the data nodes of its locality.
void write_relay(MetricsText& text, const RelayState& relay) {
  text.gauge("relay_active", "1 while it tells the data nodes of its locality what the placement's holder knows.");
  text.sample(relay.active ? 1 : 0);
  text.counter("relay_views_total", "Views of the workers that it has told them.").sample(relay.handed_on);
  text.counter("relay_lists_total", "Platform's lists that it has read for them, as the holder's word was late.");
  text.sample(relay.lists_read);
}

/// The same where workers do one phase each.
void write_steward(MetricsText& text, const StewardState& steward, Moment now) {
  const auto& orders = steward.orders;
  const auto loads = static_cast<std::uint64_t>(
      std::ranges::count_if(orders.open, [](const auto& item) { return is_load(item.second.kind); }));
  text.gauge("orders_open", "Orders that workers carry out, by kind.");
  text.sample(loads, {{"kind", "load"}}).sample(orders.open.size() - loads, {{"kind", "unload"}});
  text.gauge("orders_doubtful", "Those without an answer: they may begin at any moment.");
  text.sample(orders.pulls.doubts.size());
  const auto usable = static_cast<std::uint64_t>(std::ranges::count_if(
      steward.watch.views, [&](const auto& item) { return worker_usable(steward.watch, item.second, now); }));
  text.gauge("workers", "Workers on the platform's list, by state.");
  text.sample(usable, {{"state", "usable"}});
  text.sample(steward.watch.views.size() - usable, {{"state", "unusable"}});
  text.gauge("placement_decision", "Number of the committed decision.").sample(steward.committed.decision());
}

}  // namespace

std::string control_metrics_text(const ControlState& state, Moment now) {
  MetricsText text;
  write_process_metrics(text, state.member, state.transport);
  write_delivery_metrics(text, state.news, state.document_version, state.paths ? state.paths->revision : 0, now);
  write_core(text, state);
  write_keys(text, state, now);
  write_queues(text, state);
  text.counter("orders_sent_total", "Orders that were sent to workers.");
  text.sample(state.steward.orders.sent + state.placing.command.sent);
  if (state.options.dialect == nullptr) {
    write_steward(text, state.steward, now);
    return text.text();
  }
  write_placing(text, state.placing, now);
  write_relay(text, state.relay);
  return text.text();
}

}  // namespace weldsail
