#include "shell/client.hpp"

#include <netinet/tcp.h>

#include <algorithm>

#include "shell/server.hpp"

namespace weldsail {
namespace {

constexpr std::size_t pool_capacity = 4096;
constexpr std::uint64_t pool_idle = 20000;

std::string request_text(const OpenPipe& effect) {
  std::string text = effect.method + " " + effect.path + " HTTP/1.1\r\nhost: " + effect.address + "\r\n";
  for (const auto& header : effect.headers) text += header.name + ": " + header.value + "\r\n";
  if (effect.fresh) text += "connection: close\r\n";
  text += "content-length: " + std::to_string(effect.body.size()) + "\r\n\r\n" + effect.body;
  return text;
}

}  // namespace

struct Client::Pipe {
  Client* owner;
  OpenPipe effect;
  std::string text;
  h2o_iovec_t buffer;
  h2o_http1client_t* client;
  bool sent;
  bool framed;
};

Client::Client(Loop& loop) : loop_(loop) {
  context_.loop = loop.raw();
  context_.io_timeout = loop.never();
}

Client::~Client() {
  while (!pipes_.empty()) cancel(pipes_.begin()->first);
  for (const auto& [address, pool] : pools_) h2o_socketpool_dispose(pool.get());
}

h2o_socketpool_t* Client::pool_for(const std::string& address) {
  auto& pool = pools_[address];
  if (pool) return pool.get();
  auto place = *read_address(address);
  pool = std::make_unique<h2o_socketpool_t>();
  h2o_socketpool_init_by_address(pool.get(), reinterpret_cast<sockaddr*>(&place), sizeof(place), 0, pool_capacity);
  h2o_socketpool_set_timeout(pool.get(), loop_.raw(), pool_idle);
  return pool.get();
}

void Client::open(const OpenPipe& effect) {
  auto& slot = pipes_[effect.pipe];
  slot = std::make_unique<Pipe>(Pipe{this, effect, {}, {}, nullptr, false, false});
  auto* pipe = slot.get();
  const auto place = read_address(effect.address);
  if (!place) {
    end(*pipe, false, "address unusable");
    return;
  }
  pipe->text = request_text(effect);
  if (!effect.fresh) {
    h2o_http1client_connect_with_pool(&pipe->client, pipe, &context_, pool_for(effect.address), on_connect);
    return;
  }
  const auto host = effect.address.substr(0, effect.address.rfind(':'));
  h2o_http1client_connect(&pipe->client, pipe, &context_, h2o_iovec_init(pipe->effect.address.data(), host.size()),
                          ntohs(place->sin_port), 0, on_connect);
}

void Client::cancel(std::uint64_t number) {
  const auto found = pipes_.find(number);
  if (found == pipes_.end()) return;
  if (found->second->client != nullptr) h2o_http1client_cancel(found->second->client);
  pipes_.erase(found);
}

void Client::sweep(Moment now) {
  std::vector<std::uint64_t> late;
  for (const auto& [number, pipe] : pipes_)
    if (now >= pipe->effect.due) late.push_back(number);
  for (const auto number : late) {
    const auto found = pipes_.find(number);
    if (found == pipes_.end()) continue;
    const PipeEnded event{number, false, found->second->sent, past_due_reason};
    cancel(number);
    told.emit(event);
  }
}

void Client::end(Pipe& pipe, bool whole, std::string reason) {
  const PipeEnded event{pipe.effect.pipe, whole, pipe.sent, std::move(reason)};
  pipes_.erase(pipe.effect.pipe);
  told.emit(event);
}

h2o_http1client_head_cb Client::on_connect(h2o_http1client_t* client, const char* error, h2o_iovec_t** buffers,
                                           std::size_t* count, int* is_head) {
  auto* pipe = static_cast<Pipe*>(client->data);
  if (error != nullptr) {
    pipe->owner->end(*pipe, false, error);
    return nullptr;
  }
  const int on = 1;
  setsockopt(h2o_socket_get_fd(client->sock), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  pipe->sent = true;
  pipe->buffer = h2o_iovec_init(pipe->text.data(), pipe->text.size());
  *buffers = &pipe->buffer;
  *count = 1;
  *is_head = 0;
  return on_head;
}

h2o_http1client_body_cb Client::on_head(h2o_http1client_t* client, const char* error, int, int status, h2o_iovec_t,
                                        h2o_header_t* headers, std::size_t count, int) {
  auto* pipe = static_cast<Pipe*>(client->data);
  const bool ended = error == h2o_http1client_error_is_eos;
  if (error != nullptr && !ended) {
    pipe->owner->end(*pipe, false, error);
    return nullptr;
  }
  PipeHead head{pipe->effect.pipe, status, {}};
  for (std::size_t place = 0; place < count; ++place) {
    Header header{{headers[place].name->base, headers[place].name->len},
                  {headers[place].value.base, headers[place].value.len}};
    std::ranges::transform(header.name, header.name.begin(), [](unsigned char letter) { return std::tolower(letter); });
    if (header.name == "content-length" || header.name == "transfer-encoding") pipe->framed = true;
    head.headers.push_back(std::move(header));
  }
  auto* owner = pipe->owner;
  const auto number = pipe->effect.pipe;
  if (!ended) {
    owner->told.emit(head);
    return owner->pipes_.contains(number) ? on_body : nullptr;
  }
  pipe->client = nullptr;
  owner->told.emit(head);
  if (owner->pipes_.contains(number)) owner->end(*pipe, pipe->framed || status == 204, {});
  return nullptr;
}

int Client::on_body(h2o_http1client_t* client, const char* error) {
  auto* pipe = static_cast<Pipe*>(client->data);
  auto* owner = pipe->owner;
  const auto number = pipe->effect.pipe;
  const bool ended = error == h2o_http1client_error_is_eos;
  if (error != nullptr && !ended) {
    pipe->client = nullptr;
    owner->end(*pipe, false, error);
    return -1;
  }
  if (client->sock->input->size > 0) {
    const PipeBytes event{number, {client->sock->input->bytes, client->sock->input->size}};
    h2o_buffer_consume(&client->sock->input, client->sock->input->size);
    if (ended) pipe->client = nullptr;
    owner->told.emit(event);
  }
  const auto found = owner->pipes_.find(number);
  if (found == owner->pipes_.end()) return ended ? 0 : -1;
  if (ended) owner->end(*found->second, found->second->framed, {});
  return 0;
}

}  // namespace weldsail
