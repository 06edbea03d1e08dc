#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace weldsail {

/// Bytes that count as one token where only text is known.
inline constexpr std::size_t bytes_per_token = 4;
/// Tokens of one prefix block.
inline constexpr std::size_t block_tokens = 64;
/// Blocks that this node believes a worker keeps for a model.
inline constexpr std::size_t block_limit = 8192;

/// Chained hashes of a prompt's whole blocks.
std::vector<std::uint64_t> prefix_blocks(const std::string& seed, const std::string& prompt);

/// Blocks that were sent to one worker, oldest first.
struct PrefixMemory {
  std::set<std::uint64_t> known;
  std::deque<std::uint64_t> order;
};

/// Prompt tokens that the worker probably has.
std::uint64_t prefix_hits(const PrefixMemory& memory, const std::vector<std::uint64_t>& blocks);
void prefix_remember(PrefixMemory& memory, const std::vector<std::uint64_t>& blocks);

}  // namespace weldsail
