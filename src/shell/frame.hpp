#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "core/effect.hpp"
#include "core/forwarding/outcome.hpp"

namespace weldsail {

/// How the messages of a connection between processes are told apart.
enum class Framing {
  unknown,
  /// A greeting, then messages with their length in front.
  lengths,
  /// Requests of HTTP with an answer each, as releases before the greeting send them.
  requests,
};

/// What a connection with lengths begins with, so that nothing else is taken for messages.
inline constexpr std::string_view frame_greeting = "weldsail1\n";
/// The answer that ends a message framed as a request.
inline constexpr std::string_view frame_answer = "HTTP/1.1 204 OK\r\n\r\n";

/// Where a whole message stands in the bytes; it is followed by the next one.
struct Frame {
  std::size_t begin;
  std::size_t length;
};
/// The framing that the first bytes of a connection show: unknown while there are too few of them.
Outcome<Framing> frame_recognise(std::string_view bytes);
/// The first message in the bytes; nothing while it isn't whole.
Outcome<std::optional<Frame>> frame_read(Framing framing, std::string_view bytes);
/// What goes before a message of the length.
std::string frame_head(Framing framing, const std::string& address, std::size_t length);

}  // namespace weldsail
