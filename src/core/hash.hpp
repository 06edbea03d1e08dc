#pragma once
#include <string>
#include <string_view>

namespace weldsail {

/// SHA-256 of some bytes.
std::string sha256(std::string_view bytes);

}  // namespace weldsail
