#pragma once
#include "core/body.hpp"

namespace weldsail {

/// Memory that requests of callers may take in this process: what is arriving, and each whole body until the last one
/// that needs it lets go, wherever it stands.
class BodyBudget {
 public:
  explicit BodyBudget(std::size_t limit) : limit_(limit) {}
  /// Sets room aside for bytes that are arriving; false, and nothing is set aside, where they don't fit.
  bool reserve(std::size_t bytes);
  void release(std::size_t bytes) { *used_ -= bytes; }
  /// A whole body, counted for as long as any copy of it lives.
  Body keep(std::string bytes);
  std::size_t used() const { return *used_; }
  std::size_t limit() const { return limit_; }

 private:
  std::size_t limit_;
  std::shared_ptr<std::size_t> used_ = std::make_shared<std::size_t>(0);
};

}  // namespace weldsail
