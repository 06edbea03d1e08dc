#include "shell/client.hpp"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <charconv>

#include "shell/address.hpp"
#include "shell/responsereader.hpp"

namespace weldsail {
namespace {

constexpr int unacknowledged_most = 2000;
constexpr int probe_seconds = 1;
constexpr Moment idle_margin = 500;
constexpr Moment pool_sweep_pause = 1000;

bool of_connection(const std::string& name) {
  return name == "content-length" || name == "transfer-encoding" || name == "connection";
}

bool bodiless(const std::string& method) { return method != "POST" && method != "PUT" && method != "PATCH"; }

/// All of a request but its body.
std::string request_head(const OpenPipe& effect) {
  std::string text = effect.method + " " + effect.path + " HTTP/1.1\r\n";
  const bool named = std::ranges::any_of(effect.headers, [](const Header& header) { return header.name == "host"; });
  if (!named) text += "host: " + effect.address + "\r\n";
  for (const auto& header : effect.headers)
    if (!of_connection(header.name)) text += header.name + ": " + header.value + "\r\n";
  if (effect.fresh) text += "connection: close\r\n";
  if (!effect.body.empty() || !bodiless(effect.method))
    text += "content-length: " + std::to_string(effect.body.size()) + "\r\n";
  return text + "\r\n";
}

/// How long the one who answers keeps an idle connection, in milliseconds; the default when it doesn't say.
Moment idle_said(const std::vector<Header>& headers, Moment otherwise) {
  constexpr std::string_view mark = "timeout=";
  for (const auto& header : headers) {
    const auto place = header.value.find(mark);
    if (header.name != "keep-alive" || place == std::string::npos) continue;
    const auto* begin = header.value.data() + place + mark.size();
    std::uint32_t seconds = 0;
    if (std::from_chars(begin, header.value.data() + header.value.size(), seconds).ec != std::errc()) continue;
    return std::max<Moment>(0, seconds * Moment{1000} - idle_margin);
  }
  return otherwise;
}

void set_options(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_most, sizeof(unacknowledged_most));
  setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &probe_seconds, sizeof(probe_seconds));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &probe_seconds, sizeof(probe_seconds));
}

}  // namespace

/// A request under way, and what has come of its answer.
struct Client::Exchange {
  Client* owner;
  std::uint64_t pipe;
  std::string address;
  bool fresh;
  Moment due;
  Moment connect_due;
  /// The request until it is written.
  std::string head;
  Body body;
  ResponseReader reader;
  /// How long the connection may rest after the answer, in milliseconds.
  Moment rest = 0;
  bool keep_alive = false;
  h2o_socket_t* socket = nullptr;
  /// A byte may have left.
  bool sent = false;
  bool written = false;
};

Client::Client(Loop& loop, Moment idle) : loop_(loop), idle_(idle) {}

Client::~Client() {
  while (!exchanges_.empty()) cancel(exchanges_.begin()->first);
}

void Client::open(const OpenPipe& effect) {
  auto& slot = exchanges_[effect.pipe];
  slot = std::make_unique<Exchange>(Exchange{this, effect.pipe, effect.address, effect.fresh, effect.due,
                                             effect.connect_due, request_head(effect), effect.body,
                                             ResponseReader(effect.method == "HEAD")});
  auto& exchange = *slot;
  if (!effect.fresh) exchange.socket = pool_.take(effect.address, monotonic_now());
  exchange.socket != nullptr ? send(exchange) : connect(exchange);
}

void Client::connect(Exchange& exchange) {
  auto place = read_address(exchange.address);
  if (!place) return end(exchange.pipe, false, "address unusable");
  exchange.socket = h2o_socket_connect(loop_.raw(), reinterpret_cast<sockaddr*>(&*place), sizeof(*place), on_connect);
  if (exchange.socket == nullptr) return end(exchange.pipe, false, "connection refused by the system");
  exchange.socket->data = &exchange;
}

