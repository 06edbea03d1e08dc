#include "core/bulk/topic.hpp"
#include "unit/bulkbench.hpp"

using namespace weldsail;

/// What a cold review found in the sending of large messages.
namespace {

wire::Envelope copies_of_core(std::uint64_t core_version) {
  wire::Envelope envelope;
  envelope.mutable_copy_answer()->set_core_version(core_version);
  return envelope;
}

}  // namespace

TEST_CASE("on a path slower than the first patience, pieces aren't sent twice each", "[bulk]") {
  constexpr std::uint64_t pieces = 12;
  for (const Moment way : {100, 250, 400}) {
    CAPTURE(way);
    BulkBench bench(1);
    for (const auto* address : {"a", "b"}) bench.add(address);
    bench.delay_least = bench.delay_most = way;
    bench.send("a", "b", (pieces - 1) * piece_most);
    bench.run_until(bench.now + 30000);
    CHECK(bench.delivered());
    const auto& counters = bench.processes.at("a").bulk.lane.counters;
    CHECK(counters.pieces_repeated <= pieces / 3);
  }
}

TEST_CASE("copies for a repair and for a recovery don't make each other needless", "[bulk]") {
  const auto recovery = message_topic(copies_of_core(0));
  const auto repair = message_topic(copies_of_core(7));
  CHECK(recovery.supersedes);
  CHECK(recovery.name != repair.name);
  CHECK(repair.name == message_topic(copies_of_core(7)).name);
}

TEST_CASE("parts that nobody asks on from leave the window to pieces", "[bulk]") {
  BulkBench bench(2);
  for (const auto* address : {"a", "b"}) bench.add(address);
  auto& sender = bench.processes.at("a");
  for (std::uint64_t asker = 1; asker <= 3; ++asker)
    window_take(sender.window, BulkUse::part, asker, piece_most, bench.now);
  bench.run_until(bench.now + BulkBench::bound / 10);
  bench.send("a", "b", 2 * piece_most);
  CHECK(window_bytes(sender.window, BulkUse::part) == 0);
  CHECK(window_bytes(sender.window, BulkUse::piece) == piece_most);
  bench.run_until(bench.now + 1000);
  CHECK(bench.delivered());
}

TEST_CASE("an unfinished message is let go though no other piece comes", "[bulk]") {
  BulkBench bench(3);
  for (const auto* address : {"a", "b"}) bench.add(address);
  bench.send("a", "b", 20 * piece_most);
  bench.run_until(bench.now + 100);
  auto& receiver = bench.processes.at("b");
  CHECK(assembly_bytes(receiver.bulk.assembly) > 0);
  bench.processes.at("a").alive = false;
  bench.run_until(bench.now + 12 * BulkBench::bound);
  CHECK(assembly_bytes(receiver.bulk.assembly) == 0);
  CHECK(receiver.bulk.assembly.dropped == 1);
}
