#pragma once
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "core/bulk/window.hpp"
#include "core/delta.hpp"
#include "core/event.hpp"
#include "core/timehistogram.hpp"

namespace weldsail {

/// Values up to this size travel inside News; larger ones are offered there and fetched in parts.
inline constexpr std::size_t inline_most = delta_least;
/// Bytes of one part, and so all that one fetch has under way at a time: what is put behind it waits no longer than
/// these bytes take.
inline constexpr std::size_t part_bytes = piece_most;

/// A process that has offered a value.
struct ValueSource {
  std::string address;
  std::uint64_t version = 0;
  /// Asks since its last offer or part that it hasn't answered in time.
  std::uint64_t unanswered = 0;
  /// Times in a row that this version, fetched whole from here, wasn't what its hash says, and the end of the pause
  /// that follows the last time.
  std::uint64_t unfit = 0;
  Moment pause_until = 0;
};

/// A large value that is being fetched, part by part, with one ask under way at a time.
struct Fetch {
  std::uint64_t source = 0;
  std::string address;
  /// The version that was asked for, or that the parts so far are of.
  std::uint64_t version = 0;
  std::uint64_t epoch = 0;
  /// The content is a chain from this version; 0 when it is the value itself.
  std::uint64_t base_version = 0;
  std::uint64_t size = 0;
  std::string received;
  std::string value_hash;
  /// When the last ask was sent, and how long its answer may take.
  Moment asked = 0;
  Moment patience = 0;
};

/// Links between the newest versions of a key that went through here, without a gap.
struct LinkHistory {
  std::deque<wire::ValueLink> links;
  /// Encoded size of all links.
  std::size_t bytes = 0;
};

/// Content that somebody fetches; kept while it is asked for, though a newer version may have come.
struct ServedContent {
  std::string key;
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  std::uint64_t base_version = 0;
  /// Nothing for the whole value that is the newest here: its bytes are those in NewsState::values.
  std::optional<std::string> own_bytes;
  std::string value_hash;
  Moment asked = 0;
};

/// Upper bounds, in milliseconds, of the buckets of times from the first word of a version until it is here.
inline constexpr std::array<Moment, 8> adoption_buckets{25, 50, 100, 250, 500, 1000, 2500, 5000};

/// What the delivery of large values counts, from the start of the process.
struct DeliveryCounters {
  /// Bytes of parts and of values inside News that were sent.
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t fetches = 0;
  /// Parts that were asked for once more, as no answer had come in time.
  std::uint64_t parts_repeated = 0;
  /// Fetches that began anew: the source had something else by then, or the result wasn't what had been offered.
  std::uint64_t fetches_restarted = 0;
  /// Broken invariants (docs/design-delivery.md); must stay 0.
  std::uint64_t violations = 0;
  /// Pauses of a source, as a value that it gave whole wasn't what its hash says.
  std::uint64_t source_pauses = 0;
};

/// Delivery of values that are too large for one message.
struct DeliveryState {
  /// For each key, who has offered a version newer than the one here.
  std::map<std::string, std::map<std::uint64_t, ValueSource>> sources;
  std::map<std::string, Fetch> fetches;
  /// What no fetch is under way for, as its sources pause, isn't begun sooner.
  Moment resume_at = 0;
  std::map<std::string, LinkHistory> links;
  std::deque<ServedContent> served;
  /// Parts that are being sent, and pieces of large messages.
  SendWindow window;
  /// Versions of the configuration that are known to be committed and aren't here yet, with when that was heard.
  std::map<std::uint64_t, Moment> missing;
  DeliveryCounters counters;
  TimeHistogram<adoption_buckets> adoption;
};

}  // namespace weldsail
