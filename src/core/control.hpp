#pragma once
#include "core/bulk/bulk.hpp"
#include "core/configuration/configduty.hpp"
#include "core/configuration/currency.hpp"
#include "core/configuration/news.hpp"
#include "core/consensus/departure.hpp"
#include "core/consensus/recover.hpp"
#include "core/consensus/repair.hpp"
#include "core/consensus/shortage.hpp"
#include "core/consensus/vote.hpp"
#include "core/dialect.hpp"
#include "core/limits.hpp"
#include "core/membership/contacts.hpp"
#include "core/placement/placing.hpp"
#include "core/placement/relay.hpp"
#include "core/placement/steward.hpp"

namespace weldsail {

/// What a control-plane process is told at its start.
struct ControlOptions {
  MemberOptions member;
  /// Disks that form a new core; 0 to form none.
  std::uint32_t core_size = 3;
  /// Peer addresses of the processes that, all together, form a new core; taken instead of a number of disks.
  std::vector<std::string> founders;
  /// Disks that the core grows to once spares are there; 0 for no growth.
  std::uint32_t core_target = 0;
  /// Absence after which a spare takes a core disk's place; 0 for five bounds.
  Moment replace_after = 0;
  /// Longest time that a core process which was told to end goes on voting.
  Moment leave_within = 10000;
  bool has_disk = true;
  std::string platform;
  Moment platform_pace = 5000;
  Moment claims_kept = vote_kept;
  /// Changes by which repeats are recognised.
  std::size_t remembered = remembered_changes;
  /// How the outside speaks; null for the product's own interface.
  const Dialect* dialect = nullptr;
  Limits limits;
};

/// An operator's drain or undrain that waits for its turn.
struct DrainJob {
  Asker asker;
  std::string name;
  bool drained = true;
};

/// An operator's change of the core's set that waits for its turn; disks by number or address.
struct CoreJob {
  Asker asker;
  std::string let_go;
  std::string take_in;
};

/// A control-plane process.
struct ControlState {
  ControlOptions options;
  MemberState member;
  ContactsState contacts;
  AcceptorState acceptor;
  VoteState vote;
  RepairState repair;
  ShortageState shortage;
  RecoverState recover;
  FormationState formation;
  DutyState duty;
  DepartureState departure;
  NewsState news;
  BulkState bulk;
  CurrencyState currency;
  OperateState operate;
  ConfigDutyState config_duty;
  StewardState steward;
  /// Takes the steward's place where a dialect is set.
  PlacingState placing;
  /// Hands the placement holder's view on, where this process isn't the holder itself.
  RelayState relay;
  std::map<std::string, RegisterState> owners;
  std::optional<ConfigDocument> document;
  /// The same where the dialect describes routes by host and path.
  std::optional<PathConfig> paths;
  std::uint64_t document_version = 0;
  std::deque<DrainJob> drains;
  std::optional<Asker> drain_under_way;
  std::deque<CoreJob> core_jobs;
  std::optional<Asker> core_under_way;
  PipeNumbers numbers;
  /// As the shell told it last.
  TransportFigures transport;
  std::uint64_t random = 0;
  /// Milliseconds that the last tick took.
  Moment tick_took = 0;
  Moment leave_due = 0;
};

ControlState make_control(const ControlOptions& options);
/// One step of a control-plane process.
Effects reduce(ControlState& state, const Event& event, Moment now);
/// True for work that may wait behind all else: what workers answer, what callers ask for, and asks for the view.
/// Leases, votes, heartbeats, the configuration and the list of workers never wait for these.
bool may_wait(const ControlState& state, const Event& event);
/// The process's status document.
std::string control_status_text(const ControlState& state, Moment now);

/// Answers an operator's question about workers, placements or holds, or takes a drain.
void control_operate_placement(ControlState& state, const Asker& asker, const wire::Operate& operation, Moment now,
                               Effects& effects);

}  // namespace weldsail
