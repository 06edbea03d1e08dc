#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/effect.hpp"
#include "core/forwarding/outcome.hpp"
#include "core/traffic.hpp"
#include "shell/address.hpp"
#include "shell/bodybudget.hpp"
#include "shell/loop.hpp"

namespace weldsail {

/// What a listener allows, so that a few askers can't wedge it.
struct ServerLimits {
  std::size_t body = 1U << 20U;
  std::size_t pipes = 4096;
  std::size_t unsent = 1U << 20U;
  /// Memory of all requests, from their first bytes to the last use of their bodies. Half of it may be unsent answers.
  std::size_t held = 64U << 20U;
  /// Longest time without a request on an open pipe.
  Moment idle = 60000;
  /// Longest time for a whole request to come in, or for the rest of an ended answer to be read.
  Moment transfer = 30000;
};

/// An HTTP listener: tells of whole requests and takes answers by request number.
class Server {
 public:
  Server(Loop& loop, const ServerLimits& limits);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server();
  /// Listens on "host:port" too; port 0 takes a free one. Requests that come through it tell the door.
  Outcome<std::string> listen(const std::string& address, int door = 0);
  /// Stops taking connections.
  void close();

  sigc::signal<void(const RequestArrived&)> arrived;
  sigc::signal<void(std::uint64_t)> gone;

  void answer(const Answer& effect);
  void head(const AnswerHead& effect);
  void bytes(const AnswerBytes& effect);
  void end(const AnswerEnd& effect);
  /// From now on every answer asks to close its connection, and the connection is closed after it.
  void close_after_answers() { closes_after_answers_ = true; }
  /// Closes the connections that have carried a request and on which none is under way.
  void close_resting();
  /// True while an ended answer isn't yet handed to the system whole.
  bool writing() const;
  /// True while a request has begun to come and isn't whole yet.
  bool receiving() const;
  /// Looks for askers that have closed their pipe, and closes pipes that are past the limits.
  void sweep(Moment now);
  std::size_t open_pipes() const { return pipes_.size(); }
  /// Adds what this listener counts.
  void observe(TransportFigures& figures) const;

 private:
  struct Pending;
  struct Pipe;
  struct Handler;
  struct Listener;
  static int on_request(h2o_handler_t* handler, h2o_req_t* request);
  static void on_accept(h2o_socket_t* listener, const char* error);
  static void on_proceed(h2o_generator_t* generator, h2o_req_t* request);
  static void on_dispose(void* memory);
  static void on_close(void* memory);
  static void on_input(h2o_socket_t* socket, const char* error);
  static void on_rewatch(h2o_timeout_entry_t* entry);
  /// Looks at what comes on a pipe before h2o does, until its request is whole.
  static void watch_input(Pipe& pipe);
  /// The same once the pipe's request has ended and h2o waits for the next one.
  void rewatch_later(h2o_socket_t* socket);
  /// Counts what has come and what is announced; false where it doesn't fit.
  bool admit(Pipe& pipe);
  void release_input(Pipe& pipe);
  /// Refuses the request that is coming; the rest of it is thrown away.
  void refuse_body(Pipe& pipe);
  /// Ends the slowest reader's answer while unsent answers take too much memory.
  void sweep_unsent();
  void sweep_gone();
  void sweep_pipes(Moment now);
  void flush(Pending& pending);
  static void show_cut(Pending& pending);
  Pending* find(std::uint64_t request);
  void start(Pending& pending, const AnswerHead& head);

  Loop& loop_;
  h2o_globalconf_t configuration_{};
  h2o_context_t context_{};
  h2o_accept_ctx_t accept_{};
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::map<std::uint64_t, Pending*> pending_;
  std::map<h2o_socket_t*, std::unique_ptr<Pipe>> pipes_;
  ServerLimits limits_;
  BodyBudget budget_;
  std::uint64_t bodies_refused_ = 0;
  /// An alarm of h2o's loop that knows its server.
  struct Rewatch {
    h2o_timeout_entry_t entry;
    Server* server;
  };
  Rewatch rewatch_{};
  std::vector<h2o_socket_t*> rewatched_;
  bool closes_after_answers_ = false;
  Moment next_sweep_ = 0;
  std::uint64_t next_ = 1;
};

}  // namespace weldsail
