#pragma once
#include <map>
#include <memory>
#include <string>

#include "core/traffic.hpp"
#include "shell/address.hpp"
#include "shell/frame.hpp"
#include "shell/loop.hpp"
#include "wire.pb.h"

namespace weldsail {

/// Carries messages between weldsail's own processes: one connection for each direction, messages one after the other
/// with their length in front. A message may be lost, with all that wait behind it.
class Messenger {
 public:
  explicit Messenger(Loop& loop);
  Messenger(const Messenger&) = delete;
  Messenger& operator=(const Messenger&) = delete;
  ~Messenger();
  /// Listens on "host:port"; port 0 takes a free one.
  Outcome<std::string> listen(const std::string& address);
  /// Puts a message behind those for the same address, unless too much waits there or on all connections together.
  void send(const std::string& address, const wire::Envelope& envelope);
  /// Bytes that wait on all connections together.
  std::size_t waiting_bytes() const { return waiting_; }
  /// Writes what was put since the last time.
  void flush();
  /// Drops connections that stall or have been idle for long.
  void sweep(std::int64_t now);
  /// Adds what was sent and received so far, and what waits.
  void observe(TransportFigures& figures) const;
  /// Ends all connections and stops listening.
  void close();
  sigc::signal<void(wire::Envelope&)> arrived;

 private:
  struct Link;
  struct Inbound;
  static void on_accept(h2o_socket_t* listener, const char* error);
  static void on_read(h2o_socket_t* socket, const char* error);
  static void on_connect(h2o_socket_t* socket, const char* error);
  static void on_written(h2o_socket_t* socket, const char* error);
  static void on_echo(h2o_socket_t* socket, const char* error);
  /// True where a message of the size may join a link's queue.
  bool has_room(const Link& link, std::size_t size) const;
  Link* link_to(const std::string& address);
  void write(Link& link);
  void drop(Link& link);
  bool take(Inbound& inbound);

  Loop& loop_;
  h2o_socket_t* listener_ = nullptr;
  std::map<std::string, std::unique_ptr<Link>> links_;
  std::map<h2o_socket_t*, std::unique_ptr<Inbound>> inbound_;
  /// Addresses of processes that know only requests, and until when that is believed.
  std::map<std::string, std::int64_t> former_;
  std::int64_t next_sweep_ = 0;
  bool unwritten_ = false;
  TrafficByKind sent_;
  TrafficByKind received_;
  std::uint64_t dropped_ = 0;
  std::size_t waiting_ = 0;
};

}  // namespace weldsail
