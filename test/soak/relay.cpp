#include "relay.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "hosts.hpp"
#include "shell/address.hpp"
#include "shell/loop.hpp"

namespace weldsail::soak {
namespace {

constexpr std::size_t buffer_most = 256U << 10U;
constexpr std::size_t read_most = 64U << 10U;
constexpr int idle_pause = 20;
constexpr int ruled_pause = 4;
constexpr double allowance_most = 65536;

void prepare(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool would_block() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINPROGRESS || errno == ENOTCONN; }

bool applies(const LinkRule& rule, int source, int target, ChannelKind kind) {
  return rule.kind == kind && (rule.source == any_process || rule.source == source) &&
         (rule.target == any_process || rule.target == target);
}

}  // namespace

Relay::Relay() : refilled_(monotonic_now()), scratch_(read_most), thread_([this] { run(); }) {}

Relay::~Relay() {
  stopped_ = true;
  thread_.join();
  for (auto& connection : connections_) connection.closed = true;
  drop_closed();
  for (const auto& channel : channels_) close(channel.listener);
}

bool Relay::add(const std::string& address, const std::string& host, int process, ChannelKind kind) {
  const auto listening = listen_on(address);
  auto target = read_address(address);
  if (!listening || !target || inet_pton(AF_INET, host.c_str(), &target->sin_addr) != 1) return false;
  const std::lock_guard lock(mutex_);
  channels_.push_back({listening->descriptor, *target, process, kind});
  return true;
}

int Relay::impose(const LinkRule& rule) {
  const std::lock_guard lock(mutex_);
  rules_[next_rule_] = {rule, 0};
  return next_rule_++;
}

void Relay::lift(int number) {
  const std::lock_guard lock(mutex_);
  rules_.erase(number);
}

void Relay::lift_all() {
  const std::lock_guard lock(mutex_);
  rules_.clear();
}

void Relay::run() {
  while (!stopped_) turn();
}

void Relay::turn() {
  int pause = idle_pause;
  {
    const std::lock_guard lock(mutex_);
    refill();
    if (!rules_.empty()) pause = ruled_pause;
    polled_.clear();
    for (const auto& channel : channels_) polled_.push_back({channel.listener, POLLIN, 0});
    for (const auto& connection : connections_)
      for (const auto* flow : {&connection.there, &connection.back}) {
        if (may_read(connection, *flow)) polled_.push_back({flow->from, POLLIN, 0});
        if (!flow->bytes.empty()) polled_.push_back({flow->to, POLLOUT, 0});
      }
  }
  poll(polled_.data(), polled_.size(), pause);
  const std::lock_guard lock(mutex_);
  for (const auto& channel : channels_) accept_from(channel);
  for (auto& connection : connections_) serve(connection);
  drop_closed();
}

void Relay::accept_from(const Channel& channel) {
  sockaddr_in from{};
  socklen_t length = sizeof(from);
  int accepted = -1;
  while ((accepted = accept4(channel.listener, reinterpret_cast<sockaddr*>(&from), &length,
                             SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
    const int out = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    prepare(accepted);
    prepare(out);
    Connection connection{process_of_host(ntohl(from.sin_addr.s_addr)), channel.process, channel.kind, {}, {}};
    connection.there = {accepted, out, true, false, {}};
    connection.back = {out, accepted, false, false, {}};
    const int begun = connect(out, reinterpret_cast<const sockaddr*>(&channel.target), sizeof(channel.target));
    connection.closed = begun != 0 && errno != EINPROGRESS;
    connections_.push_back(std::move(connection));
    length = sizeof(from);
  }
}

void Relay::refill() {
  const auto now = monotonic_now();
  const auto passed = static_cast<double>(now - refilled_);
  refilled_ = now;
  for (auto& [number, imposed] : rules_)
    imposed.allowance = std::min(allowance_most, imposed.allowance + passed * imposed.rule.bytes_per_ms);
}

Relay::Imposed* Relay::find(const Connection& connection, const Flow& flow, LinkFault fault) {
  for (auto& [number, imposed] : rules_)
    if (imposed.rule.fault == fault && applies(imposed.rule, connection.source, connection.target, connection.kind) &&
        (flow.forward ? imposed.rule.forward : imposed.rule.backward))
      return &imposed;
  return nullptr;
}

bool Relay::may_read(const Connection& connection, const Flow& flow) {
  if (connection.closed || flow.ended || flow.bytes.size() >= buffer_most) return false;
  if (find(connection, flow, LinkFault::stalled) != nullptr) return false;
  const auto* throttle = find(connection, flow, LinkFault::throttled);
  return throttle == nullptr || throttle->allowance >= 1;
}

void Relay::serve(Connection& connection) {
  for (auto* flow : {&connection.there, &connection.back}) {
    if (find(connection, *flow, LinkFault::closed) != nullptr) connection.closed = true;
    if (connection.closed) return;
    move(connection, *flow);
  }
  const bool discards = find(connection, connection.there, LinkFault::discarded) != nullptr ||
                        find(connection, connection.back, LinkFault::discarded) != nullptr;
  if (connection.torn && !discards) connection.closed = true;
  for (const auto* flow : {&connection.there, &connection.back})
    if (flow->ended && flow->bytes.empty()) connection.closed = true;
}

void Relay::move(Connection& connection, Flow& flow) {
  if (may_read(connection, flow)) {
    auto* throttle = find(connection, flow, LinkFault::throttled);
    const auto most =
        throttle == nullptr ? read_most : std::min(read_most, static_cast<std::size_t>(throttle->allowance));
    const auto got = recv(flow.from, scratch_.data(), most, MSG_DONTWAIT);
    if (got == 0 || (got < 0 && !would_block())) flow.ended = true;
    if (got > 0 && throttle != nullptr) throttle->allowance -= static_cast<double>(got);
    const bool discards = find(connection, flow, LinkFault::discarded) != nullptr;
    if (got > 0 && discards) connection.torn = true;
    if (got > 0 && !discards) flow.bytes.append(scratch_.data(), static_cast<std::size_t>(got));
  }
  if (flow.bytes.empty()) return;
  const auto sent = ::send(flow.to, flow.bytes.data(), flow.bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent < 0 && !would_block()) connection.closed = true;
  if (sent <= 0) return;
  if (connection.kind == ChannelKind::peers && flow.forward) peer_bytes_ += static_cast<std::uint64_t>(sent);
  flow.bytes.erase(0, static_cast<std::size_t>(sent));
}

void Relay::drop_closed() {
  std::erase_if(connections_, [](const Connection& connection) {
    if (!connection.closed) return false;
    close(connection.there.from);
    close(connection.back.from);
    return true;
  });
}

}  // namespace weldsail::soak
