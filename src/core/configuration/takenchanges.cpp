#include "core/configuration/takenchanges.hpp"

#include <numeric>

#include "core/hash.hpp"

namespace weldsail {
namespace {

/// Parts end with a byte that none but the last can hold, so that no two lists of parts read alike.
std::string hash_parts(const std::vector<std::string_view>& parts) {
  std::string bytes;
  for (const auto& part : parts) {
    bytes += part;
    bytes += '\0';
  }
  return sha256(bytes).substr(0, fingerprint_bytes);
}

void drop_oldest(wire::TakenChanges& record, std::size_t count) {
  for (std::size_t place = 0; place < count; ++place)
    record.set_first_base(record.first_base() + record.steps(static_cast<int>(place)));
  record.mutable_steps()->erase(record.steps().begin(), record.steps().begin() + static_cast<std::ptrdiff_t>(count));
  record.mutable_fingerprints()->erase(0, count * fingerprint_bytes);
}

}  // namespace

std::string change_fingerprint(const wire::Operate& operation, bool numbered) {
  if (!numbered)
    return hash_parts({"change", operation.change(), operation.method(), operation.base(), operation.body()});
  if (operation.method() == "PUT") return hash_parts({"replace", operation.body()});
  return hash_parts({"amend", operation.base(), operation.body()});
}

std::size_t taken_count(const wire::TakenChanges& record) { return static_cast<std::size_t>(record.steps_size()); }

bool taken_complete(const wire::TakenChanges& record, std::uint64_t number) {
  const auto end = std::accumulate(record.steps().begin(), record.steps().end(), record.first_base());
  const bool whole = record.fingerprints().size() == taken_count(record) * fingerprint_bytes;
  return record.steps_size() > 0 && whole && end == number;
}

void taken_add(wire::TakenChanges& record, const TakenChange& change, std::size_t most) {
  if (!taken_complete(record, change.base)) {
    record.Clear();
    record.set_first_base(change.base);
  }
  record.add_steps(change.number - change.base);
  record.mutable_fingerprints()->append(change.fingerprint);
  if (taken_count(record) > most) drop_oldest(record, taken_count(record) - most);
}

std::optional<RecordedChange> taken_find(const wire::TakenChanges& record, const std::string& fingerprint) {
  const std::string_view all = record.fingerprints();
  const auto count = taken_count(record);
  if (fingerprint.size() != fingerprint_bytes || all.size() != count * fingerprint_bytes) return std::nullopt;
  for (auto place = count; place-- > 0;) {
    if (all.substr(place * fingerprint_bytes, fingerprint_bytes) != fingerprint) continue;
    const auto earlier = record.steps().begin() + static_cast<std::ptrdiff_t>(place);
    return RecordedChange{count - 1 - place, std::accumulate(record.steps().begin(), earlier, record.first_base())};
  }
  return std::nullopt;
}

}  // namespace weldsail
