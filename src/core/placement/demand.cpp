#include "core/placement/demand.hpp"

#include <algorithm>
#include <limits>

namespace weldsail {
namespace {

std::string counter_key(const wire::Counter& counter) { return counter.unit() + "|" + counter.worker(); }

bool fallen(const wire::Histogram& before, const wire::Histogram& after) { return after.count() < before.count(); }

bool fallen(const wire::Counter& before, const wire::Counter& after) {
  return after.missed_tokens() < before.missed_tokens() || after.generated_tokens() < before.generated_tokens() ||
         fallen(before.first_token(), after.first_token()) || fallen(before.inter_token(), after.inter_token());
}

void add_delta(Latencies& latencies, const wire::Histogram& before, const wire::Histogram& after) {
  Latencies delta;
  for (int place = 0; place < after.counts_size() && place < static_cast<int>(delta.counts.size()); ++place) {
    const auto old = place < before.counts_size() ? before.counts(place) : 0;
    if (after.counts(place) > old) delta.counts[static_cast<std::size_t>(place)] = after.counts(place) - old;
  }
  delta.sum = after.sum() - before.sum();
  delta.count = after.count() - before.count();
  latencies.add(delta);
}

void add_counter(UnitSample& sample, const wire::Counter& before, const wire::Counter& after) {
  sample.missed_tokens += static_cast<double>(after.missed_tokens() - before.missed_tokens());
  sample.generated_tokens += static_cast<double>(after.generated_tokens() - before.generated_tokens());
  add_delta(sample.first_token, before.first_token(), after.first_token());
  add_delta(sample.inter_token, before.inter_token(), after.inter_token());
}

struct SampledWorkers {
  std::map<std::string, std::set<std::string>> by_role;
  bool take(const std::string& role, const std::string& worker, std::uint64_t limit) {
    auto& workers = by_role[role];
    if (workers.contains(worker)) return true;
    if (workers.size() >= limit) return false;
    workers.insert(worker);
    return true;
  }
};

}  // namespace

bool report_overtaken(const wire::CounterReport& report, std::uint64_t newest) {
  return report.number() != 0 && report.number() <= newest;
}

void demand_ask(DemandState& state, const MemberState& member, const KnownBacklogs& known, Moment now,
                Effects& effects) {
  state.open = true;
  state.asked = now;
  ++state.round;
  state.reports.clear();
  state.expected.clear();
  for (const auto* entry : live_members(member, Program::data)) {
    state.expected.insert(entry->node());
    auto envelope = member_envelope(member, entry->node());
    auto& ask = *envelope.mutable_counter_ask();
    ask.set_round(state.round);
    if (known) {
      ask.set_known_backlogs(known(entry->node()));
      ask.set_known_counters(state.baselines.contains(entry->node()) ? state.baselines.at(entry->node()).number : 0);
    }
    effects.push_back(SendMessage{entry->address(), std::move(envelope)});
  }
}

void demand_receive(DemandState& state, const wire::Envelope& envelope, Moment now) {
  const auto& report = envelope.counter_report();
  auto& backlogs = state.backlogs[envelope.from()];
  if (!report_overtaken(report, backlogs.number)) backlogs = {now, report, std::max(backlogs.number, report.number())};
  demand_take_counters(state, envelope);
}

void demand_take_counters(DemandState& state, const wire::Envelope& envelope) {
  const auto& report = envelope.counter_report();
  if (state.open && report.round() == state.round) state.reports[envelope.from()] = report;
}

bool demand_ready(const DemandState& state, Moment now) {
  if (!state.open) return false;
  return now - state.asked >= state.bound / 3 || state.reports.size() >= state.expected.size();
}

namespace {

/// Takes one data node's counters into its baseline, and what they grew by into the pass.
class CounterReading {
 public:
  CounterReading(DemandPass& pass, SampledWorkers& sampled, const std::map<std::string, std::string>& phases,
                 std::uint64_t limit)
      : pass_(pass), sampled_(sampled), phases_(phases), limit_(limit) {}

  /// `before` is null where nothing is known of the node, so that nothing can be said of this pass.
  void take(wire::CounterReport& report, CounterBaseline* before, CounterBaseline& next) {
    const bool counts = before != nullptr && !before->missed;
    for (auto& counter : *report.mutable_counters()) {
      const auto key = counter_key(counter);
      if (!sampled(counter)) {
        pass_.complete = false;
        continue;
      }
      if (counts) add(before->counters, key, counter);
      next.counters.insert_or_assign(next.counters.end(), key, std::move(counter));
    }
    next.number = report.number();
    next.missed = false;
  }

