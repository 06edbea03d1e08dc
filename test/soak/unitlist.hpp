#pragma once
#include "shell/server.hpp"

namespace weldsail::soak {

/// A deployment's list of workers, which has none.
class UnitList {
 public:
  explicit UnitList(Loop& loop);
  /// Listens on a free port; false when that can't be had.
  bool listen();
  const std::string& address() const { return address_; }

 private:
  Server server_;
  std::string address_;
};

}  // namespace weldsail::soak
