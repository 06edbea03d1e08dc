#include "core/bulk/assembly.hpp"

#include <algorithm>

#include "core/effect.hpp"

namespace weldsail {
namespace {

/// A sender is remembered for longer than it tries to send a piece, so that a repeated one is known as such.
constexpr Moment remembered_bounds = 10;

bool well_formed(const wire::BulkPiece& piece) {
  return piece.message() != 0 && !piece.bytes().empty() && piece.size() <= message_most &&
         piece.offset() <= piece.size() && piece.bytes().size() <= piece.size() - piece.offset();
}

/// Makes room for more bytes of a sender's message at the cost of others' that have rested the longest.
void make_room(AssemblyState& state, std::uint64_t sender, std::size_t more) {
  while (assembly_bytes(state) + more > message_most) {
    auto oldest = state.senders.end();
    for (auto item = state.senders.begin(); item != state.senders.end(); ++item) {
      if (item->first == sender || item->second.bytes.empty()) continue;
      if (oldest == state.senders.end() || item->second.heard < oldest->second.heard) oldest = item;
    }
    if (oldest == state.senders.end()) return;
    state.senders.erase(oldest);
    ++state.dropped;
  }
}

PieceTaken answer(const wire::BulkPiece& piece, std::uint64_t received) {
  PieceTaken taken;
  taken.answer.set_message(piece.message());
  taken.answer.set_received(received);
  return taken;
}

PieceTaken answer_unknown(const wire::BulkPiece& piece) {
  auto taken = answer(piece, 0);
  taken.answer.set_unknown(true);
  return taken;
}

}  // namespace

PieceTaken assembly_take(AssemblyState& state, std::uint64_t sender, const wire::BulkPiece& piece, Moment now) {
  if (!well_formed(piece)) return answer_unknown(piece);
  const auto found = state.senders.find(sender);
  const bool newer = found == state.senders.end() || piece.message() > found->second.message;
  if (newer && piece.offset() != 0) return answer_unknown(piece);
  if (!newer && piece.message() < found->second.message) return answer(piece, piece.size());
  auto& assembly = state.senders[sender];
  assembly.heard = now;
  if (newer) {
    // The sender has given up the message before, if that wasn't whole.
    if (!assembly.bytes.empty()) ++state.dropped;
    assembly = {piece.message(), piece.size(), {}, false, now};
  }
  if (assembly.whole) return answer(piece, piece.size());
  if (piece.size() != assembly.size) return answer_unknown(piece);
  if (piece.offset() != assembly.bytes.size()) return answer(piece, assembly.bytes.size());
  make_room(state, sender, piece.bytes().size());
  assembly.bytes += piece.bytes();
  auto taken = answer(piece, assembly.bytes.size());
  if (assembly.bytes.size() < assembly.size) return taken;
  assembly.whole = true;
  taken.whole = std::exchange(assembly.bytes, {});
  return taken;
}

void assembly_expire(AssemblyState& state, Moment now) {
  if (now < state.next_expiry) return;
  state.next_expiry = now + state.bound;
  std::erase_if(state.senders, [&](const auto& item) {
    const bool old = now - item.second.heard > remembered_bounds * state.bound;
    if (old && !item.second.bytes.empty()) ++state.dropped;
    return old;
  });
}

std::size_t assembly_bytes(const AssemblyState& state) {
  std::size_t bytes = 0;
  for (const auto& [sender, assembly] : state.senders) bytes += assembly.bytes.size();
  return bytes;
}

}  // namespace weldsail