 private:
  bool sampled(const wire::Counter& counter) {
    const auto phase = phases_.find(counter.worker());
    const auto role = counter.unit() + "|" + (phase == phases_.end() ? "" : phase->second);
    return sampled_.take(role, counter.worker(), limit_);
  }

  void add(const std::map<std::string, wire::Counter>& before, const std::string& key, const wire::Counter& counter) {
    static const wire::Counter zero;
    const auto found = before.find(key);
    const auto& base = found == before.end() ? zero : found->second;
    if (fallen(base, counter))
      pass_.measured = pass_.complete = false;
    else
      add_counter(pass_.samples[counter.unit()], base, counter);
  }

  DemandPass& pass_;
  SampledWorkers& sampled_;
  const std::map<std::string, std::string>& phases_;
  std::uint64_t limit_;
};

/// Takes a report of all counters, or of those that have changed since the one that is known.
void take_counters(DemandState& state, std::uint64_t node, wire::CounterReport& report, CounterReading& reading) {
  const auto known = state.baselines.find(node);
  auto* before = known == state.baselines.end() ? nullptr : &known->second;
  if (report.counters_base() == 0) {
    CounterBaseline whole;
    reading.take(report, before, whole);
    state.baselines[node] = std::move(whole);
  } else if (before != nullptr && before->number == report.counters_base()) {
    reading.take(report, before, *before);
  } else if (before != nullptr) {
    before->missed = true;
  }
}

/// Nodes that didn't answer: what they counted isn't of this pass. Those that have left are forgotten.
void note_missed(DemandState& state, DemandPass& pass) {
  for (auto& [node, baseline] : state.baselines) {
    if (state.reports.contains(node)) continue;
    baseline.missed = true;
    pass.complete = false;
  }
  std::erase_if(state.baselines, [&](const auto& item) {
    return !state.reports.contains(item.first) && !state.expected.contains(item.first);
  });
}

}  // namespace

DemandPass demand_close(DemandState& state, std::uint64_t sample_limit,
                        const std::map<std::string, std::string>& phases, Moment now) {
  state.open = false;
  DemandPass pass;
  pass.from = state.last_pass;
  pass.until = now;
  state.last_pass = now;
  for (const auto node : state.expected)
    if (!state.reports.contains(node) || !state.baselines.contains(node)) pass.complete = false;
  SampledWorkers sampled;
  CounterReading reading(pass, sampled, phases, sample_limit);
  for (auto& [node, report] : state.reports) take_counters(state, node, report, reading);
  note_missed(state, pass);
  if (pass.from == 0) pass.measured = pass.complete = false;
  for (auto& [unit, sample] : pass.samples) {
    sample.from = pass.from;
    sample.until = pass.until;
    sample.complete = pass.complete;
    sample.measured = pass.measured;
  }
  return pass;
}

std::map<std::string, UnitDemand> demand_by_unit(const DemandState& state, const MemberState& member,
                                                 const std::set<std::string>& units, Moment now) {
  std::map<std::string, UnitDemand> result;
  bool all_known = true;
  for (const auto* entry : live_members(member, Program::data)) {
    const auto found = state.backlogs.find(entry->node());
    if (found == state.backlogs.end() || now - found->second.heard > state.bound) all_known = false;
  }
  for (const auto& unit : units) result[unit].quiet = all_known ? std::numeric_limits<Moment>::max() / 2 : 0;
  for (const auto& [node, entry] : state.backlogs) {
    const auto age = now - entry.heard;
    if (age > state.bound) continue;
    for (const auto& backlog : entry.report.backlogs()) {
      const auto found = result.find(backlog.unit());
      if (found == result.end()) continue;
      auto& demand = found->second;
      demand.waiting += backlog.waiting();
      demand.running += backlog.running();
      demand.prompt_tokens += static_cast<double>(backlog.prompt_tokens());
      demand.generation_tokens += static_cast<double>(backlog.generation_tokens());
      demand.quiet = std::min(demand.quiet, static_cast<Moment>(backlog.quiet_ms()) + age);
      if (backlog.waiting() > 0)
        demand.oldest = std::max(demand.oldest, static_cast<Moment>(backlog.oldest_ms()) + age);
      for (const auto& adapter : backlog.adapters())
        if (std::ranges::find(demand.adapters, adapter) == demand.adapters.end()) demand.adapters.push_back(adapter);
    }
  }
  return result;
}

}  // namespace weldsail
