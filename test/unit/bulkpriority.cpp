#include "unit/bulkbench.hpp"

using namespace weldsail;

/// Consensus goes before what is told to many, and neither stands still for the other.
namespace {

constexpr std::size_t view_size = 100000;
constexpr std::size_t accept_size = 300000;

wire::Envelope view_to(BulkBench& bench, const std::string& to) {
  auto envelope = member_envelope(bench.processes.at("a").member, bench.node(to));
  envelope.mutable_fleet()->add_workers()->set_identity(std::string(view_size, 'v'));
  return envelope;
}

wire::Envelope accept_to(BulkBench& bench, const std::string& to, std::uint64_t version) {
  auto envelope = member_envelope(bench.processes.at("a").member, bench.node(to));
  envelope.mutable_accept()->set_key("config");
  envelope.mutable_accept()->set_version(version);
  envelope.mutable_accept()->set_value(std::string(accept_size, static_cast<char>('a' + version % 20)));
  return envelope;
}

wire::Envelope change_to(BulkBench& bench, const std::string& to, std::uint64_t request) {
  auto envelope = member_envelope(bench.processes.at("a").member, bench.node(to));
  envelope.mutable_operate()->set_request(request);
  envelope.mutable_operate()->set_method("PUT");
  envelope.mutable_operate()->set_body(std::string(2 * piece_most, static_cast<char>('a' + request % 20)));
  return envelope;
}

std::uint64_t sent_bytes(const BulkBench& bench) {
  std::uint64_t bytes = 0;
  for (const auto& [address, count] : bench.piece_bytes) bytes += count;
  return bytes;
}

/// Large messages of a kind that a peer has taken.
std::size_t taken_count(const BulkBench& bench, const std::string& by, wire::Envelope::BodyCase kind) {
  std::size_t count = 0;
  for (const auto& [sender, taken] : bench.processes.at(by).taken)
    for (const auto& bytes : taken) {
      wire::Envelope envelope;
      envelope.ParseFromString(bytes);
      count += envelope.body_case() == kind ? 1 : 0;
    }
  return count;
}

void run_until_taken(BulkBench& bench, const std::string& by, wire::Envelope::BodyCase kind) {
  for (int turn = 0; turn < 60000 && taken_count(bench, by, kind) == 0; ++turn) bench.run_until(bench.now + 1);
  REQUIRE(taken_count(bench, by, kind) > 0);
}

BulkBench bench_of(std::size_t peers) {
  BulkBench bench(1);
  bench.add("a");
  for (std::size_t place = 0; place < peers; ++place) bench.add("p" + std::to_string(place));
  return bench;
}

/// A view to each of the first peers.
void send_views(BulkBench& bench, int peers) {
  for (int place = 0; place < peers; ++place) {
    const auto address = "p" + std::to_string(place);
    bench.send("a", address, view_to(bench, address));
  }
}

}  // namespace

TEST_CASE("an accept doesn't wait for views of the fleet to 200 data nodes", "[bulk]") {
  auto bench = bench_of(201);
  send_views(bench, 200);
  bench.send("a", "p200", accept_to(bench, "p200", 1));
  run_until_taken(bench, "p200", wire::Envelope::kAccept);
  const auto before = sent_bytes(bench) - bench.piece_bytes["p200"];
  CAPTURE(before);
  CHECK(before <= accept_size + 2 * piece_most);
  bench.run_until(bench.now + 60000);
  CHECK(bench.delivered());
}

TEST_CASE("an accept to a peer goes before all views to it but the one that has begun", "[bulk]") {
  auto bench = bench_of(200);
  send_views(bench, 200);
  for (int count = 0; count < 3; ++count) bench.send("a", "p0", view_size);
  bench.send("a", "p0", accept_to(bench, "p0", 1));
  run_until_taken(bench, "p0", wire::Envelope::kAccept);
  CHECK(taken_count(bench, "p0", wire::Envelope::kFleet) == 1);
  CHECK(taken_count(bench, "p0", wire::Envelope::kOperated) == 0);
  const auto before = sent_bytes(bench) - bench.piece_bytes["p0"];
  CAPTURE(before);
  CHECK(before <= view_size + accept_size + 2 * piece_most);
}

TEST_CASE("peers that answer nothing leave room for an accept", "[bulk]") {
  auto bench = bench_of(101);
  for (int place = 0; place < 100; ++place) bench.processes.at("p" + std::to_string(place)).alive = false;
  send_views(bench, 100);
  bench.send("a", "p100", accept_to(bench, "p100", 1));
  run_until_taken(bench, "p100", wire::Envelope::kAccept);
  const auto before = sent_bytes(bench) - bench.piece_bytes["p100"];
  CAPTURE(before);
  CHECK(before <= accept_size + 2 * piece_most);
}

TEST_CASE("views go on while consensus and changes keep the lane busy", "[bulk]") {
  auto bench = bench_of(4);
  // Where the receiver of the view has no changes itself, and where it has as many as the others.
  const bool alone = GENERATE(true, false);
  std::uint64_t request = 0;
  const auto keep_busy = [&] {
    auto& lane = bench.processes.at("a").bulk.lane;
    for (int place = alone ? 1 : 0; place < 4; ++place) {
      const auto address = "p" + std::to_string(place);
      while (!lane.peers.contains(bench.node(address)) || lane.peers.at(bench.node(address)).queue.size() < 3)
        bench.send("a", address, change_to(bench, address, ++request));
    }
  };
  keep_busy();
  bench.send("a", "p0", bench.message("a", "p0", view_size));
  for (int turn = 0; turn < 20000 && taken_count(bench, "p0", wire::Envelope::kOperated) == 0; ++turn) {
    keep_busy();
    bench.run_until(bench.now + 1);
  }
  CHECK(taken_count(bench, "p0", wire::Envelope::kOperated) == 1);
  CAPTURE(sent_bytes(bench));
  // Each of the pieces waits for three others at most, and each message for three of its peer.
  CHECK(sent_bytes(bench) <= 4 * 2 * (view_size + piece_most) + 8 * piece_most);
}
