#pragma once
#include "sim/fleet.hpp"

namespace weldsail::sim {

/// What a document holds of the changes, as a plain model: the newest whole change and those that amended it since.
struct HistoryContent {
  std::uint64_t whole = 0;
  std::set<std::uint64_t> amendments;
  auto operator<=>(const HistoryContent&) const = default;
};

/// One change of the configuration, whole or an amendment, as asked and answered.
struct HistoryChange {
  std::uint64_t number = 0;
  std::uint64_t base = 0;
  bool whole = true;
  Moment answered = 0;
  bool accepted = false;
  bool refused = false;
};

/// Operators that make many changes one after another, at times two on one base, and read between them.
class HistoryOperator {
 public:
  explicit HistoryOperator(Fleet& fleet) : fleet_(fleet) {}
  /// Begins changes until so many have been accepted or the moment has come.
  void work(std::uint64_t changes, Moment end);
  /// Asks for no change before the moment.
  void pause_until(Moment moment) { paused_until_ = std::max(paused_until_, moment); }
  std::uint64_t accepted() const { return accepted_; }
  /// Newest version that was acknowledged or read.
  std::uint64_t newest() const { return newest_; }
  /// Compares a document that was seen as the version with the plain model.
  void check(std::uint64_t version, const std::string& document, const std::string& where);
  std::vector<std::string> faults;

 private:
  void change(std::uint64_t base);
  void read(const std::string& node);
  /// What may stand as the version: where a change on its base was accepted that one alone, else any that wasn't
  /// refused.
  std::set<HistoryContent> possible(std::uint64_t version) const;
  Fleet& fleet_;
  std::map<std::uint64_t, HistoryChange> changes_;
  std::map<std::uint64_t, std::vector<std::uint64_t>> changes_on_;
  std::map<std::uint64_t, HistoryContent> seen_;
  std::set<std::uint64_t> under_way_;
  Moment paused_until_ = 0;
  std::uint64_t next_ = 1;
  std::uint64_t accepted_ = 0;
  std::uint64_t newest_ = 0;
};

}  // namespace weldsail::sim
