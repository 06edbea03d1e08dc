#pragma once
#include <netinet/in.h>

#include <string>

#include "core/forwarding/outcome.hpp"

namespace weldsail {

/// Splits "host:port"; nothing when it isn't an IP number and a port.
Outcome<sockaddr_in> read_address(const std::string& address);

/// A listening descriptor and the address that it got.
struct Listening {
  int descriptor;
  std::string address;
};
/// Listens on "host:port"; port 0 takes a free one.
Outcome<Listening> listen_on(const std::string& address);

}  // namespace weldsail
