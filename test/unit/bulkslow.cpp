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

TEST_CASE("a receiver that has lost what it had is sent that again", "[bulk]") {
  BulkBench bench(4);
  for (const auto* address : {"a", "b"}) bench.add(address);
  bench.send("a", "b", 12 * piece_most);
  auto& sender = bench.processes.at("a");
  auto& receiver = bench.processes.at("b");
  wire::BulkPiece first;
  first.set_message(1);
  first.set_offset(0);
  first.set_size(sender.bulk.lane.peers.begin()->second.queue.front().bytes.size());
  first.set_bytes(sender.bulk.lane.peers.begin()->second.queue.front().bytes.substr(0, piece_most));
  bench.run_until(bench.now + 150);
  REQUIRE(assembly_bytes(receiver.bulk.assembly) > 2 * piece_most);
  // Others' messages took its room, and the first piece comes a second time after that.
  receiver.bulk.assembly = {};
  bulk_configure(receiver.bulk, BulkBench::bound);
  assembly_take(receiver.bulk.assembly, bench.node("a"), first, bench.now);
  bench.run_until(bench.now + 10000);
  CHECK(sender.bulk.lane.counters.given_up == 0);
  CHECK(bench.delivered());
}

TEST_CASE("an acknowledgement that was delayed sends nothing again", "[bulk]") {
  LaneState lane;
  SendWindow window;
  lane_put(lane, 1, "p", bulk_message(std::string(4 * piece_most, 'x')));
  const auto acknowledged = [&](std::size_t offset, std::size_t received) {
    wire::BulkAcknowledged answer;
    answer.set_message(1);
    answer.set_offset(offset);
    answer.set_received(received);
    lane_acknowledged(lane, window, 1, answer, 1000);
  };
  lane_send(lane, window, 1000);
  acknowledged(0, piece_most);
  lane_send(lane, window, 1000);
  acknowledged(0, piece_most);
  acknowledged(0, 0);
  CHECK(lane.peers.at(1).acknowledged == piece_most);
  CHECK(lane.peers.at(1).awaiting);
  acknowledged(piece_most, 2 * piece_most);
  CHECK(lane.peers.at(1).acknowledged == 2 * piece_most);
}

TEST_CASE("a view that waits isn't queued twice for its age, and tells the newest age", "[bulk]") {
  BulkBench bench(5);
  for (const auto* address : {"a", "b"}) bench.add(address);
  const auto view = [&](std::uint64_t age) {
    auto envelope = member_envelope(bench.processes.at("a").member, bench.node("b"));
    envelope.mutable_fleet()->add_workers()->set_identity(std::string(4 * piece_most, 'v'));
    envelope.mutable_fleet()->set_age_ms(age);
    return envelope;
  };
  bench.send("a", "b", view(700));
  bench.run_until(bench.now + 50);
  const auto heard = bench.now;
  bench.send("a", "b", view(100));
  bench.processes.at("a").sent[bench.node("b")].pop_back();
  bench.send("a", "b", view(400));
  bench.processes.at("a").sent[bench.node("b")].pop_back();
  CHECK(bench.processes.at("a").bulk.lane.counters.duplicates == 2);
  while (bench.ages_taken.empty() && bench.now < heard + 5000) bench.run_until(bench.now + 1);
  const auto waited = static_cast<std::uint64_t>(bench.now - heard);
  REQUIRE(bench.ages_taken.size() == 1);
  // The last piece tells the age at its sending.
  CHECK(bench.ages_taken.front() <= 100 + waited);
  CHECK(bench.ages_taken.front() + static_cast<std::uint64_t>(bench.delay_most) + 1 >= 100 + waited);
  bench.run_until(bench.now + 5000);
  CHECK(bench.delivered());
  CHECK(bench.ages_taken.size() == 1);
}
