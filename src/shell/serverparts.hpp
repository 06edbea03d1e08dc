#pragma once
#include "shell/server.hpp"

namespace weldsail {

/// A request that has no whole answer yet.
struct Server::Pending {
  h2o_generator_t generator;
  h2o_req_t* request;
  Server* server;
  std::uint64_t number;
  std::string* unsent;
  std::string* sending;
  bool started;
  bool busy;
  bool ending;
  bool whole;
  bool ended;
  bool told_gone;
  /// Something of the answer has been handed to the connection.
  bool begun;
  /// The answer has no body whatever its head says: it is for a HEAD, or of a status without one.
  bool bodiless;
  /// Bytes of the body that are still to come; SIZE_MAX when the length isn't told beforehand.
  std::size_t left;
  Moment ended_at;
  h2o_socket_t* socket() const { return request->conn->callbacks->get_socket(request->conn); }
};

/// An open pipe of an asker.
struct Server::Pipe {
  Server* server;
  int door;
  h2o_socket_t* socket;
  /// When the last request ended, or when the next one began to come, as the sweeps have seen it.
  Moment since;
  /// Bytes that had been read when the last request ended.
  std::size_t bytes;
  /// A request has begun to come that isn't whole yet.
  bool begun;
  /// A whole request has come on it.
  bool used = false;
  /// One has come since the last sweep.
  bool used_lately = false;
  /// h2o's own reader, which `on_input` stands before.
  h2o_socket_cb http_read = nullptr;
  /// Bytes of the request that is coming, as counted.
  std::size_t reserved = 0;
  /// The request that was coming was refused: what still comes is thrown away.
  bool refused = false;
  /// Closed by this server, though the loop may still read what came before.
  bool closed = false;
};

/// A place where askers come in.
struct Server::Listener {
  Server* server;
  int door;
  h2o_socket_t* socket;
};

/// The first version of HTTP that can send a body in chunks.
inline constexpr int version_with_chunks = 0x101;

/// Gives the memory of a copied body in h2o's input back to the system, where that is worth a call.
void give_back(const h2o_iovec_t& copied);

/// Cuts a pipe both ways; its end is seen on the loop.
void shut(h2o_socket_t* socket);

}  // namespace weldsail
