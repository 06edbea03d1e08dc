#include "shell/responsehead.hpp"

#include <http_parser.h>

#include <algorithm>
#include <charconv>

namespace weldsail {
namespace {

constexpr std::string_view version_begin = "HTTP/1.";
constexpr std::size_t reason_place = 12;
constexpr std::string_view line_end = "\r\n";
constexpr std::size_t length_digits_most = 18;
/// Stops the parser at the end of the head: bodies are read elsewhere.
constexpr int stop_parser = -1;

std::string_view trimmed(std::string_view text) {
  const auto begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

std::string lower(std::string_view text) {
  std::string result(text);
  std::ranges::transform(result, result.begin(), [](unsigned char letter) { return std::tolower(letter); });
  return result;
}

bool has_token(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const auto comma = list.find(',');
    if (lower(trimmed(list.substr(0, comma))) == token) return true;
    list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
  }
  return false;
}

/// What the parser tells of a head.
struct Collected {
  std::vector<Header> headers;
  bool in_value = false;
  bool complete = false;
};

Collected& collected(http_parser* parser) { return *static_cast<Collected*>(parser->data); }

int on_name(http_parser* parser, const char* text, std::size_t size) {
  auto& found = collected(parser);
  if (found.headers.empty() || found.in_value) found.headers.emplace_back();
  found.in_value = false;
  found.headers.back().name.append(text, size);
  return found.headers.size() > response_headers_most ? stop_parser : 0;
}

int on_value(http_parser* parser, const char* text, std::size_t size) {
  auto& found = collected(parser);
  found.in_value = true;
  found.headers.back().value.append(text, size);
  return 0;
}

int on_complete(http_parser* parser) {
  collected(parser).complete = true;
  return stop_parser;
}

const http_parser_settings& settings() {
  static const http_parser_settings value = [] {
    http_parser_settings made;
    http_parser_settings_init(&made);
    made.on_header_field = on_name;
    made.on_header_value = on_value;
    made.on_headers_complete = on_complete;
    return made;
  }();
  return value;
}

std::optional<std::uint64_t> read_length(std::string_view text) {
  std::uint64_t length = 0;
  const auto* end = text.data() + text.size();
  if (text.empty() || text.size() > length_digits_most) return std::nullopt;
  const auto read = std::from_chars(text.data(), end, length);
  if (read.ec != std::errc() || read.ptr != end) return std::nullopt;
  return length;
}

/// Takes the framing from the headers; false when they contradict each other or can't be read.
bool read_framing(ResponseHead& head) {
  std::optional<std::uint64_t> length;
  bool chunked = false;
  for (const auto& header : head.headers) {
    if (header.name == "content-length") {
      if (length) return false;
      length = read_length(header.value);
      if (!length) return false;
    } else if (header.name == "transfer-encoding") {
      if (chunked || lower(header.value) != "chunked") return false;
      chunked = true;
    }
  }
  if (chunked && length) return false;
  if (chunked) head.framing = BodyFraming::chunks;
  if (length) head.framing = BodyFraming::length;
  head.length = length.value_or(0);
  return true;
}

bool read_keep_alive(const ResponseHead& head, int minor) {
  bool keep_alive = minor >= 1;
  for (const auto& header : head.headers)
    if (header.name == "connection") {
      if (has_token(header.value, "close")) return false;
      keep_alive = has_token(header.value, "keep-alive");
    }
  return keep_alive;
}

/// The parser lets one pass where it is the first byte of a value.
bool is_control(unsigned char byte) { return (byte < ' ' && byte != '\t') || byte == 0x7f; }

/// True for "HTTP/1.", a digit, a blank, three digits, and then the line's end or a blank.
bool is_status_line(std::string_view text) {
  const auto is_digit = [&](std::size_t place) { return text[place] >= '0' && text[place] <= '9'; };
  if (text.size() <= reason_place) return false;
  return is_digit(7) && text[8] == ' ' && is_digit(9) && is_digit(10) && is_digit(11) &&
         (text[reason_place] == ' ' || text[reason_place] == '\r');
}

bool without_body(int status) { return status < 200 || status == 204 || status == 304; }

}  // namespace

HeadScan HeadScanner::scan(std::string_view bytes) {
  const auto known = std::min(bytes.size(), version_begin.size());
  if (bytes.substr(0, known) != version_begin.substr(0, known)) return HeadScan::malformed;
  while (true) {
    while (seen_ < bytes.size() && bytes[seen_] != '\r' && bytes[seen_] != '\n') ++seen_;
    if (seen_ > response_head_most) return HeadScan::malformed;
    // A line that goes on with the one before it is out of use, and read in two ways.
    if (line_ < bytes.size() && (bytes[line_] == ' ' || bytes[line_] == '\t')) return HeadScan::malformed;
    const auto end = bytes.substr(seen_, line_end.size());
    if (!line_end.starts_with(end)) return HeadScan::malformed;
    if (end.size() < line_end.size()) return HeadScan::incomplete;
    const bool empty = seen_ == line_;
    line_ = seen_ += line_end.size();
    if (empty) return HeadScan::complete;
  }
}

std::optional<ResponseHead> read_response_head(std::string_view text, bool bodiless) {
  if (!is_status_line(text)) return std::nullopt;
  Collected found;
  http_parser parser;
  http_parser_init(&parser, HTTP_RESPONSE);
  parser.data = &found;
  http_parser_execute(&parser, &settings(), text.data(), text.size());
  if (!found.complete || parser.http_major != 1 || parser.status_code < 100) return std::nullopt;
  ResponseHead head;
  head.status = static_cast<int>(parser.status_code);
  head.headers = std::move(found.headers);
  for (auto& header : head.headers) {
    if (header.name.find(' ') != std::string::npos || std::ranges::any_of(header.value, is_control))
      return std::nullopt;
    header.name = lower(header.name);
    header.value = trimmed(header.value);
  }
  if (!read_framing(head)) return std::nullopt;
  head.keep_alive = read_keep_alive(head, parser.http_minor);
  if (bodiless || without_body(head.status)) head.framing = BodyFraming::none;
  return head;
}

}  // namespace weldsail
