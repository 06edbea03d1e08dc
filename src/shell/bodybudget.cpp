#include "shell/bodybudget.hpp"

namespace weldsail {
namespace {

/// Bytes with the count that they are part of.
struct CountedBytes {
  CountedBytes(std::string text, std::shared_ptr<std::size_t> sum) : bytes(std::move(text)), used(std::move(sum)) {
    *used += bytes.size();
  }
  CountedBytes(const CountedBytes&) = delete;
  CountedBytes& operator=(const CountedBytes&) = delete;
  ~CountedBytes() { *used -= bytes.size(); }

  const std::string bytes;
  const std::shared_ptr<std::size_t> used;
};

}  // namespace

bool BodyBudget::reserve(std::size_t bytes) {
  if (bytes > limit_ || *used_ > limit_ - bytes) return false;
  *used_ += bytes;
  return true;
}

Body BodyBudget::keep(std::string bytes) {
  if (bytes.empty()) return {};
  const auto counted = std::make_shared<const CountedBytes>(std::move(bytes), used_);
  return Body(std::shared_ptr<const std::string>(counted, &counted->bytes));
}

}  // namespace weldsail
