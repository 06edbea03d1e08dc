#pragma once
#include <functional>

#include "shell/ask.hpp"
#include "tools/back.hpp"

namespace weldsail {

/// One process that this program has started.
struct Child {
  std::string name;
  std::vector<std::string> arguments;
  std::string callers;
  std::string peers;
  std::string folder;
  /// A second address for operators, where the process got one; it is none of RealFleet's own arguments.
  std::string aside;
  int pid = 0;
  /// It was told to leave by SIGTERM: its end is expected.
  bool leaving = false;
};

/// What a fleet of real processes is like.
struct RealPlan {
  std::size_t control = 3;
  std::size_t data = 2;
  std::size_t localities = 3;
  std::vector<BackPlan> workers;
  double loads_per_s = 4;
  Moment bound = 3000;
  std::vector<std::string> data_options;
  /// Another platform than the stand-in's, and what it wants done while the fleet is served.
  std::string platform;
  std::function<void()> served;
  /// Called with each process before its first start.
  std::function<void(Child&)> prepared;
};

/// A fleet of real processes on loopback, with its back ends in this process.
class RealFleet {
 public:
  RealFleet(std::string binaries, RealPlan plan);
  RealFleet(const RealFleet&) = delete;
  RealFleet& operator=(const RealFleet&) = delete;
  ~RealFleet();
  /// Starts back ends and processes; false when something didn't start.
  bool start();
  void start_child(Child& child);
  void signal(Child& child, int number);
  /// Waits for a child's end and returns its status.
  int reap(Child& child);
  /// Serves the back ends until the condition holds or the time is over.
  bool pump(const std::function<bool()>& done, Moment within);
  Reply ask(const std::string& method, const std::string& address, const std::string& path,
            const std::vector<Header>& headers, const std::string& body, Moment within = 10000);
  /// Asks until the answer has a status below 300 or the time is over.
  Reply ask_until_good(const std::string& method, const std::string& address, const std::string& path,
                       const std::vector<Header>& headers, const std::string& body, Moment within);
  std::vector<Child> controls;
  std::vector<Child> datas;
  Loop& loop() { return loop_; }
  Back& back() { return *back_; }
  const std::string& folder() const { return folder_; }

 private:
  Loop loop_;
  std::string binaries_;
  RealPlan plan_;
  std::string folder_;
  std::unique_ptr<Back> back_;
};

/// A free port on 127.0.0.1 as "127.0.0.1:port".
std::string free_address();

}  // namespace weldsail
