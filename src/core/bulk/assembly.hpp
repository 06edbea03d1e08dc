#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

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
  /// Kept with each change of `senders`: their bytes, and the order in which they were heard last, of those whose
  /// message is unfinished and of the others.
  std::size_t bytes = 0;
  std::set<std::pair<Moment, std::uint64_t>> unfinished;
  std::set<std::pair<Moment, std::uint64_t>> finished;
  /// Messages that were dropped unfinished, from the start of the process.
  std::uint64_t dropped = 0;
  /// Senders that were looked at, from the start of the process.
  std::uint64_t visits = 0;
};

/// What a piece led to.
struct PieceTaken {
  wire::BulkAcknowledged answer;
  /// The message's bytes, once they are all there.
  std::optional<std::string> whole = {};
};

PieceTaken assembly_take(AssemblyState& state, std::uint64_t sender, const wire::BulkPiece& piece, Moment now);
/// Forgets senders that have long been silent.
void assembly_expire(AssemblyState& state, Moment now);
std::size_t assembly_bytes(const AssemblyState& state);

}  // namespace weldsail