void Client::on_connect(h2o_socket_t* socket, const char* error) {
  auto& exchange = *static_cast<Exchange*>(socket->data);
  if (error != nullptr) return exchange.owner->end(exchange.pipe, false, error);
  set_options(h2o_socket_get_fd(socket));
  exchange.owner->send(exchange);
}

void Client::send(Exchange& exchange) {
  exchange.sent = true;
  exchange.socket->data = &exchange;
  h2o_socket_read_start(exchange.socket, on_read);
  std::array<h2o_iovec_t, 2> parts{h2o_iovec_init(exchange.head.data(), exchange.head.size()),
                                   h2o_iovec_init(exchange.body.data(), exchange.body.size())};
  h2o_socket_write(exchange.socket, parts.data(), exchange.body.empty() ? 1 : 2, on_written);
}

void Client::on_written(h2o_socket_t* socket, const char* error) {
  auto& exchange = *static_cast<Exchange*>(socket->data);
  // After an error the answer may still be there to be read, and the reading tells of the end.
  exchange.written = error == nullptr;
  exchange.head = {};
  exchange.body = {};
}

void Client::on_read(h2o_socket_t* socket, const char* error) {
  auto& exchange = *static_cast<Exchange*>(socket->data);
  exchange.owner->take(exchange, error);
}

void Client::take(Exchange& exchange, const char* error) {
  const auto pipe = exchange.pipe;
  auto** input = &exchange.socket->input;
  std::string_view bytes((*input)->bytes, (*input)->size);
  const auto state = exchange.reader.take(bytes);
  const bool surplus = !bytes.empty();
  h2o_buffer_consume(input, (*input)->size - bytes.size());
  auto head = exchange.reader.take_head();
  auto body = exchange.reader.take_body();
  if (head) {
    exchange.rest = idle_said(head->headers, idle_);
    exchange.keep_alive = head->keep_alive;
  }
  const bool ended = state != ReadState::more || error != nullptr;
  const bool whole = state == ReadState::whole;
  const std::string reason = state == ReadState::broken ? exchange.reader.reason() : error != nullptr ? error : "";
  if (ended) release(exchange, whole && error == nullptr && !surplus);
  if (head) told.emit(PipeHead{pipe, head->status, std::move(head->headers)});
  if (!exchanges_.contains(pipe)) return;
  if (!body.empty()) told.emit(PipeBytes{pipe, std::move(body)});
  if (ended && exchanges_.contains(pipe)) end(pipe, whole, whole ? "" : reason);
}

/// Parts an exchange from its connection, which is kept when it may carry another one.
void Client::release(Exchange& exchange, bool reusable) {
  auto* socket = std::exchange(exchange.socket, nullptr);
  const bool kept = reusable && exchange.written && exchange.keep_alive && !exchange.fresh && exchange.rest > 0;
  if (!kept) return h2o_socket_close(socket);
  pool_.put(exchange.address, socket, monotonic_now() + exchange.rest);
}

void Client::cancel(std::uint64_t pipe) {
  const auto found = exchanges_.find(pipe);
  if (found == exchanges_.end()) return;
  if (found->second->socket != nullptr) h2o_socket_close(found->second->socket);
  exchanges_.erase(found);
}

void Client::sweep(Moment now) {
  std::vector<PipeEnded> late;
  for (const auto& [pipe, exchange] : exchanges_) {
    const auto connect_due = exchange->connect_due;
    if (now >= exchange->due)
      late.push_back({pipe, false, exchange->sent, past_due_reason});
    else if (!exchange->sent && connect_due != 0 && now >= connect_due)
      late.push_back({pipe, false, false, connect_past_due_reason});
  }
  for (const auto& event : late)
    if (exchanges_.contains(event.pipe)) end(event.pipe, false, event.reason);
  if (now < next_pool_sweep_) return;
  next_pool_sweep_ = now + pool_sweep_pause;
  pool_.sweep(now);
}

void Client::end(std::uint64_t pipe, bool whole, std::string reason) {
  const PipeEnded event{pipe, whole, exchanges_.at(pipe)->sent, std::move(reason)};
  cancel(pipe);
  told.emit(event);
}

}  // namespace weldsail
