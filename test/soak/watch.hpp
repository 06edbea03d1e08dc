#pragma once
#include "asker.hpp"
#include "fleetview.hpp"
#include "ledger.hpp"

namespace weldsail::soak {

/// Counters that a process may tell in its status; what isn't there was not checked.
struct ProcessCounters {
  std::optional<std::uint64_t> configuration_bytes_sent;
  std::optional<std::uint64_t> transfers_repeated;
  std::optional<std::uint64_t> invariant_violations;
};

/// What is known of one process.
struct ProcessView {
  int pid = 0;
  /// True while a status is asked for.
  bool asking = false;
  /// Version in force as this run of the process told it last.
  std::uint64_t in_force = 0;
  /// Highest version that was ever in force on it, over restarts.
  std::uint64_t highest = 0;
  std::uint64_t memory_most = 0;
  std::size_t statuses = 0;
  ProcessCounters counters;
};

/// Looks at every process all the time: versions in force, memory, unexpected ends, reads and routes.
class Watch {
 public:
  /// Since when a process is free of trouble; nothing while it isn't.
  using CalmSince = std::function<std::optional<Moment>(std::size_t)>;
  Watch(FleetView fleet, Asker& asker, Ledger& ledger, const DocumentForm& form, CalmSince calm_since,
        Moment adopt_within, std::uint64_t seed);
  void tick(Moment now);
  /// True when every process runs and has exactly this version in force.
  bool in_force_everywhere(std::uint64_t version) const;
  std::string versions() const;
  const std::vector<ProcessView>& views() const { return views_; }
  std::uint64_t memory_most(bool control) const;
  std::size_t statuses() const { return statuses_; }
  /// So many statuses were told by each process at least.
  std::size_t statuses_each() const;
  std::size_t probes() const { return probes_; }
  std::size_t probes_told() const { return probes_told_; }
  /// Answers of 404 by processes that were in trouble after the route was acknowledged: they serve on as they are.
  std::size_t probes_excused() const { return probes_excused_; }
  /// Statuses with an older version than acknowledged by processes that were in trouble meanwhile.
  std::size_t versions_excused() const { return versions_excused_; }
  /// Counters of all processes added up; nothing when a process doesn't tell one.
  std::optional<std::uint64_t> sum(std::optional<std::uint64_t> ProcessCounters::*counter) const;

 private:
  void look(std::size_t process);
  void ask_status(std::size_t process);
  void take_status(std::size_t process, int pid, Moment sent, const Reply& reply);
  void judge_version(std::size_t process, std::uint64_t version, Moment sent);
  void read_configuration(Moment now);
  void probe_route(Moment now);
  void judge_refusal(std::size_t process, int status, std::size_t route, Moment sent);

  FleetView fleet_;
  Asker& asker_;
  Ledger& ledger_;
  const DocumentForm& form_;
  CalmSince calm_since_;
  Moment adopt_within_;
  Random random_;
  std::vector<ProcessView> views_;
  std::size_t statuses_ = 0;
  std::size_t probes_ = 0;
  std::size_t probes_told_ = 0;
  std::size_t probes_excused_ = 0;
  std::size_t versions_excused_ = 0;
  Moment next_look_ = 0;
  Moment next_read_ = 0;
  Moment next_probe_ = 0;
};

}  // namespace weldsail::soak
