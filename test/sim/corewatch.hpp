#pragma once
#include "sim/fleet.hpp"
#include "sim/secondloss.hpp"

namespace weldsail::sim {

/// Watches the core of a simulated fleet at every step of every process.
class CoreWatch {
 public:
  /// `acknowledged` gives the newest version of the configuration that an operator was told of.
  CoreWatch(Fleet& fleet, std::function<std::uint64_t()> acknowledged)
      : fleet_(fleet), acknowledged_(std::move(acknowledged)) {}
  /// Begins to watch; keeps what was called after each step before.
  void watch();
  /// Calls the action once, at the step's first sight after now.
  void on_step(ChangeStep step, std::function<void()> action);
  /// The newest core whose commit some process knows; null when there is none.
  const wire::Core* committed() const;
  /// The newest core that some live process counts with, committed or not.
  wire::Core newest() const;
  /// Address of the live process on a disk, empty when there is none.
  std::string address_of(std::uint64_t disk) const;
  /// Address of the process whose disk a change is taking in, from its proposal on; empty when there is none.
  std::string joining() const;
  /// True when the committed core has no change under way, and at least so many disks, each with a live process that
  /// wasn't told to leave.
  bool full(std::size_t disks) const;
  /// Two that acted for one key at the same moment, a seat with two disks, and cores that were left with fewer disks
  /// that hold what was acknowledged than the losses that it must bear can spare.
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  void check_step(const ControlState& state);
  void check_actors();
  void check_seats(const wire::Core& core);
  void check_content(const wire::Core& core);
  Fleet& fleet_;
  std::function<std::uint64_t()> acknowledged_;
  std::map<std::uint32_t, std::uint64_t> seats_;
  CoreTag checked_{0, 0};
  std::optional<ChangeStep> wanted_;
  std::function<void()> action_;
  std::uint64_t from_version_ = 0;
  std::vector<std::string> faults_;
};

}  // namespace weldsail::sim
