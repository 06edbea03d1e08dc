#pragma once
#include "asker.hpp"
#include "fleetview.hpp"
#include "ledger.hpp"

namespace weldsail::soak {

/// What all operators share: which routes are next to add, and what was told.
struct OperatorShare {
  std::size_t next_route = 0;
  std::size_t next_due = 6000;
  /// Operators' own revisions rise in uneven steps; the first document has 1.
  std::uint64_t newest_revision = 1;
  /// So many routes are added by one change once this many changes are acknowledged.
  std::size_t large_change = 0;
  std::size_t large_after = 6;
};

/// An operator that sends small changes in quick succession, repeats acknowledged ones, and repeats what is unclear
/// until it hears clearly; it races with the others for each version.
class Operator {
 public:
  Operator(std::string name, FleetView fleet, Asker& asker, Ledger& ledger, OperatorShare& share,
           const DocumentForm& form, std::uint64_t seed);
  void tick(Moment now);
  /// Begins no change any more.
  void stop() { stopped_ = true; }
  /// True when nothing of this operator is unclear.
  bool idle() const { return !asking_ && !change_; }
  std::size_t unclear() const { return unclear_; }
  std::size_t repeated() const { return repeated_; }

 private:
  SoakChange next_change();
  std::size_t pick_process();
  void send(const SoakChange& change, bool repeat, Moment now);
  void answered(const SoakChange& change, bool repeat, Moment sent, const Reply& reply);

  std::string name_;
  FleetView fleet_;
  Asker& asker_;
  Ledger& ledger_;
  OperatorShare& share_;
  const DocumentForm& form_;
  Random random_;
  std::optional<SoakChange> change_;
  std::uint64_t known_ = 0;
  std::size_t serial_ = 0;
  std::size_t unclear_ = 0;
  std::size_t repeated_ = 0;
  Moment next_ = 0;
  bool asking_ = false;
  bool stopped_ = false;
};

}  // namespace weldsail::soak
