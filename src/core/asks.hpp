#pragma once
#include <optional>

#include "core/event.hpp"

namespace weldsail {

/// An ask that comes later than this many bounds after the one before it begins anew: nobody went on asking.
inline constexpr Moment asks_forgotten_bounds = 4;

/// Callers' asks for one model or adapter, over all their tries: when it was asked for and served, and since when it is
/// owed to them.
struct AskRecord {
  std::optional<Moment> last_asked = {};
  std::optional<Moment> last_served = {};
  /// The first ask since it was last served; none where nothing is owed.
  std::optional<Moment> unserved_since = {};
};

/// Takes a caller's ask.
void asks_take(AskRecord& record, Moment bound, Moment now);
/// A caller was served.
void asks_serve(AskRecord& record, Moment now);
/// Adds what another process tells of its callers.
void asks_merge(AskRecord& record, const AskRecord& told, Moment bound);
/// True while something is owed and callers go on asking for it.
bool asks_owed(const AskRecord& record, Moment bound, Moment now);
/// Milliseconds since the first unserved ask; 0 where nothing is owed, or nobody has gone on asking.
Moment asks_age(const AskRecord& record, Moment bound, Moment now);

/// A moment as it is told to another process: its age and one millisecond, or 0 for none.
std::uint64_t told_age(const std::optional<Moment>& moment, Moment now);
std::optional<Moment> heard_age(std::uint64_t age, Moment now);

}  // namespace weldsail
