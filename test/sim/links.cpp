#include "sim/links.hpp"

#include <algorithm>
#include <cmath>

namespace weldsail::sim {

void Links::limit(const std::string& address, const LinkRates& rates) {
  if (rates.in > 0) queues_[{address, LinkSide::in}].rate = rates.in;
  if (rates.out > 0) queues_[{address, LinkSide::out}].rate = rates.out;
}

Moment Links::carry(const std::string& address, LinkSide side, wire::Envelope::BodyCase body, std::size_t bytes,
                    Moment now) {
  const auto found = queues_.find({address, side});
  if (found == queues_.end()) return now;
  auto& queue = found->second;
  const auto begins = std::max(queue.free_at, static_cast<double>(now));
  if (queued) queued({address, side, body, bytes, (begins - static_cast<double>(now)) * queue.rate});
  queue.free_at = begins + static_cast<double>(bytes) / queue.rate;
  return static_cast<Moment>(std::ceil(queue.free_at));
}

void Links::clear(const std::string& address) {
  for (const auto side : {LinkSide::in, LinkSide::out})
    if (const auto found = queues_.find({address, side}); found != queues_.end()) found->second.free_at = 0;
}

}  // namespace weldsail::sim
