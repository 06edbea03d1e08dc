#include "shell/messenger.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include "shell/messengerlimits.hpp"

namespace weldsail {

using namespace messenger_limits;

/// The connection on which we send to an address.
struct Messenger::Link {
  Messenger* owner;
  std::string address;
  h2o_socket_t* socket = nullptr;
  std::string queued;
  std::string sending;
  Framing framing = Framing::lengths;
  bool connected = false;
  std::int64_t waiting_since = 0;
  std::int64_t used = 0;
};

/// A connection on which another process sends to us.
struct Messenger::Inbound {
  Messenger* owner;
  h2o_socket_t* socket;
  Framing framing = Framing::unknown;
  std::int64_t heard = 0;
};

Messenger::Messenger(Loop& loop) : loop_(loop) {}

Messenger::~Messenger() { close(); }

void Messenger::close() {
  if (listener_ != nullptr) h2o_socket_close(listener_);
  listener_ = nullptr;
  while (!links_.empty()) drop(*links_.begin()->second);
  for (const auto& [socket, inbound] : inbound_) h2o_socket_close(socket);
  inbound_.clear();
}

Outcome<std::string> Messenger::listen(const std::string& address) {
  auto opened = listen_on(address);
  if (!opened) return std::unexpected(opened.error());
  listener_ = h2o_evloop_socket_create(loop_.raw(), opened->descriptor, H2O_SOCKET_FLAG_DONT_READ);
  listener_->data = this;
  h2o_socket_read_start(listener_, on_accept);
  return opened->address;
}

Messenger::Link* Messenger::link_to(const std::string& address) {
  auto& slot = links_[address];
  if (slot) return slot.get();
  auto place = read_address(address);
  auto* socket = place
                     ? h2o_socket_connect(loop_.raw(), reinterpret_cast<sockaddr*>(&*place), sizeof(*place), on_connect)
                     : nullptr;
  if (socket == nullptr) {
    links_.erase(address);
    return nullptr;
  }
  setsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_most,
             sizeof(unacknowledged_most));
  slot = std::make_unique<Link>();
  slot->owner = this;
  slot->address = address;
  slot->socket = socket;
  slot->waiting_since = monotonic_now();
  if (former_.contains(address))
    slot->framing = Framing::requests;
  else
    slot->queued = frame_greeting;
  waiting_ += slot->queued.size();
  socket->data = slot.get();
  return slot.get();
}

bool Messenger::has_room(const Link& link, std::size_t size) const {
  if (size > message_most) return false;
  const auto queued = link.queued.size();
  if (queued > frame_greeting.size() && queued + size > queue_most) return false;
  return waiting_ == 0 || waiting_ + size <= (size > small_most ? large_sum_most : sum_most);
}

void Messenger::send(const std::string& address, const wire::Envelope& envelope) {
  auto* link = link_to(address);
  const auto size = envelope.ByteSizeLong();
  if (link == nullptr || !has_room(*link, size)) {
    ++dropped_;
    return;
  }
  auto& queued = link->queued;
  count_message(sent_, envelope.body_case(), size);
  const auto before = queued.size();
  queued += frame_head(link->framing, address, size);
  const auto place = queued.size();
  queued.resize(place + size);
  envelope.SerializeWithCachedSizesToArray(reinterpret_cast<std::uint8_t*>(queued.data() + place));
  waiting_ += queued.size() - before;
  unwritten_ = true;
}

void Messenger::flush() {
  if (!std::exchange(unwritten_, false)) return;
  for (const auto& [address, link] : links_) write(*link);
}

void Messenger::write(Link& link) {
  if (!link.connected || !link.sending.empty() || link.queued.empty()) return;
  std::swap(link.sending, link.queued);
  link.waiting_since = link.used = monotonic_now();
  h2o_iovec_t buffer = h2o_iovec_init(link.sending.data(), link.sending.size());
  h2o_socket_write(link.socket, &buffer, 1, on_written);
}

void Messenger::drop(Link& link) {
  h2o_socket_close(link.socket);
  waiting_ -= link.queued.size() + link.sending.size();
  links_.erase(std::string(link.address));
}

void Messenger::on_connect(h2o_socket_t* socket, const char* error) {
  auto& link = *static_cast<Link*>(socket->data);
  if (error != nullptr) {
    link.owner->drop(link);
    return;
  }
  link.connected = true;
  h2o_socket_read_start(socket, on_echo);
  link.owner->write(link);
}

