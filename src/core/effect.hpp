#pragma once
#include <optional>
#include <utility>

#include "core/event.hpp"

namespace weldsail {

/// Bytes of the longest message between processes, and so of the longest value: a former release takes values whole.
inline constexpr std::size_t message_most = 64U << 20U;

/// Send a message to a process's peer address; it may be lost.
struct SendMessage {
  std::string address;
  wire::Envelope envelope;
};
/// Open a pipe to a back end and send one request on it.
struct OpenPipe {
  std::uint64_t pipe;
  std::string address;
  std::string method;
  std::string path;
  std::vector<Header> headers;
  Body body;
  bool fresh;
  Moment due;
  /// When it must be connected; 0: no such time.
  Moment connect_due = 0;
};
/// Drop a pipe; nothing more is told about it.
struct CancelPipe {
  std::uint64_t pipe;
};
/// Answer a request whole.
struct Answer {
  std::uint64_t request;
  int status;
  std::vector<Header> headers;
  std::string body;
  /// Ask the one who asked to close the connection after it.
  bool close = false;
};
/// Begin an answer that is sent piece by piece.
struct AnswerHead {
  std::uint64_t request;
  int status;
  std::vector<Header> headers;
  /// Bytes of the whole body, when known; else the body goes in chunks.
  std::optional<std::size_t> length = {};
  /// Ask the one who asked to close the connection after it.
  bool close = false;
};
/// More of a begun answer.
struct AnswerBytes {
  std::uint64_t request;
  std::string bytes;
};
/// The end of a begun answer; not whole means that the connection is cut.
struct AnswerEnd {
  std::uint64_t request;
  bool whole;
};
/// From now on every answer asks to close its connection, and the connection is closed after it.
struct CloseAfterAnswers {};
/// Close the connections that have carried a request and on which none is under way.
struct CloseResting {};
/// Keep records on the disk; empty bytes remove a name.
struct Persist {
  std::uint64_t token;
  std::vector<std::pair<std::string, std::string>> records;
};
/// One log line.
struct Note {
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
  bool grave = false;
};
/// The process may end, once its answers are written out.
struct Depart {
  /// Longest time for that, in milliseconds.
  Moment write_time = 200;
};

/// What a step asks of the outside, as data.
using Effect = std::variant<SendMessage, OpenPipe, CancelPipe, Answer, AnswerHead, AnswerBytes, AnswerEnd,
                            CloseAfterAnswers, CloseResting, Persist, Note, Depart>;
using Effects = std::vector<Effect>;

/// Adds a log line to the effects.
inline void note(Effects& effects, std::string event, std::vector<std::pair<std::string, std::string>> fields,
                 bool grave = false) {
  effects.push_back(Note{std::move(event), std::move(fields), grave});
}

}  // namespace weldsail
