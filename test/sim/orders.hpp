#pragma once
#include <optional>
#include <set>

#include "core/dialect.hpp"

namespace weldsail::sim {

/// A change as an operator sends it, again and again without a difference.
struct Order {
  bool amends = false;
  std::uint64_t base = 0;
  /// Number that it brings.
  std::uint64_t number = 0;
  /// Identity at the product's own interface; two orders may bear the same.
  std::string identity;
  /// Routes that it brings; each content has one that no other has.
  std::set<std::string> routes;
  /// A route that an amendment removes.
  std::string removed;
  bool operator==(const Order&) const = default;
};

/// A configuration as far as the model knows it: its number and the names of its routes.
struct PlainConfig {
  std::uint64_t number = 0;
  std::set<std::string> routes;
  bool operator==(const PlainConfig&) const = default;
};

/// The operators' interface as a slow, plain register: a change is taken if and only if it builds on the number in
/// force and raises it.
std::optional<PlainConfig> plain_change(const PlainConfig& current, const Order& order);

/// The order as a request, in the dialect's words or the product's own.
RequestArrived order_request(const Order& order, bool dialect);

/// The request that reads the configuration.
RequestArrived read_request(bool dialect);

/// What a document holds; where documents have no number, it is the version given.
PlainConfig plain_config(const std::string& document, bool dialect, std::uint64_t version);

}  // namespace weldsail::sim
