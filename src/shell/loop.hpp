#pragma once
#include <h2o.h>
#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>

namespace weldsail {

/// Milliseconds on the monotonic clock.
std::int64_t monotonic_now();
/// A random number from the system.
std::uint64_t random_number();

/// The one loop of a process; h2o's own loop lives until the process ends, as its servers' timeouts do.
class Loop {
 public:
  Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  /// Runs until `stop` is called.
  void run();
  /// Handles what is ready, waiting at most the given time.
  void step(int milliseconds);
  /// Tells of writes that are done already, without a look at the descriptors.
  void settle();
  void stop() { stopped_ = true; }
  h2o_loop_t* raw() { return loop_; }

 private:
  h2o_loop_t* loop_;
  bool stopped_ = false;
};

/// Tells when a descriptor can be read.
class Readable {
 public:
  Readable(Loop& loop, int descriptor, std::function<void()> ready);
  Readable(const Readable&) = delete;
  Readable& operator=(const Readable&) = delete;
  ~Readable();

 private:
  h2o_socket_t* socket_;
  std::function<void()> ready_;
};

/// A repeating alarm on the monotonic clock.
class Alarm {
 public:
  Alarm(Loop& loop, std::int64_t period);
  sigc::signal<void()> fired;

 private:
  int descriptor_;
  Readable readable_;
};

/// Tells of signals on the loop: SIGTERM and SIGINT as raised, SIGHUP as hung up.
class Interrupts {
 public:
  explicit Interrupts(Loop& loop);
  sigc::signal<void()> raised;
  sigc::signal<void()> hung_up;

 private:
  void take();
  int descriptor_;
  Readable readable_;
};

}  // namespace weldsail
