#pragma once
#include <string>
#include <vector>

namespace weldsail::unit {

/// Keys of the tenants t0, t1 and so on.
using Keys = std::vector<std::vector<std::string>>;

/// The member of a configuration document that has these tenants, each with more members of its own.
inline std::string tenants_member(const Keys& keys, const std::string& more = {}) {
  std::string text;
  for (std::size_t place = 0; place < keys.size(); ++place) {
    text += (place == 0 ? "" : ",") + std::string(R"({"label":"t)") + std::to_string(place) + R"(","credentials":[)";
    for (std::size_t number = 0; number < keys[place].size(); ++number)
      text += (number == 0 ? "\"" : ",\"") + keys[place][number] + "\"";
    text += "]" + more + "}";
  }
  return R"(,"tenants":[)" + text + "]";
}

}  // namespace weldsail::unit
