#include "core/membership/rendezvous.hpp"

#include <algorithm>

namespace weldsail {

std::uint64_t mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15U;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

std::uint64_t digest(std::string_view bytes) {
  std::uint64_t hash = 0xcbf29ce484222325U;
  for (const char byte : bytes) hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3U;
  return mix(hash);
}

std::uint64_t rendezvous_weight(std::uint64_t key, std::uint64_t candidate) { return mix(key ^ mix(candidate)); }

std::vector<std::uint64_t> rendezvous_order(std::uint64_t key, std::vector<std::uint64_t> candidates) {
  std::ranges::sort(candidates, [key](std::uint64_t left, std::uint64_t right) {
    const auto left_weight = rendezvous_weight(key, left);
    const auto right_weight = rendezvous_weight(key, right);
    return left_weight != right_weight ? left_weight > right_weight : left > right;
  });
  return candidates;
}

}  // namespace weldsail
