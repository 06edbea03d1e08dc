#pragma once
#include "core/dialect.hpp"

namespace weldsail {

/// What becomes of a change of a configuration of routes by host and path.
struct PathDecision {
  /// 200 where the document may be proposed, 412 for another base, 400 for anything invalid.
  int status = 200;
  std::string document;
  std::vector<Fault> faults;
};

/// Decides a change that was not taken before, against the current document and its revision (0 for none).
PathDecision path_change(const Dialect& dialect, const std::string& current, std::uint64_t revision,
                         const wire::Operate& operation);

/// A call on the configuration as an operation of the product; the same bytes give the same change.
wire::Operate path_operation(const ConfigCall& call, const RequestArrived& event);

}  // namespace weldsail
