#include "shell/serverparts.hpp"

#include <algorithm>
#include <cstring>

namespace weldsail {
namespace {

constexpr std::uint64_t month = 30ULL * 24 * 3600 * 1000;
constexpr std::size_t body_margin = 4;

bool without_body(const h2o_req_t& request, int status) {
  return status < 200 || status == 204 || status == 304 ||
         h2o_memis(request.input.method.base, request.input.method.len, H2O_STRLIT("HEAD")) != 0;
}

bool of_connection(const std::string& name) {
  return name == "content-length" || name == "transfer-encoding" || name == "connection" || name == "date";
}

std::string text_of(const h2o_iovec_t& bytes) { return {bytes.base, bytes.len}; }

h2o_iovec_t copy_of(h2o_mem_pool_t* pool, const std::string& text) {
  return h2o_strdup(pool, text.data(), text.size());
}

}  // namespace

struct Server::Handler {
  h2o_handler_t super;
  Server* server;
};

Server::Server(Loop& loop, const ServerLimits& limits) : loop_(loop), limits_(limits), budget_(limits.held) {
  rewatch_.entry.cb = on_rewatch;
  rewatch_.server = this;
  h2o_config_init(&configuration_);
  configuration_.max_request_entity_size = limits.body * body_margin;
  configuration_.http1.req_timeout = month;
  configuration_.http1.upgrade_to_http2 = 0;
  configuration_.server_name = {nullptr, 0};
  auto* host = h2o_config_register_host(&configuration_, h2o_iovec_init(H2O_STRLIT("default")), 65535);
  auto* path = h2o_config_register_path(host, "/", 0);
  auto* handler = reinterpret_cast<Handler*>(h2o_create_handler(path, sizeof(Handler)));
  handler->super.on_req = on_request;
  handler->server = this;
  h2o_context_init(&context_, loop_.raw(), &configuration_);
  accept_.ctx = &context_;
  accept_.hosts = configuration_.hosts;
}

Server::~Server() {
  close();
  h2o_timeout_unlink(&rewatch_.entry);
  for (const auto& [socket, pipe] : pipes_) {
    socket->on_close = {nullptr, nullptr};
    if (socket->_cb.read == on_input) socket->_cb.read = pipe->http_read;
  }
}

Outcome<std::string> Server::listen(const std::string& address, int door) {
  auto opened = listen_on(address);
  if (!opened) return std::unexpected(opened.error());
  auto* listening = h2o_evloop_socket_create(loop_.raw(), opened->descriptor, H2O_SOCKET_FLAG_DONT_READ);
  listeners_.push_back(std::make_unique<Listener>(Listener{this, door, listening}));
  listening->data = listeners_.back().get();
  h2o_socket_read_start(listening, on_accept);
  return opened->address;
}

void Server::close() {
  for (const auto& listener : listeners_) h2o_socket_close(listener->socket);
  listeners_.clear();
}

int Server::on_request(h2o_handler_t* handler, h2o_req_t* request) {
  auto* server = reinterpret_cast<Handler*>(handler)->server;
  auto* pending = static_cast<Pending*>(h2o_mem_alloc_shared(&request->pool, sizeof(Pending), on_dispose));
  std::memset(pending, 0, sizeof(Pending));
  pending->generator.proceed = on_proceed;
  pending->request = request;
  pending->server = server;
  pending->number = server->next_++;
  pending->unsent = new std::string;
  pending->sending = new std::string;
  server->pending_[pending->number] = pending;
  RequestArrived event{pending->number, text_of(request->method), {}, {}, {}};
  const auto path_length = request->query_at == SIZE_MAX ? request->path.len : request->query_at;
  event.path.assign(request->path.base, path_length);
  for (std::size_t place = 0; place < request->headers.size; ++place) {
    const auto& header = request->headers.entries[place];
    event.headers.push_back({text_of(*header.name), text_of(header.value)});
  }
  event.target = text_of(request->input.path);
  event.read_at = monotonic_now();
  const auto& authority = request->input.authority;
  // Without a Host header h2o puts its own host's name there.
  if (authority.base != request->hostconf->authority.hostport.base) event.authority = text_of(authority);
  const auto pipe = server->pipes_.find(pending->socket());
  if (pipe != server->pipes_.end()) {
    event.door = pipe->second->door;
    pipe->second->used = pipe->second->used_lately = true;
    server->release_input(*pipe->second);
  }
  if (request->entity.base != nullptr) {
    event.body = server->budget_.keep(text_of(request->entity));
    give_back(request->entity);
  }
  // What crossed the close of its connection can't be answered, so nobody may begin it.
  if (pipe != server->pipes_.end() && pipe->second->closed)
    server->answer({pending->number, 503, {}, {}, true});
  else
    server->arrived.emit(event);
  return 0;
}

void Server::on_dispose(void* memory) {
  auto* pending = static_cast<Pending*>(memory);
  auto* server = pending->server;
  server->pending_.erase(pending->number);
  server->rewatch_later(pending->socket());
  delete pending->unsent;
  delete pending->sending;
  if (!pending->ended && !pending->told_gone) server->gone.emit(pending->number);
}

void Server::on_proceed(h2o_generator_t* generator, h2o_req_t*) {
  auto* pending = reinterpret_cast<Pending*>(generator);
  pending->busy = false;
  pending->server->flush(*pending);
}

Server::Pending* Server::find(std::uint64_t request) {
  const auto found = pending_.find(request);
  return found == pending_.end() || found->second->ending ? nullptr : found->second;
}

void Server::start(Pending& pending, const AnswerHead& head) {
  auto* request = pending.request;
  pending.bodiless = without_body(*request, head.status);
  pending.left = head.length.value_or(SIZE_MAX);
  const bool until_close = request->version < version_with_chunks && !head.length && !pending.bodiless;
  if (head.close || until_close || closes_after_answers_) request->http1_is_persistent = 0;
  request->res.reason = head.status < 300 ? "OK" : "Refused";
  const bool untold = head.status < 200 || head.status == 204 || head.status == 304;
  request->res.content_length = untold ? SIZE_MAX : pending.left;
  for (const auto& header : head.headers) {
    if (of_connection(header.name)) continue;
    const auto name = copy_of(&request->pool, header.name);
    const auto value = copy_of(&request->pool, header.value);
    h2o_add_header_by_str(&request->pool, &request->res.headers, name.base, name.len, 1, nullptr, value.base,
                          value.len);
  }
  pending.started = true;
  // h2o sends a body in chunks only while the status is 200.
  request->res.status = pending.bodiless ? head.status : 200;
  h2o_start_response(request, &pending.generator);
  request->res.status = head.status;
}

void Server::answer(const Answer& effect) {
  auto* pending = find(effect.request);
  if (pending == nullptr || pending->started) return;
  start(*pending, {effect.request, effect.status, effect.headers, effect.body.size(), effect.close});
  if (!pending->bodiless) *pending->unsent = effect.body;
  pending->ending = pending->whole = true;
  flush(*pending);
}

void Server::head(const AnswerHead& effect) {
  if (auto* pending = find(effect.request); pending != nullptr && !pending->started) start(*pending, effect);
}

void Server::bytes(const AnswerBytes& effect) {
  auto* pending = find(effect.request);
  if (pending == nullptr || pending->bodiless) return;
  const auto count = std::min(effect.bytes.size(), pending->left);
  if (pending->left != SIZE_MAX) pending->left -= count;
  pending->unsent->append(effect.bytes, 0, count);
  if (pending->unsent->size() > limits_.unsent && !pending->told_gone) {
    pending->told_gone = true;
    gone.emit(effect.request);
    end({effect.request, false});
    return;
  }
  flush(*pending);
}

void Server::end(const AnswerEnd& effect) {
  auto* pending = find(effect.request);
  if (pending == nullptr) return;
  pending->ending = true;
  const bool missing = pending->left != SIZE_MAX && pending->left > 0 && !pending->bodiless;
  pending->whole = effect.whole && pending->started && !missing;
  if (!pending->started) start(*pending, {effect.request, 502, {}, 0, true});
  flush(*pending);
}

void Server::flush(Pending& pending) {
  if (!pending.started || pending.busy || pending.ended) return;
  if (pending.unsent->empty() && !pending.ending) return;
  std::swap(*pending.sending, *pending.unsent);
  pending.unsent->clear();
  h2o_iovec_t buffer = h2o_iovec_init(pending.sending->data(), pending.sending->size());
  pending.busy = true;
  // What came before a cut goes out first, as h2o ends a chunked answer that broke off with bytes of its own.
  const bool rest = pending.ending && !pending.whole && buffer.len > 0;
  pending.ended = pending.ending && !rest;
  if (pending.ended && !pending.whole) show_cut(pending);
  // Its head may have gone out before that held.
  if (pending.ended && closes_after_answers_) pending.request->http1_is_persistent = 0;
  const auto last = pending.whole ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_ERROR;
  pending.begun = true;
  h2o_send(pending.request, &buffer, buffer.len > 0 ? 1 : 0, pending.ended ? last : H2O_SEND_STATE_IN_PROGRESS);
}

}  // namespace weldsail
