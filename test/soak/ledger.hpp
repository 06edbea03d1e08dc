#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/event.hpp"
#include "documentform.hpp"
#include "shell/loop.hpp"

namespace weldsail::soak {

/// A change of the configuration as an operator sends it, each time alike.
struct SoakChange {
  std::string id;
  std::uint64_t base = 0;
  std::string body;
  RouteChange routes;
};

/// A change that was acknowledged.
struct Acknowledged {
  SoakChange change;
  Moment first_heard = 0;
  /// What later changes are built on: the operator's revision where documents carry one, else the version.
  std::uint64_t number = 0;
};

/// What operators were told, and what follows from it for every later answer. Breaches are kept as text.
class Ledger {
 public:
  explicit Ledger(const DocumentForm& form) : form_(form) {}
  /// A change is sent, for the first time or again.
  void sent(const SoakChange& change, Moment now) { sent_.try_emplace(change.id, SentChange{change.base, now}); }
  /// A change was answered as accepted.
  void accepted(const SoakChange& change, std::uint64_t version, Moment now);
  /// A change was refused; `newest` is the newest version where the answer told it, `sent` is when the request left.
  void refused(const SoakChange& change, int status, std::optional<std::uint64_t> newest, Moment sent);
  /// A configuration was read from `reader`; `sent` is when the request left.
  void read(const std::string& reader, std::uint64_t version, const std::string& document, Moment sent);
  /// The configuration's history at the end: versions and identities.
  void history(const std::vector<std::pair<std::uint64_t, std::string>>& listed);
  void breach(const std::string& text);
  /// Adds to the story of the run, for the report of a failure.
  void tell(const std::string& text);
  const std::string& story() const { return story_; }

  /// When the first acknowledged version that has the route was acknowledged; 0 for none.
  Moment route_since(std::size_t route) const;
  /// Newest version that was acknowledged until a moment; 0 for none.
  std::uint64_t newest_until(Moment moment) const;
  /// Newest number to build on that was acknowledged or read.
  std::uint64_t newest_number() const;
  std::uint64_t newest() const { return changes_.empty() ? 0 : changes_.rbegin()->first; }
  const std::map<std::uint64_t, Acknowledged>& changes() const { return changes_; }
  const std::vector<std::string>& breaches() const { return breaches_; }
  /// Routes that the newest changes acknowledged until a moment have set; routes are never removed.
  std::vector<std::size_t> newest_routes(Moment moment, std::size_t most) const;
  std::size_t refused_count() const { return refused_.size(); }
  std::size_t reads() const { return reads_; }

 private:
  struct SentChange {
    std::uint64_t base = 0;
    Moment first_sent = 0;
  };
  struct Refusal {
    std::uint64_t base = 0;
    Moment heard = 0;
  };
  void check_order(std::map<std::uint64_t, Acknowledged>::const_iterator entry);
  void check_refusals(const std::map<std::uint64_t, std::string>& by_version);

  const DocumentForm& form_;
  std::map<std::string, SentChange> sent_;
  std::map<std::uint64_t, Acknowledged> changes_;
  std::map<std::string, std::uint64_t> versions_;
  std::map<std::string, Refusal> refused_;
  /// Digest of each version's document.
  std::map<std::uint64_t, std::size_t> documents_;
  std::vector<std::string> breaches_;
  std::set<std::string> breaches_told_;
  std::string story_;
  Moment begun_ = monotonic_now();
  std::size_t reads_ = 0;
  std::uint64_t newest_revision_read_ = 0;
};

}  // namespace weldsail::soak
