#pragma once
#include "shell/chunkreader.hpp"
#include "shell/responsehead.hpp"

namespace weldsail {

/// Reads one final HTTP/1 response off a connection's bytes; interim ones before it are skipped.
class ResponseReader {
 public:
  /// `head_request`: the request was a HEAD, so that no body comes.
  explicit ResponseReader(bool head_request) : head_request_(head_request) {}
  /// Takes off `bytes` what belongs to the response; what is left once it is whole belongs to no request.
  ReadState take(std::string_view& bytes);
  /// The final head, from when it has come until it is taken away.
  std::optional<ResponseHead> take_head() { return std::exchange(head_, std::nullopt); }
  /// The part of the body that has come since the last call.
  std::string take_body() { return std::exchange(body_, {}); }
  /// Why the response is broken.
  const char* reason() const { return reason_; }

 private:
  ReadState take_heads(std::string_view& bytes);
  ReadState take_rest(std::string_view& bytes);
  ReadState broken(const char* reason);

  bool head_request_;
  bool in_body_ = false;
  HeadScanner scanner_;
  std::optional<ResponseHead> head_;
  BodyFraming framing_ = BodyFraming::none;
  std::uint64_t left_ = 0;
  ChunkReader chunks_;
  std::string body_;
  const char* reason_ = "";
};

}  // namespace weldsail
