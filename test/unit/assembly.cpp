#include <catch2/catch.hpp>

#include "core/bulk/assembly.hpp"

using namespace weldsail;

TEST_CASE("the memory for unfinished messages is bounded, and let go in time", "[bulk]") {
  AssemblyState state;
  constexpr std::size_t most = 64U << 20U;
  const std::string bytes(1U << 20U, 'x');
  for (std::uint64_t round = 0; round < 60; ++round)
    for (std::uint64_t sender = 1; sender <= 3; ++sender) {
      wire::BulkPiece piece;
      piece.set_message(1);
      piece.set_size(most);
      const auto found = state.senders.find(sender);
      piece.set_offset(found == state.senders.end() ? 0 : found->second.bytes.size());
      piece.set_bytes(bytes);
      assembly_take(state, sender, piece, static_cast<Moment>(round));
      REQUIRE(assembly_bytes(state) <= most);
    }
  CHECK(state.dropped > 0);
  assembly_expire(state, 20 * state.bound);
  CHECK(state.senders.empty());
}

TEST_CASE("a piece that fits nothing is answered plainly and changes nothing", "[bulk]") {
  AssemblyState state;
  wire::BulkPiece piece;
  piece.set_message(2);
  piece.set_size(10);
  piece.set_offset(5);
  piece.set_bytes("12345");
  CHECK(assembly_take(state, 1, piece, 1).answer.unknown());
  piece.set_offset(0);
  CHECK(assembly_take(state, 1, piece, 1).answer.received() == 5);
  auto beyond = piece;
  beyond.set_offset(~std::uint64_t{0} - 2);
  CHECK(assembly_take(state, 1, beyond, 1).answer.unknown());
  auto other_size = piece;
  other_size.set_size(11);
  CHECK(assembly_take(state, 1, other_size, 1).answer.unknown());
  auto old = piece;
  old.set_message(1);
  CHECK(assembly_take(state, 1, old, 1).answer.received() == 10);
  piece.set_offset(5);
  const auto taken = assembly_take(state, 1, piece, 1);
  CHECK(taken.whole == "1234512345");
  CHECK(!assembly_take(state, 1, piece, 1).whole);
}

TEST_CASE("an acknowledgement tells which piece it answers", "[bulk]") {
  AssemblyState state;
  wire::BulkPiece piece;
  piece.set_message(1);
  piece.set_size(10);
  piece.set_bytes("12345");
  const auto first = assembly_take(state, 1, piece, 1).answer;
  CHECK(first.has_offset());
  CHECK(first.offset() == 0);
  piece.set_offset(5);
  CHECK(assembly_take(state, 1, piece, 1).answer.offset() == 5);
  piece.set_message(2);
  const auto unknown = assembly_take(state, 1, piece, 1).answer;
  CHECK(unknown.unknown());
  CHECK(unknown.offset() == 5);
}
