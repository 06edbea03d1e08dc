#include <algorithm>

#include "sim/placingfleet.hpp"

/// What the data nodes of the fleet tell the holder of the placement.
namespace weldsail::sim {
namespace {

constexpr Moment report_pace = 1000;
constexpr Moment step_time = 20;
constexpr Moment report_bound = 3000;
constexpr std::uint64_t reporter = 900001;

}  // namespace

AskRecord& PlacingFleet::asks_of(std::size_t place, const std::string& model, const std::string& adapter) {
  return records_[place % asks_.reporters][{model, adapter}];
}

void PlacingFleet::report(std::uint64_t round) {
  next_report_ = world.now() + report_pace;
  const auto target = holder();
  if (target.empty()) return;
  for (std::size_t share = 0; share < asks_.reporters; ++share) report_share(target, share, round);
}

void PlacingFleet::report_apart() {
  const auto target = holder();
  if (target.empty()) return;
  const auto steps = static_cast<std::size_t>(report_pace / step_time);
  const auto turn = static_cast<std::size_t>(world.now() / step_time) % steps;
  for (auto share = turn; share < asks_.reporters; share += steps) report_share(target, share, 0);
}

void PlacingFleet::report_share(const std::string& target, std::size_t share, std::uint64_t round) {
  std::map<std::string, wire::Backlog> backlogs;
  std::map<std::string, std::map<std::string, int>> adapters;
  for (const auto& [model, used] : used_) backlogs[model].set_quiet_ms(static_cast<std::uint64_t>(world.now() - used));
  for (const auto place : open_) {
    if (place % asks_.reporters != share) continue;
    const auto& item = asked[place];
    auto& backlog = backlogs[item.model];
    backlog.set_quiet_ms(0);
    if (item.began != 0) {
      backlog.set_running(backlog.running() + 1);
    } else {
      backlog.set_waiting(backlog.waiting() + 1);
      backlog.set_oldest_ms(std::max(backlog.oldest_ms(), static_cast<std::uint64_t>(world.now() - item.arrived)));
    }
    if (!item.adapter.empty()) adapters[item.model][item.adapter] += item.began != 0 ? 1 : 100;
  }
  for (const auto& [key, record] : records_[share])
    if (!key.second.empty() && world.now() - record.last_asked.value_or(0) < asks_forgotten_bounds * report_bound)
      adapters[key.first].try_emplace(key.second, 0);
  wire::Envelope envelope;
  envelope.set_from(reporter + share);
  auto* report = envelope.mutable_counter_report();
  report->set_round(round);
  for (auto& [model, backlog] : backlogs) {
    backlog.set_unit(unit_name(workers_.service, model));
    std::vector<std::pair<int, std::string>> order;
    for (const auto& [adapter, weight] : adapters[model]) order.emplace_back(-weight, adapter);
    std::ranges::sort(order);
    for (const auto& [weight, adapter] : order) backlog.add_adapters(adapter);
    const auto& record = asks_of(share, model, "");
    backlog.set_asked_age(told_age(record.last_asked, world.now()));
    backlog.set_served_age(told_age(record.last_served, world.now()));
    backlog.set_unserved_age(told_age(record.unserved_since, world.now()));
    write_adapters(share, model, backlog);
    *report->add_backlogs() = backlog;
  }
  if (round != 0)
    for (auto& [place, counter] : counters_[share]) {
      counter.set_unit(unit_name(workers_.service, place.first));
      counter.set_worker(place.second);
      *report->add_counters() = counter;
    }
  world.give(target, world.node(target).life, MessageArrived{envelope});
}

void PlacingFleet::write_adapters(std::size_t share, const std::string& model, wire::Backlog& backlog) {
  const auto now = world.now();
  for (const auto& adapter : backlog.adapters()) {
    std::uint64_t waiting = 0;
    std::uint64_t running = 0;
    for (const auto place : open_) {
      const auto& item = asked[place];
      if (place % asks_.reporters != share || item.model != model || item.adapter != adapter) continue;
      ++(item.began != 0 ? running : waiting);
    }
    const auto& record = asks_of(share, model, adapter);
    backlog.add_adapter_waiting(waiting);
    backlog.add_adapter_running(running);
    backlog.add_adapter_asked_age(told_age(record.last_asked, now));
    backlog.add_adapter_served_age(told_age(record.last_served, now));
    backlog.add_adapter_unserved_age(told_age(record.unserved_since, now));
  }
}

}  // namespace weldsail::sim
