#pragma once
#include <memory>
#include <string>
#include <string_view>

namespace weldsail {

/// The bytes of a request, which never change. Copies share them; they are given back when the last copy lets go.
class Body {
 public:
  Body() = default;
  /// Takes the bytes without counting them anywhere.
  Body(std::string bytes) : bytes_(std::make_shared<const std::string>(std::move(bytes))) {}  // NOLINT
  Body(const char* bytes) : Body(std::string(bytes)) {}                                       // NOLINT
  explicit Body(std::shared_ptr<const std::string> bytes) : bytes_(std::move(bytes)) {}

  const std::string& text() const {
    static const std::string none;
    return bytes_ == nullptr ? none : *bytes_;
  }
  operator const std::string&() const { return text(); }  // NOLINT
  const char* data() const { return text().data(); }
  std::size_t size() const { return text().size(); }
  bool empty() const { return text().empty(); }
  bool operator==(const Body& other) const { return text() == other.text(); }

 private:
  std::shared_ptr<const std::string> bytes_;
};

}  // namespace weldsail
