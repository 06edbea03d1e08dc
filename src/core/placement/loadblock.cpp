#include "core/placement/loadblock.hpp"

#include <algorithm>

namespace weldsail {
namespace {

/// Failures further apart than this many bounds aren't in a row.
constexpr Moment row_bounds = 3;
constexpr std::size_t doublings_most = 3;

}  // namespace

void load_block_failed(LoadBlock& block, Moment bound, Moment now) {
  if (now < block.until) return;
  const bool in_a_row = now - std::max(block.last, block.until) <= row_bounds * bound;
  if (!in_a_row) block = {};
  if (!block.since) block.since = now;
  block.last = now;
  if (now - *block.since < bound) return;
  block.until = now + (bound << std::min(block.times++, doublings_most));
  block.since.reset();
}

bool load_blocked(const WorkerBook& book, const std::string& model, Moment now) {
  if (now < book.roomless.until) return true;
  const auto found = book.refused_loads.find(model);
  return found != book.refused_loads.end() && now < found->second.until;
}

}  // namespace weldsail
