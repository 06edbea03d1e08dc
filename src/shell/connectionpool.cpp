#include "shell/connectionpool.hpp"

#include <sys/socket.h>

#include <cerrno>

namespace weldsail {

bool rests(h2o_socket_t* socket) {
  char byte = 0;
  const auto got = recv(h2o_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

ConnectionPool::~ConnectionPool() {
  for (const auto& [address, items] : idle_)
    for (const auto& item : items) h2o_socket_close(item.socket);
}

void ConnectionPool::put(const std::string& address, h2o_socket_t* socket, Moment expires) {
  auto& items = idle_[address];
  items.push_back({this, address, socket, expires});
  socket->data = &items.back();
  // The buffer is empty; a resting connection needs none.
  h2o_buffer_dispose(&socket->input);
  h2o_buffer_init(&socket->input, &h2o_socket_buffer_prototype);
  h2o_socket_read_start(socket, on_event);
}

h2o_socket_t* ConnectionPool::take(const std::string& address, Moment now) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) return nullptr;
  auto& items = found->second;
  while (!items.empty()) {
    const auto item = std::move(items.back());
    items.pop_back();
    if (now < item.expires && rests(item.socket)) return item.socket;
    h2o_socket_close(item.socket);
  }
  return nullptr;
}

void ConnectionPool::sweep(Moment now) {
  for (auto place = idle_.begin(); place != idle_.end();) {
    place->second.remove_if([&](const Idle& item) {
      const bool expired = now >= item.expires;
      if (expired) h2o_socket_close(item.socket);
      return expired;
    });
    place = place->second.empty() ? idle_.erase(place) : std::next(place);
  }
}

std::size_t ConnectionPool::size() const {
  std::size_t count = 0;
  for (const auto& [address, items] : idle_) count += items.size();
  return count;
}

void ConnectionPool::on_event(h2o_socket_t* socket, const char*) {
  const auto& item = *static_cast<Idle*>(socket->data);
  auto& items = item.owner->idle_[item.address];
  items.remove_if([&](const Idle& other) { return other.socket == socket; });
  h2o_socket_close(socket);
}

}  // namespace weldsail
