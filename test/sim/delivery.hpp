#pragma once
#include <map>
#include <string>
#include <vector>

#include "sim/world.hpp"

namespace weldsail::sim {

/// A fleet, the changes that its operator makes and what troubles it meanwhile.
struct DeliveryPlan {
  std::size_t controls = 3;
  std::size_t datas = 24;
  /// Routes of the large configuration, and the bytes of each.
  std::size_t routes = 1700;
  std::size_t route_bytes = 250;
  /// Changes of one route each, and the least time between two.
  std::size_t small_changes = 8;
  Moment small_pause = 400;
  /// Small changes begin beside the large one, not only after all data nodes have that.
  bool beside = false;
  /// Links have the rates of the machines, else no limit.
  bool links = false;
  /// Share of messages that are lost in the large change's part of the run; with small changes beside it, only until it
  /// is acknowledged.
  double loss = 0;
  /// What befalls a process, by chance, for a while soon after the large change was sent.
  bool kill_control = false;
  bool freeze_control = false;
  bool freeze_data = false;
  bool cut_control = false;
};

/// Parts of a run, by which traffic is counted.
enum class DeliveryPhase {
  /// Until the core has formed and all data nodes have the first small configuration.
  forming,
  /// From the large change until it rests; with changes beside it, until the last of these is acknowledged.
  large,
  /// From the first small change until the last is acknowledged and rests, where they come after the large one.
  small,
  /// Ten seconds without a change.
  settling,
  /// Ten seconds more.
  after
};

/// Bytes on the wire in a part of a run, by kind of message.
struct DeliveryTraffic {
  /// To each data node, from anybody.
  std::map<std::string, std::map<std::string, std::uint64_t>> to_data;
  /// By each core process to others.
  std::map<std::string, std::map<std::string, std::uint64_t>> between_controls;
  /// Bytes of messages that may carry a configuration, as above.
  std::map<std::string, std::uint64_t> configuration_to_data;
  std::map<std::string, std::uint64_t> configuration_between_controls;
};

/// Counts what the delivery of configurations costs, and what it delays.
class DeliveryWorld {
 public:
  DeliveryWorld(std::uint64_t seed, const DeliveryPlan& chosen);
  /// The whole run; afterwards the faults and figures are filled.
  void run();

  World world;
  DeliveryPlan plan;
  std::vector<std::string> controls;
  std::vector<std::string> datas;
  /// Changes that weren't acknowledged and data nodes that haven't the newest version in force, each with its moment.
  std::vector<std::string> faults;
  std::map<DeliveryPhase, DeliveryTraffic> traffic;
  /// Bytes of the large document, and of the largest small change as the operator sent it.
  std::size_t document_bytes = 0;
  std::size_t change_bytes = 0;
  /// How often a whole document of each version was sent to each data node.
  std::map<std::string, std::map<std::uint64_t, std::size_t>> whole_documents;
  /// Most bytes in front of a ping or a check at a link from the large change on, and where.
  double front_most = 0;
  std::string front_most_at;
  /// The same for pings alone at data nodes' links.
  double data_front_most = 0;
  std::string data_front_most_at;
  /// From the large change until it was acknowledged, and until all data nodes had it or a later one in force.
  Moment large_acknowledged = 0;
  Moment large_in_force = 0;
  /// Longest time from the first sending of a small change until it was acknowledged.
  Moment small_acknowledged_most = 0;

 private:
  void add_control(const std::string& address);
  void add_data(const std::string& address);
  void watch();
  void count(const SimNode& node, const SendMessage& message, std::size_t bytes);
  void trouble();
  std::string route(std::size_t place, std::uint64_t mark) const;
  std::string document(std::size_t routes) const;
  std::string amendment();
  /// Sends until it is acknowledged, going on from process to process as operators do; the time that it took.
  Moment change(const std::string& path, const std::string& body);
  void change_small();
  bool all_in_force(std::uint64_t version);
  void await_in_force(const std::string& what);
  void fault(const std::string& what);

  DeliveryPhase phase_ = DeliveryPhase::forming;
  std::uint64_t revision_ = 0;
  std::uint64_t version_ = 0;
  std::size_t turn_ = 0;
};

/// The largest of the counts, 0 where there is none.
std::uint64_t most_of(const std::map<std::string, std::uint64_t>& counts);

}  // namespace weldsail::sim
