#include "core/bulk/assembly.hpp"

#include "core/effect.hpp"

namespace weldsail {
namespace {

/// A sender is remembered for longer than it tries to send a piece, so that a repeated one is known as such.
constexpr Moment remembered_bounds = 10;

bool well_formed(const wire::BulkPiece& piece) {
  return piece.message() != 0 && !piece.bytes().empty() && piece.size() <= message_most &&
         piece.offset() <= piece.size() && piece.bytes().size() <= piece.size() - piece.offset();
}

using HeardOrder = std::set<std::pair<Moment, std::uint64_t>>;

/// The order in which a sender stands: the unfinished messages are those that hold bytes.
HeardOrder& order_of(AssemblyState& state, const Assembly& assembly) {
  return assembly.bytes.empty() ? state.finished : state.unfinished;
}

/// Takes a sender out of the sums before it is changed.
void uncount(AssemblyState& state, std::uint64_t sender, const Assembly& assembly) {
  state.bytes -= assembly.bytes.size();
  order_of(state, assembly).erase({assembly.heard, sender});
}

void count(AssemblyState& state, std::uint64_t sender, const Assembly& assembly) {
  state.bytes += assembly.bytes.size();
  order_of(state, assembly).emplace(assembly.heard, sender);
}

void forget(AssemblyState& state, std::uint64_t sender) {
  const auto found = state.senders.find(sender);
  uncount(state, sender, found->second);
  if (!found->second.bytes.empty()) ++state.dropped;
  state.senders.erase(found);
}

/// Makes room for more bytes of the sender's message, which isn't counted at the moment, at the cost of others' that
/// have rested the longest.
void make_room(AssemblyState& state, std::size_t bytes) {
  while (state.bytes + bytes > message_most && !state.unfinished.empty()) {
    ++state.visits;
    forget(state, state.unfinished.begin()->second);
  }
}

PieceTaken answer(const wire::BulkPiece& piece, std::uint64_t received) {
  PieceTaken taken;
  taken.answer.set_message(piece.message());
  taken.answer.set_received(received);
  taken.answer.set_offset(piece.offset());
  return taken;
}

PieceTaken answer_unknown(const wire::BulkPiece& piece) {
  auto taken = answer(piece, 0);
  taken.answer.set_unknown(true);
  return taken;
}

/// Adds a piece to its sender's message, which isn't counted at the moment.
PieceTaken add_piece(AssemblyState& state, Assembly& assembly, const wire::BulkPiece& piece) {
  if (assembly.whole) return answer(piece, piece.size());
  if (piece.size() != assembly.size) return answer_unknown(piece);
  if (piece.offset() != assembly.bytes.size()) return answer(piece, assembly.bytes.size());
  make_room(state, assembly.bytes.size() + piece.bytes().size());
  assembly.bytes += piece.bytes();
  auto taken = answer(piece, assembly.bytes.size());
  if (assembly.bytes.size() < assembly.size) return taken;
  assembly.whole = true;
  taken.whole = std::exchange(assembly.bytes, {});
  return taken;
}

}  // namespace

PieceTaken assembly_take(AssemblyState& state, std::uint64_t sender, const wire::BulkPiece& piece, Moment now) {
  if (!well_formed(piece)) return answer_unknown(piece);
  ++state.visits;
  const auto found = state.senders.find(sender);
  const bool newer = found == state.senders.end() || piece.message() > found->second.message;
  if (newer && piece.offset() != 0) return answer_unknown(piece);
  if (!newer && piece.message() < found->second.message) return answer(piece, piece.size());
  // The sender has given up the message before, if that wasn't whole.
  if (newer && found != state.senders.end()) forget(state, sender);
  auto& assembly = state.senders[sender];
  if (newer)
    assembly = {piece.message(), piece.size(), {}, false, now};
  else
    uncount(state, sender, assembly);
  assembly.heard = now;
  auto taken = add_piece(state, assembly, piece);
  count(state, sender, assembly);
  return taken;
}

void assembly_expire(AssemblyState& state, Moment now) {
  const auto latest = now - remembered_bounds * state.bound;
  for (auto* order : {&state.unfinished, &state.finished})
    while (!order->empty() && order->begin()->first < latest) {
      ++state.visits;
      forget(state, order->begin()->second);
    }
}

std::size_t assembly_bytes(const AssemblyState& state) { return state.bytes; }

}  // namespace weldsail
