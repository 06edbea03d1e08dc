#include "core/delta.hpp"

#include <algorithm>
#include <array>
#include <unordered_map>
#include <vector>

#include "core/effect.hpp"
#include "core/hash.hpp"
#include "core/membership/rendezvous.hpp"

namespace weldsail {
namespace {

/// A block is at least and at most this long; it ends where the low bits of a rolling hash are zero.
constexpr std::size_t block_least = 32;
constexpr std::size_t block_most = 1024;
constexpr std::uint64_t boundary_mask = 0x7f;
/// A text that consists of more pieces isn't followed.
constexpr std::size_t pieces_most = 1U << 16U;

/// Bytes of a string that stand in one piece.
struct Span {
  std::size_t offset;
  std::size_t length;
};

/// A random-looking number for each byte value.
const std::array<std::uint64_t, 256>& byte_hashes() {
  static const auto table = [] {
    std::array<std::uint64_t, 256> hashes{};
    for (std::size_t value = 0; value < hashes.size(); ++value) hashes[value] = mix(value + 1);
    return hashes;
  }();
  return table;
}

std::size_t block_length(std::string_view bytes) {
  const auto& hashes = byte_hashes();
  const auto most = std::min(bytes.size(), block_most);
  std::uint64_t rolling = 0;
  for (std::size_t place = 0; place < most; ++place) {
    // Bytes that are more than 64 places back have been shifted out.
    rolling = (rolling << 1U) + hashes[static_cast<unsigned char>(bytes[place])];
    if (place + 1 >= block_least && ((rolling >> 32U) & boundary_mask) == 0) return place + 1;
  }
  return most;
}

std::vector<Span> cut_blocks(std::string_view bytes) {
  std::vector<Span> blocks;
  for (std::size_t offset = 0; offset < bytes.size();) {
    const auto length = block_length(bytes.substr(offset));
    blocks.push_back({offset, length});
    offset += length;
  }
  return blocks;
}

void add_copy(wire::Delta& delta, std::size_t offset, std::size_t length) {
  if (delta.steps_size() > 0) {
    auto& last = *delta.mutable_steps()->rbegin();
    if (last.literal().empty() && last.offset() + last.length() == offset) {
      last.set_length(last.length() + length);
      return;
    }
  }
  auto* step = delta.add_steps();
  step->set_offset(offset);
  step->set_length(length);
}

void add_literal(wire::Delta& delta, std::string_view bytes) {
  auto* step = delta.steps_size() > 0 ? &*delta.mutable_steps()->rbegin() : delta.add_steps();
  step->mutable_literal()->append(bytes);
}

/// A text that is made of pieces of others, which outlive it.
class PiecedText {
 public:
  std::size_t size() const { return size_; }
  bool too_large() const { return size_ > message_most || pieces_.size() > pieces_most; }

  void append(std::string_view bytes) {
    if (bytes.empty()) return;
    pieces_.push_back({size_, bytes});
    size_ += bytes.size();
  }

  /// Appends a range of another text, which lies within it.
  void append(const PiecedText& other, std::size_t offset, std::size_t length) {
    auto piece = std::ranges::upper_bound(other.pieces_, offset, {}, &Piece::offset);
    if (piece != other.pieces_.begin()) --piece;
    for (; length > 0; ++piece) {
      const auto bytes = piece->bytes.substr(offset - piece->offset, length);
      append(bytes);
      offset += bytes.size();
      length -= bytes.size();
    }
  }

  std::string text() const {
    std::string text;
    text.reserve(size_);
    for (const auto& piece : pieces_) text += piece.bytes;
    return text;
  }

 private:
  struct Piece {
    std::size_t offset;
    std::string_view bytes;
  };

  std::vector<Piece> pieces_;
  std::size_t size_ = 0;
};

/// What a delta makes of its base, by pieces of the base and of the delta; nothing when it doesn't fit or is too large.
std::optional<PiecedText> follow_delta(const PiecedText& base, const wire::Delta& delta) {
  PiecedText result;
  for (const auto& step : delta.steps()) {
    if (step.offset() > base.size() || step.length() > base.size() - step.offset()) return std::nullopt;
    result.append(base, step.offset(), step.length());
    result.append(step.literal());
    if (result.too_large()) return std::nullopt;
  }
  return result;
}

}  // namespace

wire::Delta make_delta(std::string_view base, std::string_view target) {
  std::unordered_map<std::string_view, std::size_t> base_blocks;
  for (const auto& block : cut_blocks(base)) base_blocks.emplace(base.substr(block.offset, block.length), block.offset);
  wire::Delta delta;
  // Where the last copied block ends in the base: equal blocks may stand in many places, and the next one goes on
  // there.
  std::size_t following = 0;
  for (const auto& block : cut_blocks(target)) {
    const auto bytes = target.substr(block.offset, block.length);
    const bool follows = following <= base.size() && base.substr(following, block.length) == bytes;
    const auto found = follows ? base_blocks.end() : base_blocks.find(bytes);
    if (!follows && found == base_blocks.end()) {
      add_literal(delta, bytes);
      continue;
    }
    const auto offset = follows ? following : found->second;
    add_copy(delta, offset, block.length);
    following = offset + block.length;
  }
  delta.set_result_hash(sha256(target));
  return delta;
}

std::optional<std::string> apply_delta(std::string_view base, const wire::Delta& delta) {
  return apply_deltas(base, {&delta});
}

std::optional<std::string> apply_deltas(std::string_view base, const std::vector<const wire::Delta*>& deltas) {
  if (deltas.empty()) return std::nullopt;
  PiecedText text;
  text.append(base);
  for (const auto* delta : deltas) {
    auto next = follow_delta(text, *delta);
    if (!next) return std::nullopt;
    text = std::move(*next);
  }
  auto result = text.text();
  if (sha256(result) != deltas.back()->result_hash()) return std::nullopt;
  return result;
}

}  // namespace weldsail
