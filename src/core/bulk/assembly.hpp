#pragma once
#include <map>
#include <optional>
#include <string>

#include "core/event.hpp"

namespace weldsail {

/// What has come of the newest message of one life of a sender.
struct Assembly {
  std::uint64_t message = 0;
  std::uint64_t size = 0;
  std::string bytes;
  /// All of it has come and was handed on.
  bool whole = false;
  Moment heard = 0;
};

/// Messages that other processes send here in pieces.
struct AssemblyState {
  Moment bound = 3000;
  std::map<std::uint64_t, Assembly> senders;
  Moment next_expiry = 0;
  /// Messages that were dropped unfinished, from the start of the process.
  std::uint64_t dropped = 0;
};

/// What a piece led to.
struct PieceTaken {
  wire::BulkAcknowledged answer;
  /// The message's bytes, once they are all there.
  std::optional<std::string> whole = {};
};

PieceTaken assembly_take(AssemblyState& state, std::uint64_t sender, const wire::BulkPiece& piece, Moment now);
/// Forgets senders that have long been silent; looks for them once a bound.
void assembly_expire(AssemblyState& state, Moment now);
std::size_t assembly_bytes(const AssemblyState& state);

}  // namespace weldsail
