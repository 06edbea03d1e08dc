#include "core/placement/refusals.hpp"

#include <algorithm>

namespace weldsail {

void refusals_add(Refusals& refusals, const std::string& name, Moment least, Moment most, Moment now) {
  auto& refusal = refusals[name];
  refusal.pause = std::clamp(refusal.pause * 2, least, most);
  refusal.until = now + refusal.pause;
}

bool refusals_active(const Refusals& refusals, const std::string& name, Moment now) {
  const auto found = refusals.find(name);
  return found != refusals.end() && now < found->second.until;
}

}  // namespace weldsail
