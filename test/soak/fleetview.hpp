#pragma once
#include <random>

#include "hosts.hpp"
#include "workers.hpp"

namespace weldsail::soak {

using Random = std::mt19937_64;

inline std::size_t pick(Random& random, std::size_t below) {
  return below == 0 ? 0 : static_cast<std::size_t>(random() % below);
}

/// The processes of a fleet by number: control processes first, then data processes, then workers.
class FleetView {
 public:
  FleetView(RealFleet& fleet, Workers& workers) : fleet_(fleet), workers_(workers) {}
  /// Control and data processes.
  std::size_t size() const { return fleet_.controls.size() + fleet_.datas.size(); }
  std::size_t workers() const { return workers_.children.size(); }
  std::size_t controls() const { return fleet_.controls.size(); }
  bool is_control(std::size_t process) const { return process < controls(); }
  bool is_worker(std::size_t process) const { return process >= size(); }
  Child& child(std::size_t process) const {
    if (is_worker(process)) return workers_.children[process - size()];
    return is_control(process) ? fleet_.controls[process] : fleet_.datas[process - controls()];
  }
  /// Where the process answers operators, through the relay.
  const std::string& operators(std::size_t process) const {
    const auto& found = child(process);
    return found.aside.empty() ? found.callers : found.aside;
  }
  /// Where the process answers operators without the relay in between.
  std::string direct(std::size_t process) const {
    return direct_address(operators(process), static_cast<int>(process));
  }
  void start(std::size_t process) const {
    if (is_worker(process)) return workers_.start(process - size());
    child(process).leaving = false;
    fleet_.start_child(child(process));
  }
  RealFleet& fleet() const { return fleet_; }

 private:
  RealFleet& fleet_;
  Workers& workers_;
};

}  // namespace weldsail::soak
