#include "shell/ask.hpp"

namespace weldsail {

void reply_take(Reply& reply, const Event& event, bool& ended) {
  if (const auto* head = std::get_if<PipeHead>(&event)) {
    reply.status = head->status;
    reply.headers = head->headers;
  }
  if (const auto* bytes = std::get_if<PipeBytes>(&event)) reply.body += bytes->bytes;
  if (const auto* end = std::get_if<PipeEnded>(&event)) {
    reply.whole = end->whole;
    reply.sent = end->sent;
    reply.reason = end->reason;
    ended = true;
  }
}

Reply ask(Loop& loop, const std::string& method, const std::string& address, const std::string& path,
          const std::vector<Header>& headers, const std::string& body, Moment within) {
  Client client(loop);
  Reply reply;
  bool ended = false;
  client.told.connect([&](const Event& event) { reply_take(reply, event, ended); });
  const auto due = monotonic_now() + within;
  client.open({1, address, method, path, headers, body, true, due});
  while (!ended) {
    loop.step(static_cast<int>(std::max<Moment>(1, std::min<Moment>(50, due - monotonic_now()))));
    client.sweep(monotonic_now());
  }
  return reply;
}

}  // namespace weldsail
