#pragma once
#include <catch2/catch.hpp>

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>

#include "shell/server.hpp"

namespace weldsail {

/// Steps the loop until the condition holds; false when it doesn't within three seconds.
inline bool pump(Loop& loop, const std::function<bool()>& done) {
  const auto end = monotonic_now() + 3000;
  while (!done()) {
    if (monotonic_now() >= end) return false;
    loop.step(1);
  }
  return true;
}

/// One end of a connection, without a library that knows HTTP.
class RawSocket {
 public:
  explicit RawSocket(int descriptor) : descriptor_(descriptor) { fcntl(descriptor, F_SETFL, O_NONBLOCK); }
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;
  ~RawSocket() { close(descriptor_); }
  void say(const std::string& text) const {
    CHECK(send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
  }
  /// Says what the other end still takes.
  void try_say(const std::string& text) const { send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL); }
  /// Takes what has come.
  void hear() {
    char part[4096];
    while (!ended) {
      const auto count = recv(descriptor_, part, sizeof(part), 0);
      if (count < 0 && errno == EAGAIN) return;
      if (count > 0) got.append(part, static_cast<std::size_t>(count));
      ended = count <= 0;
      reset = count < 0;
    }
  }
  std::string got;
  bool ended = false;
  bool reset = false;

 private:
  int descriptor_;
};

/// Connects to an address.
inline std::unique_ptr<RawSocket> raw_caller(const std::string& address) {
  const auto place = read_address(address);
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  REQUIRE(connect(descriptor, reinterpret_cast<const sockaddr*>(&*place), sizeof(*place)) == 0);
  return std::make_unique<RawSocket>(descriptor);
}

}  // namespace weldsail
