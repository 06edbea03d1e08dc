#pragma once
#include <netinet/in.h>
#include <poll.h>

#include <atomic>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace weldsail::soak {

/// What a rule does to the bytes of a connection.
enum class LinkFault {
  /// Connections are closed, and new ones at once.
  closed,
  /// Nothing is read; what was sent waits.
  stalled,
  /// At most so many bytes a millisecond pass, for all connections of the rule together.
  throttled,
  /// Bytes are read and thrown away; the connection is closed once the rule is lifted.
  discarded
};

/// Which channel of a process a connection belongs to.
enum class ChannelKind { peers, callers, workers };

/// Any process, and whoever isn't one of the fleet.
inline constexpr int any_process = -1;

/// A fault of the links that it names, in one direction or both.
struct LinkRule {
  LinkFault fault = LinkFault::closed;
  ChannelKind kind = ChannelKind::peers;
  int source = any_process;
  int target = any_process;
  /// From the side that connected to the one that listens, and back.
  bool forward = true;
  bool backward = true;
  double bytes_per_ms = 0;
};

/// Relays TCP connections on loopback to processes that listen elsewhere, in a thread of its own.
class Relay {
 public:
  Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;
  ~Relay();
  /// Listens at `address` for a process that listens at the same port of `host`; false when that can't be had.
  bool add(const std::string& address, const std::string& host, int process, ChannelKind kind);
  /// Puts a rule in force and returns its number.
  int impose(const LinkRule& rule);
  void lift(int number);
  void lift_all();
  /// Bytes that were passed on between processes, from the connecting side to the listening one.
  std::uint64_t peer_bytes() const { return peer_bytes_; }

 private:
  struct Channel {
    int listener;
    sockaddr_in target;
    int process;
    ChannelKind kind;
  };
  struct Flow {
    int from = -1;
    int to = -1;
    bool forward = true;
    bool ended = false;
    std::string bytes;
  };
  struct Connection {
    int source;
    int target;
    ChannelKind kind;
    Flow there;
    Flow back;
    /// Bytes are missing in it.
    bool torn = false;
    bool closed = false;
  };
  struct Imposed {
    LinkRule rule;
    double allowance = 0;
  };
  void run();
  void turn();
  void accept_from(const Channel& channel);
  void refill();
  Imposed* find(const Connection& connection, const Flow& flow, LinkFault fault);
  bool may_read(const Connection& connection, const Flow& flow);
  void serve(Connection& connection);
  void move(Connection& connection, Flow& flow);
  void drop_closed();

  std::mutex mutex_;
  std::vector<Channel> channels_;
  std::list<Connection> connections_;
  std::map<int, Imposed> rules_;
  std::vector<pollfd> polled_;
  std::int64_t refilled_ = 0;
  std::vector<char> scratch_;
  int next_rule_ = 1;
  std::atomic<std::uint64_t> peer_bytes_ = 0;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

}  // namespace weldsail::soak
