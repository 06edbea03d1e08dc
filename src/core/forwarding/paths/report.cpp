#include <algorithm>

#include "core/forwarding/paths/path.hpp"
#include "core/placement/plan.hpp"

namespace weldsail {
namespace {

/// A unit that rests is told for so many bounds after its last use, where the holder asks, and otherwise.
constexpr Moment unit_told_bounds = 20;
constexpr Moment unit_told_unasked_bounds = 2;
/// Counters of what has left are kept for so many bounds after their last request.
constexpr Moment counters_kept_bounds = 20;

void write_latencies(wire::Histogram& histogram, const Latencies& latencies) {
  for (const auto count : latencies.counts) histogram.add_counts(count);
  histogram.set_sum(latencies.sum);
  histogram.set_count(latencies.count);
}

/// Adapters that callers go on asking for: those that requests wait for first, then the last asked for.
void write_adapters(const UnitUse& use, Moment bound, Moment now, wire::Backlog& backlog) {
  using Item = std::pair<const std::string, AdapterUse>;
  std::vector<std::pair<Moment, const Item*>> order;
  for (const auto& item : use.adapters) {
    const auto& adapter = item.second;
    const auto asked = adapter.asks.last_asked.value_or(0);
    if (adapter.waiting > 0)
      order.emplace_back(-now - 1, &item);
    else if (now - asked < asks_forgotten_bounds * bound)
      order.emplace_back(-asked, &item);
  }
  std::ranges::stable_sort(order, {}, &std::pair<Moment, const Item*>::first);
  for (const auto& [rank, item] : order) {
    const auto& adapter = item->second;
    backlog.add_adapters(item->first);
    backlog.add_adapter_waiting(adapter.waiting);
    backlog.add_adapter_running(adapter.running);
    backlog.add_adapter_asked_age(told_age(adapter.asks.last_asked, now));
    backlog.add_adapter_served_age(told_age(adapter.asks.last_served, now));
    backlog.add_adapter_unserved_age(told_age(adapter.asks.unserved_since, now));
  }
}

void write_unit(const DataState& state, const std::string& name, const UnitUse& use, Moment now,
                wire::Backlog& backlog) {
  backlog.set_unit(name);
  backlog.set_waiting(use.waiting.size());
  backlog.set_running(use.running);
  const bool busy = use.running > 0 || !use.waiting.empty();
  backlog.set_quiet_ms(busy ? 0 : static_cast<std::uint64_t>(now - use.last_used));
  backlog.set_asked_age(told_age(use.asks.last_asked, now));
  backlog.set_served_age(told_age(use.asks.last_served, now));
  backlog.set_unserved_age(told_age(use.asks.unserved_since, now));
  for (const auto request : use.waiting) {
    const auto& carry = state.path.carries.at(request);
    backlog.set_prompt_tokens(backlog.prompt_tokens() + carry.call.prompt_tokens);
    backlog.set_generation_tokens(backlog.generation_tokens() + carry.call.most_tokens);
    backlog.set_oldest_ms(std::max(backlog.oldest_ms(), static_cast<std::uint64_t>(now - carry.arrived)));
  }
  write_adapters(use, state.options.member.bound, now, backlog);
}

/// Drops what is known of units that aren't configured, some time after their last request. Without their counters the
/// holder sees no work there, as with counters that rest.
void drop_gone(DataState& state, Moment now) {
  auto& path = state.path;
  if (!path.config || !path.fleet.known) return;
  const auto units = path_units(*path.config);
  const auto rests = [&](Moment last) { return now - last > counters_kept_bounds * state.options.member.bound; };
  std::erase_if(path.counters,
                [&](const auto& item) { return rests(item.second.counted) && !units.contains(item.first); });
  std::erase_if(path.lengths, [&](const auto& item) { return !path.config->services.contains(item.first); });
  for (auto& [unit, use] : path.units)
    std::erase_if(use.adapters, [&](const auto& item) {
      const auto& adapter = item.second;
      return adapter.waiting == 0 && adapter.running == 0 && rests(adapter.asks.last_asked.value_or(0));
    });
  std::erase_if(path.units, [&](const auto& item) {
    const auto& use = item.second;
    return rests(use.last_used) && use.waiting.empty() && use.running == 0 && !units.contains(item.first);
  });
}

wire::Envelope begin_report(DataState& state, std::uint64_t node) {
  auto envelope = member_envelope(state.member, node);
  auto* report = envelope.mutable_counter_report();
  report->set_number(++state.reports_sent);
  report->set_placement_version(state.placement_version);
  return envelope;
}

/// Adds the units that the holder has to be told of.
void write_backlogs(const DataState& state, std::uint64_t base, std::uint64_t round, Moment now,
                    wire::CounterReport& report) {
  const auto told_for = (round != 0 ? unit_told_bounds : unit_told_unasked_bounds) * state.options.member.bound;
  for (const auto& [name, use] : state.path.units) {
    const bool busy = !use.waiting.empty() || use.running > 0;
    const bool fresh = base != 0 ? use.changed_after >= base : now - use.last_used < told_for;
    if (busy || fresh) write_unit(state, name, use, now, *report.add_backlogs());
  }
  report.set_partial(base != 0);
  report.set_base(base);
}

void write_counters(const DataState& state, std::uint64_t base, wire::CounterReport& report) {
  for (const auto& [unit, counted] : state.path.counters) {
    if (base != 0 && counted.changed_after < base) continue;
    auto* counter = report.add_counters();
    counter->set_unit(unit);
    counter->set_missed_tokens(counted.missed_tokens);
    counter->set_generated_tokens(counted.generated_tokens);
    write_latencies(*counter->mutable_first_token(), counted.first_event);
    write_latencies(*counter->mutable_inter_token(), counted.between_events);
  }
  report.set_counters_base(base);
}

}  // namespace

UnitCounter& path_counter(DataState& state, const std::string& unit, Moment now) {
  auto& counter = state.path.counters[unit];
  counter.counted = now;
  counter.changed_after = state.reports_sent;
  return counter;
}

UnitUse& path_use(DataState& state, const std::string& unit) {
  auto& use = state.path.units[unit];
  use.changed_after = state.reports_sent;
  return use;
}

void path_report(DataState& state, std::uint64_t node, const std::string& address, std::uint64_t round, Moment now,
                 Effects& effects) {
  if (round != 0) drop_gone(state, now);
  state.path.fresh.clear();
  const auto known = state.path.known_reports.holder == node ? state.path.known_reports : KnownReports{};
  auto envelope = begin_report(state, node);
  auto& report = *envelope.mutable_counter_report();
  report.set_round(round);
  write_backlogs(state, known.backlogs, round, now, report);
  if (round != 0) write_counters(state, known.counters, report);
  effects.push_back(SendMessage{address, std::move(envelope)});
}

void path_report_fresh(DataState& state, std::uint64_t node, const std::string& address, Moment now, Effects& effects) {
  auto envelope = begin_report(state, node);
  auto* report = envelope.mutable_counter_report();
  report->set_partial(true);
  for (const auto& name : std::exchange(state.path.fresh, {}))
    write_unit(state, name, state.path.units[name], now, *report->add_backlogs());
  effects.push_back(SendMessage{address, std::move(envelope)});
}

}  // namespace weldsail
