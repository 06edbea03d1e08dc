#include <algorithm>

#include "core/operations/metrics.hpp"

namespace weldsail {
namespace {

void write_outcomes(MetricsText& text, const DataState& state) {
  const auto& totals = state.totals;
  text.counter("requests_ended_total", "Callers' requests that have ended, by outcome.");
  text.sample(totals.finished, {{"outcome", "finished"}}).sample(totals.not_run, {{"outcome", "not_run"}});
  text.sample(totals.unknown, {{"outcome", "unknown"}}).sample(totals.gone, {{"outcome", "caller_gone"}});
  text.counter("streams_broken_total", "Begun streams that ended before their end.").sample(totals.streams_broken);
  text.counter("retries_total", "Requests that went to another worker once more.").sample(totals.retries);
  text.counter("requests_given_up_total", "Requests by host and path that ended without an answer, by reason.");
  for (const auto& [reason, count] : state.path.outcomes)
    if (reason != "finished") text.sample(count, {{"reason", reason}});
  text.counter("requests_refused_total", "Requests by host and path that were refused when they came, by status.");
  for (const auto& [status, count] : state.path.refusals) text.sample(count, {{"status", std::to_string(status)}});
  text.counter("requests_refused_unproved_total",
               "Requests answered 503, as it wasn't proved that no newer configuration has a place for them, by the "
               "status that they would have had.");
  for (const auto& [status, count] : state.unproved_refusals) text.sample(count, {{"status", std::to_string(status)}});
  const auto& leaving = state.path.leaving;
  text.counter("leaving_requests_total", "Requests by host and path since this node was told to leave, by outcome.");
  text.sample(leaving.taken, {{"outcome", "taken"}}).sample(leaving.refused, {{"outcome", "refused"}});
  text.sample(leaving.refused_held, {{"outcome", "refused_held"}}).sample(leaving.cut, {{"outcome", "cut"}});
  text.counter("attempt_breakdowns_total", "Attempts at workers that failed, by reason.");
  for (const auto& [reason, count] : totals.breakdowns) text.sample(count, {{"reason", reason}});
  text.counter("prompt_tokens_total", "Tokens of prompts.").sample(totals.prompt_tokens);
  text.counter("prompt_hit_tokens_total", "Those that the worker was expected to remember.").sample(totals.hit_tokens);
}

/// What became of requests by route, and where their time went.
void write_losses(MetricsText& text, const DataState& state) {
  text.counter("request_outcomes_total", "Requests by host and path that have ended, by what took most of their time.");
  for (const auto& [route, losses] : state.path.losses)
    for (std::size_t outcome = 0; outcome < request_outcomes; ++outcome)
      for (std::size_t cause = 0; cause < loss_causes; ++cause)
        if (const auto count = losses.ended[outcome][cause]; count > 0)
          text.sample(count, {{"route", route},
                              {"outcome", request_outcome_name(static_cast<RequestOutcome>(outcome))},
                              {"cause", loss_cause_name(cause)}});
  text.histogram("request_phase_seconds", "Time that requests spent in a phase, of those that entered it.");
  for (const auto& [route, losses] : state.path.losses)
    for (std::size_t phase = 0; phase < request_phases; ++phase) {
      const auto& histogram = losses.phases[phase];
      if (std::ranges::all_of(histogram.counts, [](auto count) { return count == 0; })) continue;
      text.buckets(phase_buckets, histogram.counts, histogram.sum,
                   {{"route", route}, {"phase", request_phase_name(static_cast<RequestPhase>(phase))}});
    }
}

void write_requests(MetricsText& text, const DataState& state) {
  std::uint64_t waiting = state.path.waiting.size();
  for (const auto& [name, pool] : state.pools) waiting += pool.waiting.size();
  std::uint64_t early_bytes = 0;
  for (const auto& [request, held] : state.path.early) early_bytes += held.second.body.size();
  std::uint64_t held_bytes = state.hold.bytes;
  for (const auto& [request, carry] : state.path.carries) held_bytes += carry.body.size() + carry.answer.size();
  text.gauge("requests_open", "Requests in hand.").sample(state.carries.size() + state.path.carries.size());
  text.gauge("requests_waiting", "Those of them that wait for a worker.").sample(waiting);
  text.gauge("requests_early", "Requests that wait for this node's first configuration.");
  text.sample(state.path.early.size());
  text.gauge("attempts_open", "Attempts at workers that are under way.");
  text.sample(state.pipes.size() + state.path.pipes.size());
  text.counter("workers_considered_total", "Workers that were looked at to place requests by host and path.");
  text.sample(state.path.considered);
  text.gauge("request_bytes", "Memory of requests in hand, with the answers that wait for their end.");
  text.sample(held_bytes + early_bytes);
}

void write_workers(MetricsText& text, const DataState& state, Moment now) {
  const auto& fleet = state.path.fleet;
  const auto usable = std::ranges::count_if(
      state.watch.views, [&](const auto& item) { return worker_usable(state.watch, item.second, now); });
  const auto draining = fleet.workers.draining();
  text.gauge("workers", "Workers that this node knows, by state.");
  text.sample(static_cast<std::uint64_t>(usable) + fleet.workers.size() - draining, {{"state", "usable"}});
  text.sample(state.watch.views.size() - static_cast<std::uint64_t>(usable), {{"state", "unusable"}});
  text.sample(draining, {{"state", "draining"}});
  text.gauge("placement_version", "Version of the placement known here.").sample(state.placement_version);
  if (!fleet.known) return;
  text.gauge("fleet_view_version", "Version of the view of all workers.").sample(fleet.version);
  text.gauge("fleet_view_behind", "1 while a newer view was heard of.").sample(fleet.behind ? 1 : 0);
  text.gauge("fleet_view_age_seconds", "Age of what the view says.").seconds(now - fleet.as_of);
}

void write_counters(MetricsText& text, const DataState& state) {
  std::uint64_t kept = 0;
  for (const auto& [unit, workers] : state.counters) kept += workers.size();
  kept += state.path.counters.size();
  text.gauge("counters_kept", "Pairs of a model and a worker whose counters go into each report.").sample(kept);
  text.gauge("operations_forwarded", "Operators' requests that another process is to answer.");
  text.sample(state.operate.forwarded.size());
  text.gauge("memo_version", "Version of the configuration on this node's own disk.").sample(state.memo.version);
}

}  // namespace

std::string data_metrics_text(const DataState& state, Moment now) {
  MetricsText text;
  write_process_metrics(text, state.member, state.transport);
  const auto revision = state.path.config ? state.path.config->revision : 0;
  write_delivery_metrics(text, state.news, state.document_version, revision, now);
  write_outcomes(text, state);
  write_losses(text, state);
  write_requests(text, state);
  write_workers(text, state, now);
  write_counters(text, state);
  return text.text();
}

}  // namespace weldsail
