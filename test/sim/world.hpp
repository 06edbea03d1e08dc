#pragma once
#include <functional>
#include <queue>
#include <random>
#include <set>
#include <variant>

#include "core/control.hpp"
#include "core/data.hpp"
#include "core/eventqueue.hpp"
#include "sim/links.hpp"

namespace weldsail::sim {

/// Seeded chance, the same on every machine.
class Chance {
 public:
  explicit Chance(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t number() { return engine_(); }
  std::uint64_t below(std::uint64_t limit) { return limit == 0 ? 0 : engine_() % limit; }
  Moment between(Moment least, Moment most) {
    return least + static_cast<Moment>(below(static_cast<std::uint64_t>(most - least + 1)));
  }
  bool happens(double share) { return static_cast<double>(engine_() >> 11U) * 0x1.0p-53 < share; }

 private:
  std::mt19937_64 engine_;
};

/// A back end in the simulated world, found by address.
struct BackEnd {
  /// Takes a request of a node's pipe.
  std::function<void(const std::string& node, std::uint64_t life, const OpenPipe& pipe)> open;
  std::function<void(const std::string& node, std::uint64_t pipe)> cancel;
  std::function<bool()> reachable;
};

/// What an asker has been told so far.
struct Told {
  int status = 0;
  std::vector<Header> headers;
  std::string body;
  bool ended = false;
  bool whole = false;
  Moment at = 0;
};

/// A processor that a node's process has to itself: events wait for it by the process's own queue, and each takes time.
struct Processor {
  /// Milliseconds that the process spends on an event.
  std::function<double(const Event&)> cost;
  EventQueue queue = {};
  /// When the event in hand is done.
  double free_at = 0;
  bool scheduled = false;
};

/// One of our processes with its machine.
struct SimNode {
  std::string address;
  std::string locality;
  std::variant<ControlState, DataState> state;
  std::function<std::variant<ControlState, DataState>()> make;
  bool has_disk = false;
  /// Speaks the former landing's messages: fields that it didn't have are lost both ways.
  bool former = false;
  bool alive = false;
  bool frozen = false;
  bool disk_full = false;
  bool syncing = false;
  std::uint64_t life = 0;
  Moment offset = 0;
  /// Share by which this machine's clock runs fast.
  double drift = 0;
  Moment sync_least = 1;
  Moment sync_most = 4;
  Moment disk_free_at = 0;
  Moment woken = 0;
  /// Milliseconds that the node is told its last tick took.
  Moment tick_took = 0;
  Records disk;
  std::vector<std::pair<std::uint64_t, std::vector<std::pair<std::string, std::string>>>> unsynced;
  std::vector<Event> inbox;
  /// None where events take no time.
  std::optional<Processor> processor;
  std::map<std::uint64_t, std::function<void(const Told&)>> askers;
  std::map<std::uint64_t, Told> told;
  std::uint64_t next_request = 1;
  std::uint64_t messages = 0;
  std::uint64_t syncs = 0;
};

/// A whole fleet on virtual clocks, network and disks.
class World {
 public:
  explicit World(std::uint64_t seed) : chance(seed) {}

  void add(SimNode node);
  void start(const std::string& address);
  /// Ends a process at once; what was not synced may be lost.
  void kill(const std::string& address);
  void freeze(const std::string& address);
  void wake(const std::string& address);
  void empty_disk(const std::string& address);
  void leave(const std::string& address);
  /// Blocks all traffic between the two sets of addresses.
  void cut(const std::set<std::string>& left, const std::set<std::string>& right);
  /// Loses what the first set sends to the second; the other way stays open.
  void cut_one_way(const std::set<std::string>& from, const std::set<std::string>& to);
  void heal();
  bool blocked(const std::string& from, const std::string& to) const;

  void at(Moment when, std::function<void()> action);
  void run_until(Moment when);
  /// Gives an event to a node's process of the given life.
  void give(const std::string& address, std::uint64_t life, Event event);
  /// Asks a node as a caller or operator; the answer may never come.
  std::uint64_t ask(const std::string& address, RequestArrived request, std::function<void(const Told&)> answered);

  SimNode& node(const std::string& address) { return nodes_.at(address); }
  std::map<std::string, SimNode>& nodes() { return nodes_; }
  const ControlState* control(const std::string& address) const;
  const DataState* data(const std::string& address) const;
  Moment now() const { return now_; }

  Chance chance;
  double loss = 0;
  /// Most by which a clock of a node added later runs fast or slow.
  double drift_most = 0;
  /// Share of messages that arrive a second time, up to the given time later.
  double doubled = 0;
  Moment doubled_most = 2000;
  Moment delay_most = 3;
  Moment tick = 50;
  /// Rates of the nodes' links; none has a limit unless it is given one.
  Links links;
  std::map<std::string, BackEnd> back_ends;
  /// Called before every step of a node.
  std::function<void(const SimNode&, const Event&, Moment local)> stepping;
  /// Called after every step of a node.
  std::function<void(SimNode&)> stepped;
  /// How much longer than others a message takes on its way.
  std::function<Moment(const std::string& from, const std::string& to, wire::Envelope::BodyCase body)> held_up;
  /// Called for every message that a node sends, with its bytes on the wire.
  std::function<void(const SimNode&, const SendMessage&, std::size_t bytes)> sent;
  /// Called for every pipe that a node opens.
  std::function<void(const SimNode&, const OpenPipe&)> opened;
  /// Called after every reduction with its processor time in nanoseconds, which is measured only then.
  std::function<void(const SimNode&, std::int64_t nanoseconds)> reduced;
  std::uint64_t steps = 0;

 private:
  struct Scheduled {
    Moment when;
    std::uint64_t order;
    std::function<void()> action;
    bool operator>(const Scheduled& other) const { return std::pair(when, order) > std::pair(other.when, other.order); }
  };
  void step(SimNode& node, const Event& event);
  void carry_out(SimNode& node, const Effect& effect);
  void send(SimNode& node, const SendMessage& effect);
  /// Takes a message from the network through the receiver's link.
  void receive(const std::string& from, const std::string& to, wire::Envelope::BodyCase body, const std::string& bytes);
  void arrive(const std::string& from, const std::string& to, const std::string& bytes);
  void open(SimNode& node, const OpenPipe& effect);
  void persist(SimNode& node, const Persist& effect);
  /// Syncs all that waits in one go, then what has come since.
  void begin_sync(const std::string& address, std::uint64_t life);
  void tell(SimNode& node, std::uint64_t request, const std::function<void(Told&)>& change, bool ended);
  void tick_node(const std::string& address, std::uint64_t life);
  /// Lets the processor begin the next event that waits, as soon as it is free.
  void schedule(SimNode& node);
  void take_next(const std::string& address, std::uint64_t life);

  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> scheduled_;
  std::map<std::string, SimNode> nodes_;
  struct Cut {
    std::set<std::string> from;
    std::set<std::string> to;
    bool both = true;
  };
  Moment local(const SimNode& node) const {
    return now_ + node.offset + static_cast<Moment>(static_cast<double>(now_) * node.drift);
  }
  Moment global(const SimNode& node, Moment local) const {
    return static_cast<Moment>(static_cast<double>(local - node.offset) / (1 + node.drift));
  }
  std::vector<Cut> cuts_;
  Moment now_ = 1;
  std::uint64_t order_ = 0;
};

}  // namespace weldsail::sim
