#pragma once
#include <set>

#include "sim/simback.hpp"

namespace weldsail::sim {

/// What a simulated fleet is like.
struct FleetPlan {
  std::size_t control = 3;
  /// Control nodes with a disk, which form the core; the others have none. 0 for all.
  std::size_t core = 0;
  /// Control nodes that found the core by name, which then grows to the target; 0 to found it by number.
  std::size_t founders = 0;
  /// Places of control nodes without a disk, whatever `core` says.
  std::set<std::size_t> diskless = {};
  std::uint32_t core_target = 0;
  /// As the option of the control process.
  Moment replace_after = 0;
  Moment leave_within = 10000;
  std::size_t data = 3;
  std::size_t data_folders = 0;
  std::size_t localities = 3;
  std::size_t model_workers = 6;
  std::size_t call_workers = 2;
  std::size_t models = 6;
  std::size_t cells = 1;
  std::size_t adapters = 2;
  Moment load_ms = 1000;
  std::size_t held_limit = 64U << 20U;
  Moment claims_kept = vote_kept;
  /// Most by which a machine's clock runs fast or slow, as a share.
  double drift = 0;
  double loads_per_s = 2;
  Moment sync_most = 4;
  std::int64_t room_mb = 40;
};

/// Name of the service that a cell (from 0) has of the kind.
std::string service_name(bool call, std::size_t cell);

/// A fleet in its world, started.
struct Fleet {
  Fleet(std::uint64_t seed, const FleetPlan& plan);
  World world;
  FleetPlan plan;
  std::unique_ptr<SimBacks> backs;
  std::vector<std::string> controls;
  std::vector<std::string> datas;
  /// Addresses of processes that were told to leave for good.
  std::set<std::string> leaving;
  /// A configuration for the fleet; the mark makes it differ from others.
  std::string document(const std::string& mark) const;
  /// The same with many more routes.
  std::string document(const std::string& mark, std::size_t more_routes, bool swapped = false) const;
  /// Adds a control node on an empty disk; it isn't started.
  void add_control(const std::string& address, std::size_t place,
                   const std::vector<std::string>& seeds = {"cp1", "cp2", "cp3"});
  /// The first alive control node's view of who holds a key; empty when nobody does.
  std::string holder(const std::string& key) const;
};

}  // namespace weldsail::sim
