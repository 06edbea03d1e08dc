#include "shell/frame.hpp"

#include <charconv>

namespace weldsail {
namespace {

constexpr std::size_t length_size = 4;
constexpr std::size_t head_most = 2048;
constexpr std::string_view request_begin = "POST /v1/peer ";
constexpr std::string_view length_name = "content-length: ";
constexpr std::string_view head_end = "\r\n\r\n";

Outcome<std::optional<Frame>> read_request(std::string_view bytes) {
  const auto head = bytes.substr(0, head_most);
  const auto end = head.find(head_end);
  if (!bytes.starts_with(request_begin.substr(0, bytes.size()))) return broke_down(Breakdown::malformed);
  if (end == std::string_view::npos && bytes.size() >= head_most) return broke_down(Breakdown::malformed);
  if (end == std::string_view::npos) return std::optional<Frame>();
  const auto place = head.find(length_name);
  std::size_t length = 0;
  if (place > end ||
      std::from_chars(head.data() + place + length_name.size(), head.data() + end, length).ec != std::errc() ||
      length > message_most)
    return broke_down(Breakdown::malformed);
  const auto begin = end + head_end.size();
  if (bytes.size() - begin < length) return std::optional<Frame>();
  return Frame{begin, length};
}

}  // namespace

Outcome<Framing> frame_recognise(std::string_view bytes) {
  const auto begins = [&](std::string_view text) { return bytes.starts_with(text.substr(0, bytes.size())); };
  if (begins(frame_greeting)) return bytes.size() < frame_greeting.size() ? Framing::unknown : Framing::lengths;
  if (begins(request_begin)) return bytes.size() < request_begin.size() ? Framing::unknown : Framing::requests;
  return broke_down(Breakdown::malformed);
}

Outcome<std::optional<Frame>> frame_read(Framing framing, std::string_view bytes) {
  if (framing == Framing::requests) return read_request(bytes);
  if (bytes.size() < length_size) return std::optional<Frame>();
  std::size_t length = 0;
  for (const char byte : bytes.substr(0, length_size)) length = length << 8U | static_cast<unsigned char>(byte);
  if (length > message_most) return broke_down(Breakdown::malformed);
  if (bytes.size() - length_size < length) return std::optional<Frame>();
  return Frame{length_size, length};
}

std::string frame_head(Framing framing, const std::string& address, std::size_t length) {
  if (framing == Framing::requests)
    return std::string(request_begin) + "HTTP/1.1\r\nhost: " + address + "\r\n" + std::string(length_name) +
           std::to_string(length) + std::string(head_end);
  std::string head;
  for (std::size_t place = length_size; place > 0; --place)
    head += static_cast<char>(length >> (8 * (place - 1)) & 0xffU);
  return head;
}

}  // namespace weldsail
