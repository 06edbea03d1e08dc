#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/body.hpp"
#include "core/traffic.hpp"
#include "state.pb.h"
#include "wire.pb.h"

namespace weldsail {

/// Milliseconds on a clock that never jumps; only differences mean anything.
using Moment = std::int64_t;

/// One HTTP header; names are lower case.
struct Header {
  std::string name;
  std::string value;
};

/// Names and bytes of the newest record under each name on the node's disk.
using Records = std::map<std::string, std::string>;

/// First event of a process: what the disk held and a random number.
struct Started {
  std::uint64_t random;
  Records records;
};
/// The loop's alarm; carries randomness for the step.
struct Ticked {
  std::uint64_t random;
  /// Milliseconds that the step before this one took the thread.
  Moment took = 0;
};
/// A message of another weldsail process.
struct MessageArrived {
  wire::Envelope envelope;
};
/// Number of the listener that is there for figures alone.
inline constexpr int metrics_door = 2;

/// A caller's or operator's whole request.
struct RequestArrived {
  std::uint64_t request;
  std::string method;
  std::string path;
  std::vector<Header> headers;
  Body body;
  /// The path with its query, as received.
  std::string target = {};
  /// The value of the Host header as received; empty when there is none.
  std::string authority = {};
  /// Number of the listener through which it came.
  int door = 0;
  /// When it was read whole; nothing where that is the moment of the step.
  std::optional<Moment> read_at = {};
};

/// When a request arrived here, if it is taken now.
inline Moment arrival(const RequestArrived& request, Moment now) { return request.read_at.value_or(now); }

/// The one who asked has gone.
struct RequestGone {
  std::uint64_t request;
};
/// Status and headers of an answer on a pipe that we opened.
struct PipeHead {
  std::uint64_t pipe;
  int status;
  std::vector<Header> headers;
};
/// Body bytes on a pipe that we opened.
struct PipeBytes {
  std::uint64_t pipe;
  std::string bytes;
};
/// A pipe has ended; `whole` when the answer's framing was met, `sent` when a byte may have left.
struct PipeEnded {
  std::uint64_t pipe;
  bool whole;
  bool sent;
  std::string reason;
};
/// Reason of a pipe that ended because its time was over.
inline constexpr const char* past_due_reason = "past due";
/// Reason of a pipe that wasn't connected in its time; such a pipe is unsent.
inline constexpr const char* connect_past_due_reason = "connect past due";

/// The disk has synced (or failed to sync) what was handed over under the token.
struct Persisted {
  std::uint64_t token;
  bool kept;
};
/// The process was told to leave.
struct Leaving {};
/// The process was told that its settings have changed.
struct SettingsChanged {};

/// What the shell counts of connections, told before a request for the process's figures.
struct TransportObserved {
  TransportFigures figures;
};

/// Everything that can happen to a process.
using Event = std::variant<Started, Ticked, MessageArrived, RequestArrived, RequestGone, PipeHead, PipeBytes, PipeEnded,
                           Persisted, Leaving, SettingsChanged, TransportObserved>;

}  // namespace weldsail
