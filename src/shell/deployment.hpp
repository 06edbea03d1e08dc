#pragma once
#include <expected>
#include <string>
#include <utility>
#include <vector>

#include "core/dialect.hpp"
#include "core/limits.hpp"
#include "core/membership/member.hpp"

namespace weldsail {

/// What the deployment tells a program besides its command line.
struct Deployment {
  /// Flags by name with their values; a switch has none. Flags of the command line win.
  std::vector<std::pair<std::string, std::string>> flags;
  Limits limits;
  /// How the outside speaks; null for the product's own interface.
  const Dialect* dialect = nullptr;
};

/// Reads what the deployment says; without a deployment nothing is set. Errors name what is wrong.
std::expected<Deployment, std::vector<std::string>> deployment_options(Program program);

}  // namespace weldsail
