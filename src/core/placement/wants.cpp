#include "core/placement/wants.hpp"

#include <algorithm>

namespace weldsail {
namespace {

/// False where the sender is of a release that names adapters alone.
bool tells_adapters(const wire::Backlog& backlog) {
  const auto count = backlog.adapters_size();
  return backlog.adapter_waiting_size() == count && backlog.adapter_running_size() == count &&
         backlog.adapter_asked_age_size() == count && backlog.adapter_served_age_size() == count &&
         backlog.adapter_unserved_age_size() == count;
}

std::vector<AdapterBacklog> read_adapters(const wire::Backlog& backlog) {
  std::vector<AdapterBacklog> adapters;
  if (!tells_adapters(backlog)) return adapters;
  for (int place = 0; place < backlog.adapters_size(); ++place) {
    const auto waiting = backlog.adapter_waiting(place);
    const auto running = backlog.adapter_running(place);
    if (waiting + running > 0) adapters.push_back({backlog.adapters(place), waiting, running});
  }
  return adapters;
}

NodeBacklog read_backlog(const wire::Backlog& backlog, Moment now) {
  NodeBacklog result;
  result.unit = backlog.unit();
  result.waiting = backlog.waiting();
  result.running = backlog.running();
  result.prompt_tokens = static_cast<double>(backlog.prompt_tokens());
  result.generation_tokens = static_cast<double>(backlog.generation_tokens());
  result.waits_since = result.waiting > 0 ? now - static_cast<Moment>(backlog.oldest_ms()) : 0;
  result.adapters = read_adapters(backlog);
  return result;
}

/// True for what counts as much as nothing told.
bool rests(const NodeBacklog& backlog) {
  return backlog.waiting == 0 && backlog.running == 0 && backlog.adapters.empty();
}

bool says_same(const NodeBacklog& before, const wire::Backlog& after) {
  return after.waiting() == 0 && before.waiting == 0 && before.running == after.running() &&
         before.adapters == read_adapters(after);
}

void keep_member(std::set<std::string>& units, const std::string& unit, bool belongs) {
  if (belongs)
    units.insert(unit);
  else
    units.erase(unit);
}

/// Keeps the adapter among those that are asked for, or not.
void mark_adapter(WantsIndex& index, const std::string& unit, const std::string& adapter, const AdapterWants& wants) {
  if (wants.waiting > 0 || wants.asks.unserved_since)
    index.asked_adapters.insert({unit, adapter});
  else
    index.asked_adapters.erase({unit, adapter});
}

/// Puts the node's requests for adapters in place of those that it told before; true when one has begun to wait.
bool replace_adapters(WantsIndex& index, UnitWants& wants, const NodeBacklog& before, const NodeBacklog& next) {
  if (before.adapters == next.adapters) return false;
  std::set<std::string> waited;
  for (const auto& told : before.adapters) {
    auto& adapter = wants.adapters[told.adapter];
    if (adapter.waiting > 0) waited.insert(told.adapter);
    adapter.waiting -= told.waiting;
    adapter.running -= told.running;
  }
  bool begun = false;
  for (const auto& told : next.adapters) {
    auto& adapter = wants.adapters[told.adapter];
    begun |= told.waiting > 0 && adapter.waiting == 0 && !waited.contains(told.adapter);
    adapter.waiting += told.waiting;
    adapter.running += told.running;
    mark_adapter(index, next.unit, told.adapter, adapter);
  }
  for (const auto& told : before.adapters) mark_adapter(index, next.unit, told.adapter, wants.adapters[told.adapter]);
  return begun;
}

/// Puts what the node tells now in place of what it told before; true when the unit has begun to wait or a new adapter
/// is wished for.
bool replace(WantsIndex& index, std::uint64_t node, const NodeBacklog& before, const NodeBacklog& next) {
  auto& wants = index.units[next.unit];
  auto& sources = index.sources[next.unit];
  auto& demand = wants.demand;
  const bool waited = demand.waiting > 0;
  demand.waiting += next.waiting - before.waiting;
  index.waiting += next.waiting - before.waiting;
  demand.running += next.running - before.running;
  demand.prompt_tokens += next.prompt_tokens - before.prompt_tokens;
  demand.generation_tokens += next.generation_tokens - before.generation_tokens;
  if (next.waiting > 0)
    sources.waits_since[node] = next.waits_since;
  else
    sources.waits_since.erase(node);
  wants.waits_since.reset();
  for (const auto& [other, since] : sources.waits_since)
    wants.waits_since = std::min(wants.waits_since.value_or(since), since);
  keep_member(index.active, next.unit, demand.waiting + demand.running > 0);
  const bool adapter_begun = replace_adapters(index, wants, before, next);
  return adapter_begun || (!waited && demand.waiting > 0);
}

void mark_used(UnitWants& wants, const wire::Backlog& backlog, Moment now) {
  const bool used = backlog.waiting() > 0 || backlog.running() > 0;
  const auto last = used ? now : now - static_cast<Moment>(backlog.quiet_ms());
  wants.last_used = std::max(wants.last_used.value_or(last), last);
}

/// Takes ages of asks that the node tells, for the unit and its adapters.
void take_asks(WantsIndex& index, const wire::Backlog& backlog, Moment now) {
  auto& wants = index.units[backlog.unit()];
  const AskRecord told{heard_age(backlog.asked_age(), now), heard_age(backlog.served_age(), now),
                       heard_age(backlog.unserved_age(), now)};
  asks_merge(wants.asks, told, index.bound);
  keep_member(index.unserved, backlog.unit(), wants.asks.unserved_since.has_value());
  const bool whole = tells_adapters(backlog);
  for (int place = 0; place < backlog.adapters_size(); ++place) {
    auto& adapter = wants.adapters[backlog.adapters(place)];
    // A node of a former release names what is wanted and no more.
    AskRecord asks{now, {}, now};
    if (whole)
      asks = {heard_age(backlog.adapter_asked_age(place), now), heard_age(backlog.adapter_served_age(place), now),
              heard_age(backlog.adapter_unserved_age(place), now)};
    asks_merge(adapter.asks, asks, index.bound);
    mark_adapter(index, backlog.unit(), backlog.adapters(place), adapter);
  }
}

void forget(WantsIndex& index, std::uint64_t node, const NodeBacklog& before) {
  NodeBacklog nothing;
  nothing.unit = before.unit;
  replace(index, node, before, nothing);
}

/// Takes one backlog in place of what the node told of the unit before, if it did.
bool take_backlog(WantsIndex& index, std::uint64_t node, const NodeBacklog* before, const wire::Backlog& backlog,
                  Moment now, NodeBacklog& next) {
  NodeBacklog nothing;
  nothing.unit = backlog.unit();
  next = read_backlog(backlog, now);
  return replace(index, node, before != nullptr ? *before : nothing, next);
}

/// Takes a report that tells of some units alone.
bool take_part(WantsIndex& index, std::uint64_t node, NodeWants& told, const wire::CounterReport& report, Moment now) {
  bool fresh = false;
  for (const auto& backlog : report.backlogs()) {
    ++index.visited;
    const auto place = std::ranges::lower_bound(told.backlogs, backlog.unit(), {}, &NodeBacklog::unit);
    const bool known = place != told.backlogs.end() && place->unit == backlog.unit();
    NodeBacklog next;
    fresh |= take_backlog(index, node, known ? &*place : nullptr, backlog, now, next);
    if (rests(next)) {
      if (known) told.backlogs.erase(place);
    } else if (known) {
      *place = std::move(next);
    } else {
      told.backlogs.insert(place, std::move(next));
    }
    mark_used(index.units[backlog.unit()], backlog, now);
    take_asks(index, backlog, now);
  }
  return fresh;
}

/// Takes a report that tells of all units of the node.
bool take_whole(WantsIndex& index, std::uint64_t node, NodeWants& told, const wire::CounterReport& report, Moment now) {
  std::vector<const wire::Backlog*> sorted;
  for (const auto& backlog : report.backlogs()) sorted.push_back(&backlog);
  const auto unit_of = [](const wire::Backlog* backlog) -> const std::string& { return backlog->unit(); };
  if (!std::ranges::is_sorted(sorted, {}, unit_of)) std::ranges::sort(sorted, {}, unit_of);
  std::vector<NodeBacklog> next;
  next.reserve(sorted.size());
  bool fresh = false;
  auto before = told.backlogs.begin();
  for (const auto* backlog : sorted) {
    ++index.visited;
    for (; before != told.backlogs.end() && before->unit < backlog->unit(); ++before) forget(index, node, *before);
    const bool known = before != told.backlogs.end() && before->unit == backlog->unit();
    auto& last = next.emplace_back();
    if (known && says_same(*before, *backlog))
      last = std::move(*before);
    else
      fresh |= take_backlog(index, node, known ? &*before : nullptr, *backlog, now, last);
    if (known) ++before;
    mark_used(index.units[backlog->unit()], *backlog, now);
    take_asks(index, *backlog, now);
  }
  for (; before != told.backlogs.end(); ++before) forget(index, node, *before);
  told.backlogs = std::move(next);
  return fresh;
}

/// True when all that has changed at the node is known with this report. Unasked, a node leaves out units that rest.
bool tells_all(const wire::CounterReport& report, std::uint64_t known) {
  return report.partial() ? report.base() != 0 && report.base() <= known : report.round() != 0;
}

}  // namespace

std::uint64_t wants_known(const WantsIndex& index, std::uint64_t node) {
  const auto found = index.nodes.find(node);
  return found == index.nodes.end() ? 0 : found->second.known;
}

bool wants_take(WantsIndex& index, std::uint64_t node, const wire::CounterReport& report, Moment now) {
  auto& told = index.nodes[node];
  if (report_overtaken(report, told.number)) return false;
  if (tells_all(report, told.known)) told.known = report.number();
  if (!report.partial()) told.complete = true;
  told.number = std::max(told.number, report.number());
  told.heard = now;
  return report.partial() ? take_part(index, node, told, report, now) : take_whole(index, node, told, report, now);
}

void wants_expire(WantsIndex& index, Moment now) {
  for (auto& [node, told] : index.nodes) {
    if (now - told.heard <= index.bound) continue;
    for (const auto& backlog : told.backlogs) forget(index, node, backlog);
    told.backlogs.clear();
    told.known = 0;
    told.complete = false;
  }
}

bool wants_heard(const WantsIndex& index, std::uint64_t node, Moment now) {
  const auto found = index.nodes.find(node);
  return found != index.nodes.end() && found->second.complete && now - found->second.heard <= index.bound;
}

}  // namespace weldsail
