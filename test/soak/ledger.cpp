#include "ledger.hpp"

#include <algorithm>
#include <functional>

namespace weldsail::soak {
namespace {

constexpr std::size_t breaches_most = 40;

std::string text_of(std::uint64_t number) { return std::to_string(number); }

}  // namespace

void Ledger::breach(const std::string& text) {
  tell("BREACH " + text);
  if (breaches_.size() < breaches_most && breaches_told_.insert(text).second) breaches_.push_back(text);
}

void Ledger::tell(const std::string& text) {
  story_ += "  " + std::to_string(monotonic_now() - begun_) + " ms: " + text + "\n";
}

void Ledger::accepted(const SoakChange& change, std::uint64_t version, Moment now) {
  if (refused_.contains(change.id)) breach("accepted after it was refused: " + change.id);
  const auto [known, fresh] = versions_.try_emplace(change.id, version);
  if (!fresh && known->second != version)
    breach("repeat of " + change.id + " acknowledged as version " + text_of(version) + ", before as " +
           text_of(known->second));
  if (fresh) tell("acknowledged " + text_of(version) + " " + change.id);
  const auto [entry, added] =
      changes_.try_emplace(version, Acknowledged{change, now, form_.numbered ? change.routes.revision : version});
  if (!added && entry->second.change.id != change.id)
    breach("version " + text_of(version) + " acknowledged for " + change.id + " and for " + entry->second.change.id);
  if (entry->second.number <= change.base) breach(change.id + " acknowledged with a number that isn't above its base");
  if (added) check_order(entry);
}

/// Versions and the numbers that changes are built on rise together.
void Ledger::check_order(std::map<std::uint64_t, Acknowledged>::const_iterator entry) {
  const auto next = std::next(entry);
  const bool above = entry == changes_.begin() || std::prev(entry)->second.number < entry->second.number;
  const bool below = next == changes_.end() || entry->second.number < next->second.number;
  if (!above || !below)
    breach("version " + text_of(entry->first) + " has number " + text_of(entry->second.number) +
           ", out of order with its neighbours");
}

void Ledger::refused(const SoakChange& change, int status, std::optional<std::uint64_t> newest, Moment sent) {
  if (versions_.contains(change.id))
    return breach("repeat of acknowledged " + change.id + " refused with " + std::to_string(status));
  if (status != form_.conflict_status) breach(change.id + " refused with " + std::to_string(status));
  if (newest && *newest < newest_until(sent))
    breach(change.id + " refused with newest " + text_of(*newest) +
           ", acknowledged before it was sent: " + text_of(newest_until(sent)));
  refused_.try_emplace(change.id, Refusal{change.base, monotonic_now()});
}

/// Whatever was refused as built on an older document: another change on the same base was taken, and had been sent by
/// then. Judged where the history is whole.
void Ledger::check_refusals(const std::map<std::uint64_t, std::string>& by_version) {
  if (by_version.begin()->first > 1) return;
  // The first document is built on nothing, before all trouble.
  std::map<std::uint64_t, Moment> built_on = {{0, 0}};
  for (const auto& [version, id] : by_version)
    if (const auto found = sent_.find(id); found != sent_.end())
      built_on.try_emplace(found->second.base, found->second.first_sent);
  for (const auto& [id, refusal] : refused_) {
    const auto found = built_on.find(refusal.base);
    if (found == built_on.end() || found->second > refusal.heard)
      breach(id + " refused, though nothing else was built on " + text_of(refusal.base) + " by then");
  }
}

void Ledger::read(const std::string& reader, std::uint64_t version, const std::string& document, Moment sent) {
  ++reads_;
  const auto least = newest_until(sent);
  if (version < least) {
    const auto lag = sent - changes_.at(least).first_heard;
    breach("older read: " + reader + " gave version " + text_of(version) + ", version " + text_of(least) +
           " was acknowledged " + std::to_string(lag) + " ms before the read was sent");
  }
  newest_revision_read_ = std::max(newest_revision_read_, form_.revision(document));
  const auto digest = std::hash<std::string>{}(document);
  const auto [known, fresh] = documents_.try_emplace(version, digest);
  if (!fresh && known->second != digest) breach("version " + text_of(version) + " read with two contents");
}

void Ledger::history(const std::vector<std::pair<std::uint64_t, std::string>>& listed) {
  if (listed.empty()) return breach("the history is empty");
  std::map<std::uint64_t, std::string> by_version(listed.begin(), listed.end());
  for (const auto& [version, id] : by_version)
    if (refused_.contains(id)) breach("refused " + id + " stands in the history as version " + text_of(version));
  for (const auto& [version, entry] : changes_) {
    if (version < by_version.begin()->first) continue;
    const auto found = by_version.find(version);
    if (found == by_version.end() || found->second != entry.change.id)
      breach("lost: version " + text_of(version) + " of acknowledged " + entry.change.id + " isn't in the history");
  }
  check_refusals(by_version);
}

std::uint64_t Ledger::newest_number() const {
  return std::max(newest_revision_read_, changes_.empty() ? 0 : changes_.rbegin()->second.number);
}

Moment Ledger::route_since(std::size_t route) const {
  for (const auto& [version, entry] : changes_)
    if (entry.change.routes.from <= route && route < entry.change.routes.until) return entry.first_heard;
  return 0;
}

std::uint64_t Ledger::newest_until(Moment moment) const {
  std::uint64_t newest = 0;
  for (const auto& [version, entry] : changes_)
    if (entry.first_heard <= moment) newest = version;
  return newest;
}

std::vector<std::size_t> Ledger::newest_routes(Moment moment, std::size_t most) const {
  std::vector<std::size_t> routes;
  for (auto item = changes_.rbegin(); item != changes_.rend() && routes.size() < most; ++item)
    if (item->second.first_heard <= moment) routes.push_back(item->second.change.routes.until - 1);
  return routes;
}

}  // namespace weldsail::soak
