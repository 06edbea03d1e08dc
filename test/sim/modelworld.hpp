#pragma once
#include <array>
#include <memory>
#include <optional>
#include <set>
#include <tuple>

#include "core/control.hpp"

/// A model checker's world: control processes driven by the product's own reducer, one small action at a time.
namespace weldsail::sim::model {

/// What may happen next. Every action is one step of a trace.
enum class ActionKind : std::uint8_t {
  deliver,
  /// A request is delivered, the disk synced, and the answer delivered to the sender, all in one step.
  exchange,
  duplicate,
  lose,
  sync,
  crash_losing_unsynced,
  crash_keeping_unsynced,
  empty_disk,
  leave,
  tick,
  pause,
  take_config,
  take_core,
  change,
  read,
  doubt,
  cut,
  heal,
  count
};
inline constexpr auto action_kinds = static_cast<std::size_t>(ActionKind::count);

/// One action; which of the fields mean something depends on the kind.
struct Action {
  ActionKind kind = ActionKind::tick;
  std::size_t node = 0;
  std::size_t other = 0;
  std::uint64_t message = 0;
};

/// How often each kind of action may happen in one run. Of deliveries only those of requests count, so that
/// the bound is one on answers that come late or never; syncs and heals are never bounded.
using Budgets = std::array<std::uint16_t, action_kinds>;

/// What a world may do.
struct Plan {
  std::string name;
  std::size_t core_disks = 3;
  std::size_t spares = 1;
  Budgets budgets{};
  /// Disks sync at once, so that no action is needed for it.
  bool sync_at_once = false;
  /// Messages of a process to itself arrive at once.
  bool loopback_at_once = true;
  /// News of values is lost; what is needed of the core's set still comes with refusals.
  bool lose_news = false;
  /// The nodes that may take keys, change, read and (with the spares) tick; all where empty.
  std::set<std::size_t> operators;
};

/// One control process with its machine's disk.
struct Process {
  ControlState state;
  Records disk;
  std::vector<Persist> unsynced;
  std::uint64_t life = 0;
  bool alive = true;
  /// Identities of the changes in the configuration that the disk has synced.
  std::set<std::string> synced_changes;
  std::uint64_t digest = 0;
};

/// A message under way between two machines.
struct Message {
  std::uint64_t identity = 0;
  std::size_t from = 0;
  std::size_t to = 0;
  wire::Envelope envelope;
};

/// A change that an operator was told is accepted.
struct AcknowledgedChange {
  std::string change;
  std::string document;
  std::uint64_t base = 0;
  std::uint64_t version = 0;
};

/// An operator's question that has no answer yet.
struct OpenOperation {
  bool change = false;
  std::string identity;
  std::string document;
  std::uint64_t base = 0;
  /// Newest version that was acknowledged when the question came.
  std::uint64_t newest = 0;
};

/// What was observed from outside in a run; the invariants are checked against it.
struct Observations {
  /// Digest of the value by key, epoch and version.
  std::map<std::tuple<std::string, std::uint64_t, std::uint64_t>, std::uint64_t> proposed;
  /// Digest of the value told as committed by key and version.
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> published;
  std::vector<AcknowledgedChange> acknowledged;
  std::map<std::uint64_t, OpenOperation> open;
  std::uint64_t next_request = 1;
  std::uint64_t reads_answered = 0;

  std::uint64_t newest() const;
  std::uint64_t digest() const;
};

/// Order-dependent hash of what is added.
class Digest {
 public:
  void add(std::uint64_t number);
  void add(std::string_view bytes);
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0;
};

/// Hash of all that decides what a process does next.
std::uint64_t digest_process(const Process& process);

/// A whole state of the model; cheap to copy, since copies share what has not changed.
class ModelWorld {
 public:
  /// A formed core without owners, and its spares.
  explicit ModelWorld(std::shared_ptr<const Plan> plan);

  std::vector<Action> enabled() const;
  /// True where the action can be performed now.
  bool possible(const Action& action) const;
  /// Performs an action that is possible now.
  void perform(const Action& action);
  std::uint64_t digest() const;
  std::string describe(const Action& action) const;
  /// The first invariant that is broken; empty while all hold.
  const std::string& fault() const { return fault_; }
  const Observations& observations() const { return *observations_; }
  const std::vector<std::shared_ptr<const Process>>& processes() const { return processes_; }
  const std::vector<std::shared_ptr<const Message>>& network() const { return network_; }
  const Plan& plan() const { return *plan_; }
  Moment now() const { return now_; }
  /// The same state under other bounds; nothing counts as used yet.
  void replan(std::shared_ptr<const Plan> plan);
  /// The newest set of core disks that any process knows.
  const wire::Core& newest_core() const;
  /// True for a disk that some machine still has.
  bool disk_survives(std::uint64_t disk) const;

 private:
  bool may(ActionKind kind) const;
  bool may_operate(std::size_t node) const;
  bool may_empty(std::size_t node) const;
  bool delivers_request(const Action& action) const;
  void enable_messages(std::vector<Action>& actions) const;
  void enable_node(std::size_t node, std::vector<Action>& actions) const;

  void deliver(const Action& action);
  void exchange(const Action& action);
  void restart(std::size_t node, bool keep_unsynced);
  void empty(std::size_t node);
  void tick(std::size_t node, const std::string& take, std::optional<std::size_t> doubted);
  void ask(std::size_t node, bool change);
  void step(Process& process, std::size_t node, const Event& event);
  void carry_out(Process& process, std::size_t node, const Effect& effect, std::vector<wire::Envelope>& loopback);
  void send(std::size_t from, const SendMessage& effect, std::vector<wire::Envelope>& loopback);
  void sync(Process& process, std::size_t node);
  void refresh_views(Process& process, std::size_t node) const;
  Process& edit(std::size_t node);
  Observations& observe();

  void observe_message(const wire::Envelope& envelope);
  void observe_answer(const Answer& answer);
  void acknowledge(const OpenOperation& operation, std::uint64_t version);
  void check_read(const OpenOperation& operation, const Answer& answer, std::uint64_t version);
  void check_state();
  void check_holders();
  void check_quorums();
  void fail(const std::string& fault);

  std::shared_ptr<const Plan> plan_;
  std::vector<std::shared_ptr<const Process>> processes_;
  std::vector<std::shared_ptr<const Message>> network_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::shared_ptr<const Observations> observations_;
  Budgets used_{};
  Moment now_ = 1000000;
  std::string fault_;
};

/// Address of a node in the model.
std::string node_address(std::size_t node);

}  // namespace weldsail::sim::model
