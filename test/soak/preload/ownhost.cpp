#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdlib>
#include <cstring>

/// Gives a process loopback hosts of its own: preloaded, it moves what the process listens on from 127.0.0.1 to the
/// host that WELDSAIL_LISTEN_HOST names, at the same port, and connects from the host in WELDSAIL_CONNECT_HOST. A relay
/// can then stand at the address which the process announces, and tells by the host who connects.

namespace {

const sockaddr_in* plain_loopback(const sockaddr* address, socklen_t length) {
  if (address == nullptr || address->sa_family != AF_INET || length < sizeof(sockaddr_in)) return nullptr;
  const auto* place = reinterpret_cast<const sockaddr_in*>(address);
  return place->sin_addr.s_addr == htonl(INADDR_LOOPBACK) ? place : nullptr;
}

bool read_host(const char* name, sockaddr_in& place) {
  const char* text = std::getenv(name);
  return text != nullptr && inet_pton(AF_INET, text, &place.sin_addr) == 1;
}

using SocketCall = int (*)(int, const sockaddr*, socklen_t);

SocketCall real(const char* name) { return reinterpret_cast<SocketCall>(dlsym(RTLD_NEXT, name)); }

}  // namespace

extern "C" int bind(int descriptor, const sockaddr* address, socklen_t length) noexcept {
  static const auto real_bind = real("bind");
  const auto* plain = plain_loopback(address, length);
  sockaddr_in moved{};
  if (plain == nullptr) return real_bind(descriptor, address, length);
  moved = *plain;
  if (!read_host("WELDSAIL_LISTEN_HOST", moved)) return real_bind(descriptor, address, length);
  return real_bind(descriptor, reinterpret_cast<const sockaddr*>(&moved), sizeof(moved));
}

extern "C" int connect(int descriptor, const sockaddr* address, socklen_t length) {
  static const auto real_bind = real("bind");
  static const auto real_connect = real("connect");
  sockaddr_in own{};
  own.sin_family = AF_INET;
  if (plain_loopback(address, length) != nullptr && read_host("WELDSAIL_CONNECT_HOST", own)) {
    const int on = 1;
    setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
    if (real_bind(descriptor, reinterpret_cast<const sockaddr*>(&own), sizeof(own)) != 0) return -1;
  }
  return real_connect(descriptor, address, length);
}
