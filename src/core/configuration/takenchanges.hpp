#pragma once
#include <optional>
#include <string>

#include "core/event.hpp"

namespace weldsail {

/// Changes by which a repeat is recognised: at 15,000 changes a day, the last 98 minutes of them.
inline constexpr std::size_t remembered_changes = 1024;

/// Bytes kept of a change's SHA-256.
inline constexpr std::size_t fingerprint_bytes = 16;

/// A change about to be taken.
struct TakenChange {
  std::string fingerprint;
  /// Number of the configuration that it was built on.
  std::uint64_t base = 0;
  /// Number of the configuration that it brings; above `base`.
  std::uint64_t number = 0;
};

/// A change that the record holds.
struct RecordedChange {
  /// Changes recorded after it.
  std::size_t later = 0;
  /// Number of the configuration that it was built on.
  std::uint64_t base = 0;
  bool operator==(const RecordedChange&) const = default;
};

/// Fingerprint of an order's content. Where documents are `numbered` by the operator, these are the kind and the bytes
/// sent, and for an amendment the base; otherwise the change's identity counts as well. Two orders are the same change
/// if their fingerprints and their bases are equal.
std::string change_fingerprint(const wire::Operate& operation, bool numbered);

/// Adds a change to the record and drops the oldest beyond `most`. A record that doesn't end at the change's base (a
/// process of a former release has taken changes since) begins anew.
void taken_add(wire::TakenChanges& record, const TakenChange& change, std::size_t most);

std::size_t taken_count(const wire::TakenChanges& record);

/// The newest change with this fingerprint; nothing if there is none.
std::optional<RecordedChange> taken_find(const wire::TakenChanges& record, const std::string& fingerprint);

/// True when the record holds every change from its first base up to the configuration of this number.
bool taken_complete(const wire::TakenChanges& record, std::uint64_t number);

}  // namespace weldsail
