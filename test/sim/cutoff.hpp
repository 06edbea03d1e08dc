#pragma once
#include <map>
#include <string>
#include <vector>

#include "sim/world.hpp"

namespace weldsail::sim {

/// Whom a cut takes, and how.
struct CutPlan {
  std::size_t controls = 3;
  std::size_t datas = 6;
  /// Control processes that are cut off from all other control processes.
  std::size_t cut = 1;
  /// The owner of the configuration is the first of them.
  bool owner = true;
  enum class Direction { both, outgoing, incoming } direction = Direction::both;
  /// Which data nodes are cut off from whom besides.
  enum class Datas {
    /// All reach both sides.
    reach_all,
    /// All lose the processes that are cut off, in the same direction.
    lose_cut,
    /// All lose the majority's processes in both directions, all but the first, which the others reach.
    lose_majority
  } datas_cut = Datas::reach_all;
  /// It is ended and started again in the cut.
  bool restart = false;
  /// At that start it is told seeds that are cut off or data nodes.
  bool other_seeds = false;
  /// Operators use the platform's interface, else the product's own.
  bool platform = true;
};

/// One configuration that operators send, perhaps often.
struct SentChange {
  std::uint64_t revision = 0;
  std::uint64_t base = 0;
  std::string method;
  std::string path;
  std::string body;
  /// Acknowledged at, and as which version.
  std::optional<Moment> acknowledged;
  std::uint64_t version = 0;
  bool refused = false;
};

/// Control processes, data nodes and operators of whom some are cut off for a while, with a plain model of what
/// each may answer. Nothing of what it checks is taken from the reducers' own bookkeeping, but the claims that are
/// to be proved true: versions in force, versions held by an owner, and moments as of which something is current.
class CutWorld {
 public:
  CutWorld(std::uint64_t seed, const CutPlan& chosen);
  /// The whole run; afterwards `faults` and the figures are filled.
  void run();

  World world;
  CutPlan plan;
  std::vector<std::string> controls;
  std::vector<std::string> datas;
  std::set<std::string> cut;
  std::vector<std::string> faults;
  /// Longest time from an acknowledgement until it was in force at each data node.
  Moment in_force_most = 0;
  /// Longest time that a control process took for an answer.
  Moment answer_most = 0;
  std::uint64_t acknowledged_in_cut = 0;
  /// Most asks that a control process had from data nodes in a second of the cut, for each data node.
  double asks_most = 0;

 private:
  void add_control(const std::string& address);
  void add_data(const std::string& address);
  void tell(const std::string& address, const std::vector<std::string>& seeds, bool first);
  void begin_cut();
  void restart_one();
  void heal();
  std::string owner() const;
  bool wholly_cut(const std::string& address, Moment from) const;

  void operate_until(Moment end);
  void write(const std::string& address);
  void send_change(const std::string& address, std::size_t place);
  void repeat(const std::string& address);
  void send_bad(const std::string& address);
  void read(const std::string& address);
  std::size_t add_change(std::uint64_t base, bool amend);
  RequestArrived request_of(const SentChange& change) const;
  void check_change(const std::string& address, std::size_t place, Moment asked, const Told& told);
  /// Common to all answers: in time, with a word of when to retry, and no content out of a cut.
  void check_answer(const std::string& address, const std::string& what, Moment asked, const Told& told);
  bool may_be_refused(const SentChange& change) const;
  std::uint64_t newest_version(Moment until) const;
  std::uint64_t newest_revision(Moment until) const;

  void watch_sent(const SimNode& node, const SendMessage& message);
  void watch_step(const SimNode& node);
  void check_claim(const std::string& who, std::uint64_t version, Moment as_of);
  void check_in_force();
  void check_end();
  void fault(const std::string& what);

  std::vector<SentChange> changes_;
  std::optional<std::size_t> pending_;
  std::uint64_t known_revision_ = 0;
  std::uint64_t next_revision_ = 1;
  std::size_t turn_ = 0;
  std::optional<Moment> cut_since_;
  Moment healed_at_ = 0;
  std::map<std::string, Moment> restarted_;
  std::map<std::string, std::uint64_t> held_epoch_;
  std::map<std::string, std::uint64_t> in_force_;
  std::map<std::string, std::map<std::uint64_t, Moment>> in_force_at_;
  std::map<std::string, std::vector<Moment>> asks_;
  std::map<std::string, Moment> as_of_;
};

}  // namespace weldsail::sim
