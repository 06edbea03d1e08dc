// HTTP over blocking sockets, with a thread for each connection of a server; loopback addresses only.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <thread>

namespace standins {

struct Message {
  std::string first;  // request line or status line
  std::map<std::string, std::string> headers;
  std::string body;
  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
  }
  int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
  std::string method() const { return first.substr(0, first.find(' ')); }
  std::string target() const {
    const auto begin = first.find(' ') + 1;
    return first.substr(begin, first.find(' ', begin) - begin);
  }
};

inline bool write_all(int socket, const std::string& bytes) {
  for (std::size_t done = 0; done < bytes.size();) {
    const auto wrote = ::send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (wrote <= 0) return false;
    done += static_cast<std::size_t>(wrote);
  }
  return true;
}

/// Reads a head, and nothing behind it is lost: it stays in `buffer`.
inline bool read_head(int socket, std::string& buffer, Message& message) {
  std::size_t end = std::string::npos;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    char part[16384];
    const auto got = ::recv(socket, part, sizeof(part), 0);
    if (got <= 0) return false;
    buffer.append(part, static_cast<std::size_t>(got));
  }
  std::istringstream lines(buffer.substr(0, end));
  buffer.erase(0, end + 4);
  std::getline(lines, message.first);
  if (!message.first.empty() && message.first.back() == '\r') message.first.pop_back();
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    for (auto& letter : name) letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    const auto begin = line.find_first_not_of(' ', colon + 1);
    message.headers[name] = begin == std::string::npos ? std::string() : line.substr(begin);
  }
  return true;
}

inline bool read_more(int socket, std::string& buffer) {
  char part[65536];
  const auto got = ::recv(socket, part, sizeof(part), 0);
  if (got <= 0) return false;
  buffer.append(part, static_cast<std::size_t>(got));
  return true;
}

/// Reads a body with a length or in chunks; `on_bytes` hears of each part. False when it is cut.
inline bool read_body(int socket, std::string& buffer, Message& message,
                      const std::function<void(const std::string&)>& on_bytes = {}) {
  const auto take = [&](std::size_t count) {
    const auto part = buffer.substr(0, count);
    buffer.erase(0, count);
    message.body += part;
    if (on_bytes && !part.empty()) on_bytes(part);
  };
  if (message.header("transfer-encoding") == "chunked") {
    while (true) {
      std::size_t end = std::string::npos;
      while ((end = buffer.find("\r\n")) == std::string::npos)
        if (!read_more(socket, buffer)) return false;
      const auto size = std::strtoul(buffer.c_str(), nullptr, 16);
      buffer.erase(0, end + 2);
      while (buffer.size() < size + 2)
        if (!read_more(socket, buffer)) return false;
      if (size > 0) take(size);
      buffer.erase(0, 2);
      if (size == 0) return true;
    }
  }
  auto left = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
  while (left > 0) {
    if (buffer.empty() && !read_more(socket, buffer)) return false;
    const auto count = std::min<std::size_t>(left, buffer.size());
    take(count);
    left -= count;
  }
  return true;
}

inline sockaddr_in place_of(const std::string& address) {
  const auto colon = address.rfind(':');
  sockaddr_in place{};
  place.sin_family = AF_INET;
  place.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &place.sin_addr);
  return place;
}

/// Connects within a second; -1 without a connection.
inline int connect_to(const std::string& address, int receive_ms = 0) {
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto place = place_of(address);
  fcntl(handle, F_SETFL, O_NONBLOCK);
  if (::connect(handle, reinterpret_cast<const sockaddr*>(&place), sizeof(place)) != 0 && errno == EINPROGRESS) {
    pollfd waits{handle, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (::poll(&waits, 1, 1000) != 1 || getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      ::close(handle);
      return -1;
    }
  }
  fcntl(handle, F_SETFL, 0);
  const int on = 1;
  setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (receive_ms > 0) {
    timeval time{receive_ms / 1000, receive_ms % 1000 * 1000};
    setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
  }
  return handle;
}

inline int listen_at(const std::string& address) {
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto place = place_of(address);
  if (::bind(handle, reinterpret_cast<const sockaddr*>(&place), sizeof(place)) != 0 || ::listen(handle, 512) != 0) {
    ::close(handle);
    return -1;
  }
  return handle;
}

/// A port that is free on all loopback hosts that the scripts use, and the ones behind it too.
inline int free_ports(int count) {
  for (int begin = 21000 + static_cast<int>(getpid() % 200) * 40; begin < 60000; begin += 40) {
    bool free = true;
    for (int port = begin; free && port < begin + count; ++port) {
      const int handle = listen_at("0.0.0.0:" + std::to_string(port));
      free = handle >= 0;
      if (handle >= 0) ::close(handle);
    }
    if (free) return begin;
  }
  return 0;
}

/// A server with a thread for each connection. The handler answers on the socket and says whether it is kept.
class Server {
 public:
  using Handler = std::function<bool(int socket, Message& request)>;
  bool start(const std::string& address, Handler handler) {
    address_ = address;
    listener_ = listen_at(address);
    if (listener_ < 0) return false;
    std::thread([this, handler] {
      while (true) {
        const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) return;
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([socket, handler] {
          std::string buffer;
          while (true) {
            Message request;
            if (!read_head(socket, buffer, request) || !read_body(socket, buffer, request)) break;
            if (!handler(socket, request)) break;
          }
          ::close(socket);
        }).detach();
      }
    }).detach();
    return true;
  }
  const std::string& address() const { return address_; }

 private:
  std::string address_;
  int listener_ = -1;
};

inline bool reply(int socket, int status, const std::string& headers, const std::string& body) {
  return write_all(socket, "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
                               "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

/// One exchange on a connection of its own; status 0 without a whole answer.
inline Message ask(const std::string& address, const std::string& method, const std::string& target,
                   const std::string& headers, const std::string& body, int patience_ms) {
  Message answer;
  const int socket = connect_to(address, patience_ms);
  if (socket < 0) return answer;
  std::string buffer;
  const auto text = method + " " + target + " HTTP/1.1\r\n" + headers + "content-length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body;
  if (!write_all(socket, text) || !read_head(socket, buffer, answer) || !read_body(socket, buffer, answer))
    answer = {};
  ::close(socket);
  return answer;
}

}  // namespace standins
