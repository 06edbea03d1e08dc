#pragma once
#include <map>

#include "tools/realfleet.hpp"

namespace weldsail::soak {

/// What the processes of the soak are preceded by, so that each has hosts of its own.
std::vector<std::string> own_hosts(const std::string& library, int process);

/// Stand-in workers, each a real process (`wsback`) with a file of the runs that it began.
class Workers {
 public:
  Workers(RealFleet& fleet, std::string binaries);
  Workers(const Workers&) = delete;
  Workers& operator=(const Workers&) = delete;
  ~Workers();
  /// Makes so many workers, two thirds of them for models; process numbers begin at `first_process`.
  void make(std::size_t count, int first_process, const std::string& library);
  /// Starts a worker as another instance than before.
  void start(std::size_t place);
  /// How often each caller's request was begun, over all workers and their restarts.
  std::map<std::string, std::size_t> runs_by_caller() const;
  const std::string& service(std::size_t place) const { return services_[place]; }
  std::vector<Child> children;

 private:
  std::string plan_path(std::size_t place) const {
    return fleet_.folder() + "/worker" + std::to_string(place) + ".json";
  }
  std::string runs_path(std::size_t place) const {
    return fleet_.folder() + "/worker" + std::to_string(place) + ".runs";
  }
  void write_plan(std::size_t place);

  RealFleet& fleet_;
  std::string binaries_;
  std::vector<std::string> services_;
  std::uint64_t births_ = 0;
};

}  // namespace weldsail::soak
