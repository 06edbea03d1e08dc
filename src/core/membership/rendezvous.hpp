#pragma once
#include <cstdint>
#include <string_view>
#include <vector>

namespace weldsail {

/// Mixes a number so that near inputs give far outputs.
std::uint64_t mix(std::uint64_t value);
/// Hash of some bytes, the same on every machine and in every release.
std::uint64_t digest(std::string_view bytes);
/// Weight of a candidate for a key; the largest weight wins.
std::uint64_t rendezvous_weight(std::uint64_t key, std::uint64_t candidate);
/// The candidates by falling weight for the key.
std::vector<std::uint64_t> rendezvous_order(std::uint64_t key, std::vector<std::uint64_t> candidates);

}  // namespace weldsail
