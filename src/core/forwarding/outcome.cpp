#include "core/forwarding/outcome.hpp"

namespace weldsail {
namespace {

// The only inheritance in the tree: std::error_code has no other way in.
class Category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "weldsail"; }
  std::string message(int value) const override {
    switch (static_cast<Breakdown>(value)) {
      case Breakdown::malformed: return "malformed";
      case Breakdown::too_large: return "too large";
      case Breakdown::not_found: return "not found";
      case Breakdown::refused: return "refused";
      case Breakdown::disk_corrupt: return "disk corrupt";
      case Breakdown::disk_newer: return "disk written by a newer release";
      case Breakdown::disk_unwritable: return "disk unwritable";
      case Breakdown::address_unusable: return "address unusable";
      case Breakdown::pipe_broken: return "pipe broken";
      case Breakdown::past_due: return "past due";
    }
    return "unknown breakdown";
  }
};

}  // namespace

const std::error_category& breakdown_category() {
  static const Category category;
  return category;
}

std::error_code make_error_code(Breakdown breakdown) { return {static_cast<int>(breakdown), breakdown_category()}; }

}  // namespace weldsail
