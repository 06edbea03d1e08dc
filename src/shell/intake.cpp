// What callers send is counted as it comes, before h2o holds a whole request: a body that doesn't fit is refused by its
// announced length, or by what has come of it, and the rest of it is read and thrown away.
#include <http_parser.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string_view>

#include "shell/serverparts.hpp"

namespace weldsail {
namespace {

/// Requests below this size aren't counted: the number of pipes bounds them.
constexpr std::size_t uncounted_bytes = 4096;
/// Longest head in which a body's length is looked for.
constexpr std::size_t head_most = 64U << 10U;
/// Bodies from this size on are given back to the system where h2o holds them, once they have been copied.
constexpr std::size_t given_back_bytes = 64U << 10U;
constexpr std::string_view refusal_for_good =
    "HTTP/1.1 413 Payload Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
constexpr std::string_view refusal_for_now =
    "HTTP/1.1 503 Service Unavailable\r\nretry-after: 0.5\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

int on_headers(http_parser* parser) {
  *static_cast<std::uint64_t*>(parser->data) = parser->content_length;
  constexpr int without_body = 1;
  return without_body;
}

/// The length that a request's head announces for its body; nothing where the head isn't whole or announces none.
std::optional<std::uint64_t> announced_length(const h2o_buffer_t& input) {
  std::uint64_t length = ULLONG_MAX;
  http_parser parser;
  http_parser_init(&parser, HTTP_REQUEST);
  parser.data = &length;
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_headers_complete = on_headers;
  http_parser_execute(&parser, &settings, input.bytes, std::min(input.size, head_most));
  return length == ULLONG_MAX ? std::nullopt : std::optional(length);
}

/// Frees the memory of a pipe's input; what is in it is lost.
void drop_input(h2o_socket_t* socket) {
  h2o_buffer_dispose(&socket->input);
  h2o_buffer_init(&socket->input, &h2o_socket_buffer_prototype);
}

}  // namespace

void give_back(const h2o_iovec_t& copied) {
  if (copied.len < given_back_bytes) return;
  const auto page = static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  const auto before_page = (page - reinterpret_cast<std::uintptr_t>(copied.base) % page) % page;
  const auto whole_pages = (copied.len - before_page) / page * page;
  // Where the system refuses, the memory stays in use until the answer has ended.
  madvise(copied.base + before_page, whole_pages, MADV_DONTNEED);
}

void Server::watch_input(Pipe& pipe) {
  auto& reader = pipe.socket->_cb.read;
  if (reader == nullptr || reader == on_input) return;
  pipe.http_read = reader;
  reader = on_input;
}

void Server::on_rewatch(h2o_timeout_entry_t* entry) {
  auto* server = reinterpret_cast<Rewatch*>(entry)->server;
  for (auto* socket : std::exchange(server->rewatched_, {}))
    if (const auto found = server->pipes_.find(socket); found != server->pipes_.end()) watch_input(*found->second);
}

void Server::rewatch_later(h2o_socket_t* socket) {
  rewatched_.push_back(socket);
  if (!h2o_timeout_is_linked(&rewatch_.entry)) h2o_timeout_link(loop_.raw(), &context_.zero_timeout, &rewatch_.entry);
}

void Server::on_input(h2o_socket_t* socket, const char* error) {
  auto& pipe = *static_cast<Pipe*>(socket->on_close.data);
  auto* server = pipe.server;
  if (error == nullptr && !pipe.refused && !server->admit(pipe)) server->refuse_body(pipe);
  if (error == nullptr && pipe.refused) return drop_input(socket);
  pipe.http_read(socket, error);
}

bool Server::admit(Pipe& pipe) {
  const auto& input = *pipe.socket->input;
  if (input.size <= std::max(pipe.reserved, uncounted_bytes)) return true;
  auto wanted = input.size;
  const auto length = announced_length(input);
  // h2o refuses what is longer, and reads nothing of it.
  if (length > configuration_.max_request_entity_size) return true;
  if (length) wanted = std::max(wanted, *length);
  if (!budget_.reserve(wanted - pipe.reserved)) return false;
  pipe.reserved = wanted;
  return true;
}

void Server::release_input(Pipe& pipe) { budget_.release(std::exchange(pipe.reserved, 0)); }

void Server::refuse_body(Pipe& pipe) {
  ++bodies_refused_;
  const bool never_fits = announced_length(*pipe.socket->input) > budget_.limit();
  const auto refusal = never_fits ? refusal_for_good : refusal_for_now;
  pipe.refused = true;
  release_input(pipe);
  const int descriptor = h2o_socket_get_fd(pipe.socket);
  const auto sent = send(descriptor, refusal.data(), refusal.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  // What is still sent is read, or the reset of a closed connection could overtake the refusal.
  shutdown(descriptor, sent == static_cast<ssize_t>(refusal.size()) ? SHUT_WR : SHUT_RDWR);
}

}  // namespace weldsail
