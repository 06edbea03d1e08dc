#pragma once
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "core/event.hpp"

namespace weldsail {

/// What tells the end of a response's body.
enum class BodyFraming { none, length, chunks, close };

/// The head of an HTTP/1 response.
struct ResponseHead {
  int status = 0;
  /// Names in lower case, in the order in which they came.
  std::vector<Header> headers;
  BodyFraming framing = BodyFraming::close;
  /// Bytes of the body where its length is told.
  std::uint64_t length = 0;
  /// The connection may carry another exchange.
  bool keep_alive = false;
};

/// Most bytes of a head, and most headers in it; more is malformed.
inline constexpr std::size_t response_head_most = 64U << 10U;
inline constexpr std::size_t response_headers_most = 100;

/// What has come of a head.
enum class HeadScan { incomplete, complete, malformed };

/// Finds the end of a head, line by line, as its bytes come in.
class HeadScanner {
 public:
  /// `bytes` begin with the head; each call gives what the last one gave, and more.
  HeadScan scan(std::string_view bytes);
  /// Bytes of the complete head, its empty line included.
  std::size_t size() const { return line_; }

 private:
  /// Where the line begins that is coming in.
  std::size_t line_ = 0;
  /// Where the next byte stands that hasn't been looked at.
  std::size_t seen_ = 0;
};

/// Reads one complete head; nothing when it is malformed, or when it tells the end of the body in two ways.
/// `bodiless`: the request was a HEAD.
std::optional<ResponseHead> read_response_head(std::string_view text, bool bodiless);

}  // namespace weldsail
