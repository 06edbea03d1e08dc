#include "unit/bulkbench.hpp"

using namespace weldsail;

/// What a higher epoch of a key makes of the large messages under a lower one.
namespace {

constexpr std::size_t large = 200U << 10U;
constexpr std::uint64_t lower = 4096;
constexpr std::uint64_t higher = 8192;

BulkBench two() {
  BulkBench bench(1);
  for (const auto* address : {"a", "b"}) bench.add(address);
  return bench;
}

wire::Envelope accept(BulkBench& bench, std::uint64_t epoch, const std::string& key = "config") {
  auto envelope = member_envelope(bench.processes.at("a").member, bench.node("b"));
  envelope.mutable_accept()->set_key(key);
  envelope.mutable_accept()->set_epoch(epoch);
  envelope.mutable_accept()->set_value(std::string(large, static_cast<char>('a' + epoch / lower)));
  return envelope;
}

wire::Envelope promise(BulkBench& bench, std::uint64_t epoch) {
  auto envelope = member_envelope(bench.processes.at("a").member, bench.node("b"));
  envelope.mutable_promise()->set_key("config");
  envelope.mutable_promise()->set_epoch(epoch);
  envelope.mutable_promise()->set_value(std::string(large, 'p'));
  return envelope;
}

wire::Envelope prepare(BulkBench& bench, std::uint64_t epoch) {
  auto envelope = member_envelope(bench.processes.at("a").member, bench.node("b"));
  envelope.mutable_prepare()->set_key("config");
  envelope.mutable_prepare()->set_epoch(epoch);
  return envelope;
}

std::size_t taken(BulkBench& bench) { return bench.processes.at("b").taken[bench.node("a")].size(); }

}  // namespace

TEST_CASE("an accept or a promise of a higher epoch ends one of a lower epoch that has begun", "[bulk]") {
  const bool as_accept = GENERATE(true, false);
  auto bench = two();
  bench.send("a", "b", as_accept ? accept(bench, lower) : promise(bench, lower));
  bench.run_until(bench.now + 100);
  const auto begun = bench.piece_bytes["b"];
  REQUIRE(begun > 0);
  bench.send("a", "b", as_accept ? accept(bench, higher) : promise(bench, higher));
  bench.run_until(bench.now + 5000);
  CHECK(taken(bench) == 1);
  CHECK(bench.piece_bytes["b"] - begun <= large + piece_most);
  CHECK(bench.processes.at("a").bulk.lane.counters.superseded == 1);
  CHECK(bench.resting());
}

TEST_CASE("a prepare that goes before accepts of lower epochs ends them", "[bulk]") {
  auto bench = two();
  bench.send("a", "b", accept(bench, lower));
  bench.send("a", "b", accept(bench, lower, "placement"));
  bench.run_until(bench.now + 100);
  const auto begun = bench.piece_bytes["b"];
  REQUIRE(begun > 0);
  bench.send("a", "b", prepare(bench, higher));
  bench.run_until(bench.now + 5000);
  // The other key's is sent as if nothing had been.
  CHECK(taken(bench) == 1);
  CHECK(bench.piece_bytes["b"] - begun <= large + piece_most);
  CHECK(bench.resting());
}

TEST_CASE("an accept of the same or of a lower epoch ends none that has begun", "[bulk]") {
  const auto second = GENERATE(lower, higher);
  auto bench = two();
  bench.send("a", "b", accept(bench, higher));
  bench.run_until(bench.now + 100);
  auto envelope = accept(bench, second);
  envelope.mutable_accept()->set_version(1);
  bench.send("a", "b", envelope);
  bench.run_until(bench.now + 5000);
  CHECK(taken(bench) == 2);
  CHECK(bench.resting());
}

namespace {

BulkMessage promise_of(std::uint64_t epoch) {
  BulkMessage message;
  message.topic = {"promise config", true, epoch};
  message.priority = BulkPriority::urgent;
  message.bytes = std::string(large, static_cast<char>('a' + epoch));
  return message;
}

}  // namespace

TEST_CASE("a late promise of a lower epoch leaves one of a higher epoch that waits", "[bulk]") {
  LaneState lane;
  lane_put(lane, 1, "p", promise_of(2));
  lane_put(lane, 1, "p", promise_of(1));
  CHECK(lane.counters.superseded == 0);
  REQUIRE(lane.peers.at(1).queue.size() == 2);
  CHECK(lane.peers.at(1).queue.front().topic.epoch == 2);
}

TEST_CASE("urgent messages that are abandoned one after another leave ordinary ones their turn", "[bulk]") {
  LaneState lane;
  SendWindow window;
  lane_put(lane, 1, "p", promise_of(1));
  lane_send(lane, window, 1000);
  BulkMessage ordinary;
  ordinary.bytes = std::string(large, 'o');
  lane_put(lane, 1, "p", std::move(ordinary));
  std::size_t rounds = 0;
  for (std::uint64_t epoch = 2; epoch < 12; ++epoch) {
    lane_abandon(lane, window, 1, {"promise config", true, epoch});
    lane_put(lane, 1, "p", promise_of(epoch));
    const auto pieces = lane_send(lane, window, 1000);
    if (!pieces.empty() && pieces.front().piece.bytes().front() == 'o') break;
    ++rounds;
  }
  CHECK(rounds < urgent_in_a_row_most);
}
