#include "core/placement/plantext.hpp"

namespace weldsail {

void PlanText::clear() {
  whole_ = false;
  counts_.clear();
  workers_.clear();
}

void PlanText::write_count(const HolderPlan& plan, const std::string& unit) {
  ++pieces_written_;
  const auto found = plan.counts.find(unit);
  wire::Placement piece;
  if (found != plan.counts.end()) write_plan_count(found->second, piece);
  if (piece.counts_size() > 0)
    counts_[unit] = piece.SerializeAsString();
  else
    counts_.erase(unit);
}

void PlanText::write_worker(const HolderPlan& plan, const std::string& identity) {
  ++pieces_written_;
  const auto found = plan.workers.find(identity);
  if (found == plan.workers.end()) {
    workers_.erase(identity);
    return;
  }
  wire::Placement piece;
  write_plan_worker(identity, found->second, piece);
  workers_[identity] = piece.SerializeAsString();
}

std::string PlanText::write(const HolderPlan& plan, const wire::Placement& head) {
  if (!whole_) {
    clear();
    for (const auto& [unit, count] : plan.counts) write_count(plan, unit);
    for (const auto& [identity, worker] : plan.workers) write_worker(plan, identity);
    whole_ = true;
  } else {
    for (const auto& unit : plan.touched_units) write_count(plan, unit);
    for (const auto& identity : plan.touched_workers) write_worker(plan, identity);
  }
  // Fields of a message that follow each other are the message.
  auto text = head.SerializeAsString();
  for (const auto& [unit, piece] : counts_) text += piece;
  for (const auto& [identity, piece] : workers_) text += piece;
  return text;
}

}  // namespace weldsail
