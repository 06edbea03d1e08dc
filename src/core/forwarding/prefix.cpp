#include "core/forwarding/prefix.hpp"

#include "core/membership/rendezvous.hpp"

namespace weldsail {

std::vector<std::uint64_t> prefix_blocks(const std::string& seed, const std::string& prompt) {
  constexpr auto block_bytes = block_tokens * bytes_per_token;
  std::vector<std::uint64_t> blocks;
  auto chain = digest(seed);
  for (std::size_t begin = 0; begin + block_bytes <= prompt.size(); begin += block_bytes) {
    chain = mix(chain ^ digest(std::string_view(prompt).substr(begin, block_bytes)));
    blocks.push_back(chain);
  }
  return blocks;
}

std::uint64_t prefix_hits(const PrefixMemory& memory, const std::vector<std::uint64_t>& blocks) {
  std::uint64_t hits = 0;
  for (const auto block : blocks) {
    if (!memory.known.contains(block)) break;
    hits += block_tokens;
  }
  return hits;
}

void prefix_remember(PrefixMemory& memory, const std::vector<std::uint64_t>& blocks) {
  for (const auto block : blocks)
    if (memory.known.insert(block).second) memory.order.push_back(block);
  while (memory.order.size() > block_limit) {
    memory.known.erase(memory.order.front());
    memory.order.pop_front();
  }
}

}  // namespace weldsail
