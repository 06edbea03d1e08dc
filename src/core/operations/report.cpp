#include <algorithm>

#include "core/forwarding/paths/path.hpp"
#include "core/json.hpp"

namespace weldsail {
namespace {

constexpr Moment reports_per_bound = 3;
/// Reports on what has begun to wait that all data nodes together send in a second.
constexpr std::size_t fresh_reports_per_s = 1000;
constexpr std::size_t milliseconds_per_s = 1000;
constexpr Moment adapter_wanted_bounds = 20;
/// Counters of what has left are kept for so many bounds after their last request.
constexpr Moment counters_kept_bounds = 20;

void write_histogram(wire::Histogram& histogram, const Latencies& latencies) {
  for (const auto count : latencies.counts) histogram.add_counts(count);
  histogram.set_sum(latencies.sum);
  histogram.set_count(latencies.count);
}

void write_backlog(const DataState& state, const std::string& name, const Pool& pool, Moment now,
                   wire::Backlog& backlog) {
  backlog.set_unit(name);
  backlog.set_waiting(pool.waiting.size());
  backlog.set_running(pool.running);
  const bool busy = pool.running > 0 || !pool.waiting.empty();
  backlog.set_quiet_ms(busy ? 0 : static_cast<std::uint64_t>(now - pool.last_used));
  std::vector<std::pair<Moment, std::string>> adapters;
  for (const auto& [adapter, used] : pool.adapters)
    if (now - used < adapter_wanted_bounds * state.options.member.bound) adapters.emplace_back(-used, adapter);
  for (const auto request : pool.waiting) {
    const auto& carry = state.carries.at(request);
    backlog.set_prompt_tokens(backlog.prompt_tokens() + carry.prompt_tokens);
    backlog.set_generation_tokens(backlog.generation_tokens() + carry.generation_tokens);
    backlog.set_oldest_ms(std::max(backlog.oldest_ms(), static_cast<std::uint64_t>(now - carry.arrived)));
    for (auto& [used, adapter] : adapters)
      if (adapter == carry.route.adapter) used = std::min(used, -now - 1);
  }
  std::ranges::sort(adapters);
  for (const auto& [used, adapter] : adapters) backlog.add_adapters(adapter);
}

/// Drops counters of workers that aren't watched any more and of units that aren't configured, some time after their
/// last request.
void drop_gone(DataState& state, Moment now) {
  if (!state.document) return;
  const auto units = config_units(*state.document);
  for (auto& [unit, counters] : state.counters)
    std::erase_if(counters, [&, configured = units.contains(unit)](const auto& item) {
      const bool rests = now - item.second.counted > counters_kept_bounds * state.options.member.bound;
      return rests && !(configured && state.watch.views.contains(item.first));
    });
  std::erase_if(state.counters, [](const auto& item) { return item.second.empty(); });
}

}  // namespace

void report_counters(DataState& state, std::uint64_t node, const std::string& address, std::uint64_t round, Moment now,
                     Effects& effects) {
  if (round != 0) drop_gone(state, now);
  auto envelope = member_envelope(state.member, node);
  auto* report = envelope.mutable_counter_report();
  report->set_round(round);
  report->set_number(++state.reports_sent);
  report->set_placement_version(state.placement_version);
  for (const auto& [name, pool] : state.pools)
    if (!name.starts_with("call:")) write_backlog(state, name, pool, now, *report->add_backlogs());
  if (round != 0)
    for (const auto& [unit, workers] : state.counters)
      for (const auto& [worker, counted] : workers) {
        auto* counter = report->add_counters();
        counter->set_unit(unit);
        counter->set_worker(worker);
        counter->set_missed_tokens(counted.missed_tokens);
        counter->set_generated_tokens(counted.generated_tokens);
        write_histogram(*counter->mutable_first_token(), counted.first_token);
        write_histogram(*counter->mutable_inter_token(), counted.inter_token);
      }
  effects.push_back(SendMessage{address, std::move(envelope)});
}

void report_tick(DataState& state, Moment now, Effects& effects) {
  const auto* holder = duty_holder(state.member, placement_key);
  const bool fresh = !state.path.fresh.empty();
  if (now < state.next_report) {
    if (fresh && state.path.fleet.partial_reports && holder != nullptr) {
      if (now < state.next_fresh_report) return;
      const auto pause = path_nodes(state) * milliseconds_per_s / fresh_reports_per_s;
      state.next_fresh_report = now + static_cast<Moment>(pause);
      return path_report_fresh(state, holder->node(), holder->address(), now, effects);
    }
    if (!fresh) return;
  }
  state.next_report = now + state.options.member.bound / reports_per_bound;
  if (holder != nullptr && state.options.dialect != nullptr)
    path_report(state, holder->node(), holder->address(), 0, now, effects);
  else if (holder != nullptr)
    report_counters(state, holder->node(), holder->address(), 0, now, effects);
}

std::string data_status_text(const DataState& state, Moment now) {
  const auto& totals = state.totals;
  JsonText text;
  text.object().field("program", "wsdp").field("node", std::to_string(state.member.self.node()));
  text.number("config_version", state.document_version).number("placement_version", state.placement_version);
  text.number("taken", totals.taken).number("finished", totals.finished).number("not_run", totals.not_run);
  text.number("unknown", totals.unknown).number("streams_broken", totals.streams_broken);
  text.number("retries", totals.retries).number("gone", totals.gone);
  text.number("prompt_tokens", totals.prompt_tokens).number("hit_tokens", totals.hit_tokens);
  text.number("in_hand", state.carries.size()).truth("leaving", state.member.leaving);
  text.number("held_bytes", state.hold.bytes).number("held_limit", state.hold.limit);
  std::uint64_t waiting = 0;
  for (const auto& [name, pool] : state.pools) waiting += pool.waiting.size();
  text.number("waiting", waiting).number("claiming", state.claiming.size());
  text.truth("memo", state.memo.enabled)
      .number("memo_version", state.memo.version)
      .truth("memo_late", memo_late(state.memo, now));
  write_delivery(state.news, state.bulk, text);
  text.key("breakdowns").object();
  for (const auto& [reason, count] : totals.breakdowns) text.number(reason.c_str(), count);
  text.close();
  text.key("workers").object();
  for (const auto& [address, view] : state.watch.views)
    text.truth(address.c_str(), worker_usable(state.watch, view, now));
  text.close().close();
  return text.text();
}

}  // namespace weldsail
