#pragma once
#include <map>
#include <memory>
#include <string>

#include "core/effect.hpp"
#include "shell/connectionpool.hpp"
#include "shell/loop.hpp"

namespace weldsail {

/// Opens pipes: one HTTP request each, on pooled connections where the effect allows.
class Client {
 public:
  /// `idle`: how long a connection is kept for reuse when its last answer says nothing of it, in milliseconds.
  explicit Client(Loop& loop, Moment idle = 4000);
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  ~Client();
  void open(const OpenPipe& effect);
  void cancel(std::uint64_t pipe);
  /// Ends pipes that are past a due time, and drops connections that were idle for too long.
  void sweep(Moment now);
  /// Tells of heads, bytes and ends.
  sigc::signal<void(const Event&)> told;
  std::size_t open_pipes() const { return exchanges_.size(); }
  std::size_t idle_connections() const { return pool_.size(); }

 private:
  struct Exchange;
  static void on_connect(h2o_socket_t* socket, const char* error);
  static void on_written(h2o_socket_t* socket, const char* error);
  static void on_read(h2o_socket_t* socket, const char* error);
  void connect(Exchange& exchange);
  void send(Exchange& exchange);
  void take(Exchange& exchange, const char* error);
  void release(Exchange& exchange, bool reusable);
  void end(std::uint64_t pipe, bool whole, std::string reason);

  Loop& loop_;
  ConnectionPool pool_;
  std::map<std::uint64_t, std::unique_ptr<Exchange>> exchanges_;
  Moment idle_;
  Moment next_pool_sweep_ = 0;
};

}  // namespace weldsail
