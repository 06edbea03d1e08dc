#pragma once
#include <cstdint>
#include <string>

namespace weldsail::soak {

/// Loopback hosts of the processes of one run: each listens on one and connects from another.
inline constexpr std::uint32_t listen_hosts = 0x7f000300;   // 127.0.3.0
inline constexpr std::uint32_t connect_hosts = 0x7f000400;  // 127.0.4.0
inline constexpr int processes_most = 100;

inline std::string host_of(std::uint32_t network, int process) {
  const auto host = network + static_cast<std::uint32_t>(process) + 1;
  return "127.0." + std::to_string((host >> 8U) & 0xffU) + "." + std::to_string(host & 0xffU);
}

/// The process that connects from a host; -1 for whoever isn't one of the fleet.
inline int process_of_host(std::uint32_t host) {
  const auto offset = static_cast<std::int64_t>(host) - connect_hosts - 1;
  return offset >= 0 && offset < processes_most ? static_cast<int>(offset) : -1;
}

/// The same port of a process's own host.
inline std::string direct_address(const std::string& announced, int process) {
  return host_of(listen_hosts, process) + announced.substr(announced.rfind(':'));
}

}  // namespace weldsail::soak
