#pragma once
#include <map>
#include <memory>
#include <string>

#include "core/effect.hpp"
#include "shell/loop.hpp"

namespace weldsail {

/// Opens pipes: one HTTP request each, pooled where the effect allows.
class Client {
 public:
  explicit Client(Loop& loop);
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  ~Client();
  void open(const OpenPipe& effect);
  void cancel(std::uint64_t pipe);
  /// Ends pipes that are past their due time.
  void sweep(Moment now);
  /// Tells of heads, bytes and ends.
  sigc::signal<void(const Event&)> told;
  std::size_t open_pipes() const { return pipes_.size(); }

 private:
  struct Pipe;
  static h2o_http1client_head_cb on_connect(h2o_http1client_t* client, const char* error, h2o_iovec_t** buffers,
                                            std::size_t* count, int* is_head);
  static h2o_http1client_body_cb on_head(h2o_http1client_t* client, const char* error, int minor, int status,
                                         h2o_iovec_t message, h2o_header_t* headers, std::size_t count, int length);
  static int on_body(h2o_http1client_t* client, const char* error);
  void end(Pipe& pipe, bool whole, std::string reason);
  h2o_socketpool_t* pool_for(const std::string& address);

  Loop& loop_;
  h2o_http1client_ctx_t context_{};
  std::map<std::uint64_t, std::unique_ptr<Pipe>> pipes_;
  std::map<std::string, std::unique_ptr<h2o_socketpool_t>> pools_;
};

}  // namespace weldsail
