#pragma once
#include <list>
#include <map>
#include <string>

#include "core/event.hpp"
#include "shell/loop.hpp"

namespace weldsail {

/// True when a connection is open and nothing has come on it, as far as the system knows by now.
bool rests(h2o_socket_t* socket);

/// Connections that rest between two exchanges, by address. Each is watched while it rests: whatever comes then, bytes
/// or the end, belongs to no request, and the connection is dropped.
class ConnectionPool {
 public:
  ConnectionPool() = default;
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;
  ~ConnectionPool();
  /// Keeps a connection on which nothing is under way until `expires`, in milliseconds of the monotonic clock.
  void put(const std::string& address, h2o_socket_t* socket, Moment expires);
  /// The connection that was used last and is still good; null when there is none.
  h2o_socket_t* take(const std::string& address, Moment now);
  /// Drops the connections whose time is over.
  void sweep(Moment now);
  std::size_t size() const;

 private:
  struct Idle {
    ConnectionPool* owner;
    std::string address;
    h2o_socket_t* socket;
    Moment expires;
  };
  static void on_event(h2o_socket_t* socket, const char* error);
  std::map<std::string, std::list<Idle>> idle_;
};

}  // namespace weldsail
