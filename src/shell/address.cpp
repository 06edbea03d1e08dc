#include "shell/address.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <charconv>

namespace weldsail {

Outcome<sockaddr_in> read_address(const std::string& address) {
  const auto colon = address.rfind(':');
  sockaddr_in result{};
  result.sin_family = AF_INET;
  std::uint16_t port = 0;
  if (colon == std::string::npos) return broke_down(Breakdown::address_unusable);
  const auto* end = address.data() + address.size();
  const auto read = std::from_chars(address.data() + colon + 1, end, port);
  if (read.ec != std::errc() || read.ptr != end) return broke_down(Breakdown::address_unusable);
  if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) != 1)
    return broke_down(Breakdown::address_unusable);
  result.sin_port = htons(port);
  return result;
}

Outcome<Listening> listen_on(const std::string& address) {
  const auto parsed = read_address(address);
  if (!parsed) return std::unexpected(parsed.error());
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  auto place = *parsed;
  socklen_t length = sizeof(place);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&place), length) != 0 || listen(descriptor, SOMAXCONN) != 0) {
    const std::error_code cause(errno, std::generic_category());
    close(descriptor);
    return std::unexpected(cause);
  }
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&place), &length);
  return Listening{descriptor, address.substr(0, address.rfind(':') + 1) + std::to_string(ntohs(place.sin_port))};
}

}  // namespace weldsail
