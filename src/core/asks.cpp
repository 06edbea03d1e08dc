#include "core/asks.hpp"

#include <algorithm>

namespace weldsail {
namespace {

void raise(std::optional<Moment>& moment, const std::optional<Moment>& other) {
  if (other) moment = std::max(moment.value_or(*other), *other);
}

bool forgotten(const AskRecord& record, Moment bound, Moment asked) {
  return record.last_asked && asked - *record.last_asked > asks_forgotten_bounds * bound;
}

}  // namespace

void asks_take(AskRecord& record, Moment bound, Moment now) {
  if (!record.unserved_since || forgotten(record, bound, now)) record.unserved_since = now;
  record.last_asked = now;
}

void asks_serve(AskRecord& record, Moment now) {
  record.last_served = now;
  record.unserved_since.reset();
}

void asks_merge(AskRecord& record, const AskRecord& told, Moment bound) {
  if (!told.last_asked) return;
  if (forgotten(record, bound, *told.last_asked)) record.unserved_since.reset();
  raise(record.last_asked, told.last_asked);
  raise(record.last_served, told.last_served);
  // Who asked last before somebody was served hasn't asked again: nothing is known to be owed there.
  const bool owed = told.unserved_since && (!record.last_served || *told.last_asked > *record.last_served);
  if (owed)
    record.unserved_since = std::min(record.unserved_since.value_or(*told.unserved_since), *told.unserved_since);
  if (!record.unserved_since || !record.last_served) return;
  if (*record.last_asked <= *record.last_served)
    record.unserved_since.reset();
  else
    raise(record.unserved_since, record.last_served);
}

bool asks_owed(const AskRecord& record, Moment bound, Moment now) {
  return record.unserved_since && !forgotten(record, bound, now);
}

Moment asks_age(const AskRecord& record, Moment bound, Moment now) {
  return asks_owed(record, bound, now) ? now - *record.unserved_since : 0;
}

std::uint64_t told_age(const std::optional<Moment>& moment, Moment now) {
  return moment ? static_cast<std::uint64_t>(std::max<Moment>(0, now - *moment)) + 1 : 0;
}

std::optional<Moment> heard_age(std::uint64_t age, Moment now) {
  if (age == 0) return std::nullopt;
  return now - static_cast<Moment>(age - 1);
}

}  // namespace weldsail