void Messenger::on_written(h2o_socket_t* socket, const char* error) {
  auto& link = *static_cast<Link*>(socket->data);
  if (error != nullptr) {
    link.owner->drop(link);
    return;
  }
  link.owner->waiting_ -= link.sending.size();
  link.sending.clear();
  if (link.sending.capacity() > queue_kept) link.sending.shrink_to_fit();
  link.owner->write(link);
}

void Messenger::on_echo(h2o_socket_t* socket, const char* error) {
  auto& link = *static_cast<Link*>(socket->data);
  // A former release takes the greeting for a broken request and answers it.
  if (link.framing == Framing::lengths && socket->input->size > 0)
    link.owner->former_[link.address] = monotonic_now() + framing_kept;
  h2o_buffer_consume(&socket->input, socket->input->size);
  if (error != nullptr) link.owner->drop(link);
}

void Messenger::on_accept(h2o_socket_t* listener, const char* error) {
  if (error != nullptr) return;
  auto* messenger = static_cast<Messenger*>(listener->data);
  while (auto* socket = h2o_evloop_socket_accept(listener)) {
    if (messenger->inbound_.size() >= inbound_most) {
      h2o_socket_close(socket);
      continue;
    }
    auto inbound = std::make_unique<Inbound>(Inbound{messenger, socket, Framing::unknown, monotonic_now()});
    socket->data = inbound.get();
    messenger->inbound_[socket] = std::move(inbound);
    h2o_socket_read_start(socket, on_read);
  }
}

void Messenger::on_read(h2o_socket_t* socket, const char* error) {
  auto& inbound = *static_cast<Inbound*>(socket->data);
  if (error == nullptr && inbound.owner->take(inbound)) return;
  inbound.owner->inbound_.erase(socket);
  h2o_socket_close(socket);
}

bool Messenger::take(Inbound& inbound) {
  auto** input = &inbound.socket->input;
  inbound.heard = monotonic_now();
  std::string_view bytes((*input)->bytes, (*input)->size);
  if (inbound.framing == Framing::unknown) {
    const auto framing = frame_recognise(bytes);
    if (!framing) return false;
    inbound.framing = *framing;
    if (inbound.framing == Framing::unknown) return true;
    if (inbound.framing == Framing::lengths) bytes.remove_prefix(frame_greeting.size());
  }
  while (true) {
    const auto frame = frame_read(inbound.framing, bytes);
    if (!frame) return false;
    if (!*frame) break;
    wire::Envelope envelope;
    const auto& [begin, length] = **frame;
    if (!envelope.ParseFromArray(bytes.data() + begin, static_cast<int>(length))) return false;
    bytes.remove_prefix(begin + length);
    count_message(received_, envelope.body_case(), length);
    if (inbound.framing == Framing::requests)
      ::send(h2o_socket_get_fd(inbound.socket), frame_answer.data(), frame_answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    arrived.emit(envelope);
  }
  h2o_buffer_consume(input, (*input)->size - bytes.size());
  return true;
}

void Messenger::observe(TransportFigures& figures) const {
  figures.sent = sent_;
  figures.received = received_;
  figures.messages_dropped = dropped_;
  figures.links = links_.size();
  for (const auto& [address, link] : links_) {
    const auto waiting = link->queued.size() + link->sending.size();
    figures.queued_bytes += waiting;
    figures.longest_queue_bytes = std::max<std::uint64_t>(figures.longest_queue_bytes, waiting);
  }
}

void Messenger::sweep(std::int64_t now) {
  if (now < next_sweep_) return;
  next_sweep_ = now + sweep_pause;
  std::erase_if(former_, [&](const auto& item) { return now >= item.second; });
  for (auto item = links_.begin(); item != links_.end();) {
    auto& link = *(item++)->second;
    const bool waits = !link.connected || !link.sending.empty();
    if (waits ? now - link.waiting_since > stalled_most : now - link.used > idle_most) drop(link);
  }
  for (auto item = inbound_.begin(); item != inbound_.end();) {
    auto* socket = item->first;
    const bool silent = now - item->second->heard > silent_most;
    item = silent ? inbound_.erase(item) : std::next(item);
    if (silent) h2o_socket_close(socket);
  }
}

}  // namespace weldsail
