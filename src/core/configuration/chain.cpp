#include "core/configuration/chain.hpp"

#include <vector>

#include "core/delta.hpp"

namespace weldsail {

std::optional<wire::RegisterValue> follow_chain(const wire::RegisterValue& own, const wire::ValueChain& chain) {
  wire::RegisterValue value;
  value.set_key(own.key());
  value.set_version(own.version());
  std::vector<const wire::Delta*> deltas;
  for (const auto& link : chain.links()) {
    if (link.version() <= value.version()) continue;
    if (link.base_version() != value.version()) return std::nullopt;
    value.set_version(link.version());
    value.set_epoch(link.epoch());
    deltas.push_back(&link.delta());
  }
  auto result = apply_deltas(own.value(), deltas);
  if (!result) return std::nullopt;
  value.set_value(std::move(*result));
  return value;
}

}  // namespace weldsail
