#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <set>
#include <utility>

#include "shell/connectionpool.hpp"
#include "shell/serverparts.hpp"

namespace weldsail {
namespace {

constexpr int accepts_per_turn = 16;
constexpr Moment sweep_pause = 250;
/// Part of the memory for requests that unsent answers may take.
constexpr std::size_t unsent_parts = 2;

bool has_input(const h2o_socket_t* socket) { return socket->input != nullptr && socket->input->size > 0; }

}  // namespace

void shut(h2o_socket_t* socket) { shutdown(h2o_socket_get_fd(socket), SHUT_RDWR); }

void Server::on_accept(h2o_socket_t* listener, const char* error) {
  if (error != nullptr) return;
  const auto& place = *static_cast<Listener*>(listener->data);
  auto* server = place.server;
  for (int turn = 0; turn < accepts_per_turn; ++turn) {
    auto* socket = h2o_evloop_socket_accept(listener);
    if (socket == nullptr) {
      // Without a descriptor left the listener would be ready again at once; the next sweep goes on.
      if (errno == EMFILE || errno == ENFILE) h2o_socket_read_stop(listener);
      return;
    }
    const int on = 1;
    setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    if (server->pipes_.size() >= server->limits_.pipes) {
      h2o_socket_close(socket);
      continue;
    }
    auto pipe = std::make_unique<Pipe>(Pipe{server, place.door, socket, monotonic_now(), 0, false});
    socket->on_close = {on_close, pipe.get()};
    server->pipes_[socket] = std::move(pipe);
    h2o_accept(&server->accept_, socket);
    if (const auto accepted = server->pipes_.find(socket); accepted != server->pipes_.end())
      watch_input(*accepted->second);
  }
}

void Server::on_close(void* memory) {
  auto* pipe = static_cast<Pipe*>(memory);
  pipe->server->release_input(*pipe);
  pipe->server->pipes_.erase(pipe->socket);
}

/// Sees to it that nobody takes an answer for whole whose head can't show that it was cut.
void Server::show_cut(Pending& pending) {
  const bool chunked = pending.left == SIZE_MAX && pending.request->version >= version_with_chunks;
  const bool seen = !pending.bodiless && (chunked || (pending.left != SIZE_MAX && pending.left > 0));
  if (seen && !pending.begun) return shut(pending.socket());
  if (seen) {
    // Nothing may follow the last whole chunk: no client can read what h2o would add.
    shutdown(h2o_socket_get_fd(pending.socket()), SHUT_WR);
    return;
  }
  const linger reset{1, 0};
  setsockopt(h2o_socket_get_fd(pending.socket()), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  if (!pending.begun) shut(pending.socket());
}

void Server::sweep_gone() {
  std::vector<std::uint64_t> lost;
  for (const auto& [number, pending] : pending_) {
    if (pending->told_gone || pending->ended) continue;
    auto* socket = pending->socket();
    char byte = 0;
    if (socket != nullptr && recv(h2o_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
      lost.push_back(number);
  }
  for (const auto number : lost) {
    const auto found = pending_.find(number);
    if (found == pending_.end()) continue;
    found->second->told_gone = true;
    gone.emit(number);
    end({number, false});
  }
}

void Server::sweep_pipes(Moment now) {
  std::set<h2o_socket_t*> answering;
  for (const auto& [number, pending] : pending_) {
    auto* socket = pending->socket();
    answering.insert(socket);
    if (!pending->ending) continue;
    if (pending->ended_at == 0) pending->ended_at = now;
    if (now - pending->ended_at > limits_.transfer) shut(socket);
  }
  for (auto& [socket, pipe] : pipes_) {
    const bool used_lately = std::exchange(pipe->used_lately, false);
    if (used_lately || answering.contains(socket)) {
      pipe->since = now;
      pipe->bytes = socket->bytes_read;
      pipe->begun = false;
      continue;
    }
    if (!pipe->begun && socket->bytes_read != pipe->bytes) {
      pipe->begun = true;
      pipe->since = now;
    }
    if (now - pipe->since > (pipe->begun ? limits_.transfer : limits_.idle)) shut(socket);
  }
}

void Server::sweep_unsent() {
  std::size_t all = 0;
  Pending* largest = nullptr;
  const auto size_of = [](const Pending& pending) { return pending.unsent->size() + pending.sending->size(); };
  for (const auto& [number, pending] : pending_) {
    all += size_of(*pending);
    if (largest == nullptr || size_of(*pending) > size_of(*largest)) largest = pending;
  }
  if (all > limits_.held / unsent_parts) shut(largest->socket());
}

void Server::observe(TransportFigures& figures) const {
  figures.caller_connections = pipes_.size();
  figures.body_bytes = budget_.used();
  figures.body_bytes_limit = budget_.limit();
  figures.bodies_refused = bodies_refused_;
}

void Server::close_resting() {
  std::set<h2o_socket_t*> answering;
  for (const auto& [number, pending] : pending_) answering.insert(pending->socket());
  for (const auto& [socket, pipe] : pipes_) {
    if (!pipe->used || has_input(socket) || answering.contains(socket) || !rests(socket)) continue;
    pipe->closed = true;
    shut(socket);
  }
}

bool Server::receiving() const {
  std::set<h2o_socket_t*> answering;
  for (const auto& [number, pending] : pending_) answering.insert(pending->socket());
  return std::ranges::any_of(
      pipes_, [&](const auto& item) { return has_input(item.first) && !answering.contains(item.first); });
}

bool Server::writing() const {
  return std::ranges::any_of(pending_, [](const auto& item) { return item.second->ending; });
}

void Server::sweep(Moment now) {
  if (now < next_sweep_) return;
  next_sweep_ = now + sweep_pause;
  for (const auto& listener : listeners_)
    if (!h2o_socket_is_reading(listener->socket)) h2o_socket_read_start(listener->socket, on_accept);
  sweep_gone();
  sweep_pipes(now);
  sweep_unsent();
}

}  // namespace weldsail
