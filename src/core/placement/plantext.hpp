#pragma once
#include <map>
#include <string>

#include "core/placement/plan.hpp"

namespace weldsail {

/// A plan as the bytes of the register's value, kept in pieces: writing it anew costs what was touched since.
class PlanText {
 public:
  /// Forgets all pieces: the plan isn't the one that was written last.
  void clear();
  /// The bytes of a placement with the head's decision, term and drains, and with the plan's counts and workers. Only
  /// units and workers that the plan marks as touched may differ from those of the last call.
  std::string write(const HolderPlan& plan, const wire::Placement& head);
  /// Pieces that were written anew.
  std::uint64_t pieces_written() const { return pieces_written_; }

 private:
  void write_count(const HolderPlan& plan, const std::string& unit);
  void write_worker(const HolderPlan& plan, const std::string& identity);

  bool whole_ = false;
  std::map<std::string, std::string> counts_;
  std::map<std::string, std::string> workers_;
  std::uint64_t pieces_written_ = 0;
};

}  // namespace weldsail
