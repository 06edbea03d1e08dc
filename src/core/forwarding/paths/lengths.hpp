#pragma once
#include <cstdint>
#include <optional>
#include <vector>

#include "core/event.hpp"

namespace weldsail {

/// How long one answer took, in milliseconds from the moment when its worker was sent the request.
struct AnswerLength {
  /// Until its first event, or until all of it where it has no events.
  Moment first = 0;
  /// From the first event to the end.
  Moment rest = 0;
  /// Tokens that came after the first event.
  std::uint64_t rest_tokens = 0;
};

/// Lengths of the last whole answers of one kind.
class AnswerLengths {
 public:
  void add(const AnswerLength& length);
  /// Time in which an answer is whole that produces all the tokens that its request allows, at the mean pace seen, with
  /// a wait for its first event as long as nearly all had; 0 tokens: the request names no limit, and the answer takes
  /// as long as nearly all did. Nothing while too few were seen to tell.
  std::optional<Moment> longest(std::uint64_t most_tokens) const;

 private:
  std::vector<AnswerLength> lengths_;
  /// The one that gives way next.
  std::size_t oldest_ = 0;
};

/// Lengths of streams and of answers in one piece, neither of which tells how long the other takes.
struct LengthsByKind {
  AnswerLengths streams;
  AnswerLengths in_one_piece;
};

}  // namespace weldsail
