#include "unit/bulkbench.hpp"

#include "core/bulk/topic.hpp"

using namespace weldsail;

/// Large messages in pieces: a plain model against the module, without a network or a clock of the machine.
namespace {

constexpr std::size_t large = 200U << 10U;

BulkBench three(std::uint64_t seed) {
  BulkBench bench(seed);
  for (const auto* address : {"a", "b", "c"}) bench.add(address);
  return bench;
}

wire::Envelope accept(BulkBench& bench, std::uint64_t version, std::size_t size, bool delta = false) {
  auto envelope = member_envelope(bench.processes.at("a").member, bench.node("b"));
  auto* accept = envelope.mutable_accept();
  accept->set_key("config");
  accept->set_version(version);
  accept->set_value(std::string(delta ? 0 : size, static_cast<char>('a' + version)));
  if (delta) accept->mutable_delta()->add_steps()->set_literal(std::string(size, 'd'));
  return envelope;
}

std::vector<std::uint64_t> accepted_versions(const BulkBench& bench) {
  std::vector<std::uint64_t> versions;
  for (const auto& [sender, taken] : bench.processes.at("b").taken)
    for (const auto& bytes : taken) {
      wire::Envelope envelope;
      envelope.ParseFromString(bytes);
      versions.push_back(envelope.accept().version());
    }
  return versions;
}

void send_some(BulkBench& bench, std::size_t count) {
  const std::string names[] = {"a", "b", "c"};
  for (std::size_t turn = 0; turn < count; ++turn) {
    const auto from = bench.chance.below(3);
    const auto to = (from + 1 + bench.chance.below(2)) % 3;
    bench.send(names[from], names[to], piece_most + bench.chance.below(large));
  }
}

}  // namespace

TEST_CASE("large messages arrive whole, once and in order, with each byte sent once", "[bulk]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    auto bench = three(seed);
    send_some(bench, 12);
    bench.run_until(bench.now + 10000);
    CHECK(bench.delivered());
    std::uint64_t sent = 0;
    for (const auto& [address, process] : bench.processes) {
      CHECK(process.bulk.lane.counters.pieces_repeated == 0);
      for (const auto& [node, messages] : process.sent)
        for (const auto& bytes : messages) sent += bytes.size();
    }
    std::uint64_t on_the_wire = 0;
    for (const auto& [address, bytes] : bench.piece_bytes) on_the_wire += bytes;
    CHECK(on_the_wire == sent);
  }
}

TEST_CASE("pieces and acknowledgements that are lost, doubled or late are made good", "[bulk]") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    auto bench = three(seed);
    bench.loss = seed % 3 == 0 ? 0.3 : 0.1;
    bench.doubled = seed % 2 == 0 ? 0.3 : 0;
    bench.delay_most = seed % 5 == 0 ? 400 : 20;
    send_some(bench, 6);
    bench.run_until(bench.now + 2000);
    send_some(bench, 6);
    bench.run_until(bench.now + 90000);
    std::uint64_t given_up = 0;
    for (const auto& [address, process] : bench.processes) given_up += process.bulk.lane.counters.given_up;
    CHECK(bench.resting());
    // At a loss of a half for each exchange a peer may seem silent to the end.
    if (bench.loss < 0.3) CHECK(given_up == 0);
    if (given_up == 0) CHECK(bench.delivered());
  }
}

TEST_CASE("restarts, freezes and cuts lose no order and clash with no former life", "[bulk]") {
  for (std::uint64_t seed = 1; seed <= 80; ++seed) {
    CAPTURE(seed);
    auto bench = three(seed);
    bench.loss = seed % 2 == 0 ? 0.05 : 0;
    bench.doubled = 0.1;
    const std::string names[] = {"a", "b", "c"};
    for (int turn = 0; turn < 12; ++turn) {
      const auto& victim = names[bench.chance.below(3)];
      send_some(bench, 2);
      switch (bench.chance.below(4)) {
        case 0: bench.begin_life(victim); break;
        case 1: bench.freeze(victim); break;
        case 2:
          for (const auto& other : names) bench.cut.insert({victim, other});
          break;
        default: break;
      }
      bench.run_until(bench.now + bench.chance.between(1, 2500));
      for (const auto& name : names)
        if (bench.processes.at(name).frozen) bench.wake(name);
      bench.cut.clear();
    }
    bench.loss = bench.doubled = 0;
    bench.run_until(bench.now + 30000);
    CHECK(bench.resting());
    // Whatever came before, the next messages go through.
    for (auto& [address, process] : bench.processes) process.sent.clear();
    for (auto& [address, process] : bench.processes) process.taken.clear();
    send_some(bench, 6);
    bench.run_until(bench.now + 20000);
    CHECK(bench.delivered());
  }
}

TEST_CASE("small messages don't wait for large ones", "[bulk]") {
  auto bench = three(1);
  bench.send("a", "b", large);
  bench.send("a", "b", 10);
  bench.run_until(bench.now + 2 * bench.delay_most);
  CHECK(bench.small_taken == std::vector<std::uint64_t>{2});
  CHECK(bench.processes.at("b").taken.empty());
  bench.run_until(bench.now + 5000);
  CHECK(bench.delivered());
}

TEST_CASE("what is sent to many peers stays within the window, and each has its turn", "[bulk]") {
  BulkBench bench(3);
  bench.add("a");
  constexpr std::size_t peers = 60;
  for (std::size_t place = 0; place < peers; ++place) bench.add("p" + std::to_string(place));
  for (std::size_t place = 0; place < peers; ++place) bench.send("a", "p" + std::to_string(place), large);
  bench.run_until(bench.now + 3000);
  std::uint64_t least = large;
  std::uint64_t most = 0;
  for (std::size_t place = 0; place < peers; ++place) {
    const auto bytes = bench.piece_bytes["p" + std::to_string(place)];
    least = std::min(least, bytes);
    most = std::max(most, bytes);
  }
  CHECK(least > 0);
  CHECK(most - least <= 2 * piece_most);
  bench.run_until(bench.now + 60000);
  CHECK(bench.delivered());
}

TEST_CASE("silent and dead peers don't hold up the others", "[bulk]") {
  BulkBench bench(4);
  for (const auto* address : {"a", "b", "c", "d", "e"}) bench.add(address);
  for (const auto* address : {"b", "c", "d"}) {
    bench.processes.at(address).alive = false;
    bench.send("a", address, large);
  }
  bench.send("a", "e", large);
  bench.run_until(bench.now + 2000);
  CHECK(bench.processes.at("e").taken[bench.node("a")].size() == 1);
  auto& lane = bench.processes.at("a").bulk.lane;
  CHECK(lane.counters.given_up == 0);
  // Known to be dead, a peer is given up at the next piece that it leaves unanswered; else after two bounds.
  BulkBench::see(bench.processes.at("a"), bench.node("b"), MemberPhase::broken);
  bench.run_until(bench.now + 1500);
  CHECK(!lane.peers.contains(bench.node("b")));
  CHECK(lane.peers.contains(bench.node("c")));
  bench.run_until(bench.now + 3 * BulkBench::bound);
  CHECK(lane.counters.given_up == 3);
  CHECK(bench.resting());
}

TEST_CASE("the same message isn't queued twice, and a newer value supersedes what hasn't begun", "[bulk]") {
  auto bench = three(5);
  bench.send("a", "b", accept(bench, 1, large));
  bench.send("a", "b", accept(bench, 1, large));
  for (std::uint64_t version = 2; version <= 4; ++version) bench.send("a", "b", accept(bench, version, large));
  // Builds on version 4, so that it waits for it however small it is.
  bench.send("a", "b", accept(bench, 5, 100, true));
  bench.processes.at("a").sent[bench.node("b")].clear();
  for (const auto& message : {accept(bench, 1, large), accept(bench, 4, large), accept(bench, 5, 100, true)})
    bench.processes.at("a").sent[bench.node("b")].push_back(message.SerializeAsString());
  bench.run_until(bench.now + 5000);
  CHECK(accepted_versions(bench) == std::vector<std::uint64_t>{1, 4, 5});
  CHECK(bench.processes.at("a").bulk.lane.counters.duplicates == 1);
  CHECK(bench.processes.at("a").bulk.lane.counters.superseded == 2);
  CHECK(bench.piece_bytes["b"] <= 2 * large + 1000);
  CHECK(bench.resting());
}

TEST_CASE("peers of former releases, strangers and parts of values get whole messages", "[bulk]") {
  auto bench = three(6);
  auto& process = bench.processes.at("a");
  process.member.others.at(bench.node("b")).entry.set_release(release_with_pieces - 1);
  const auto stays = [&](wire::Envelope envelope) {
    Effects effects{SendMessage{"b", std::move(envelope)}};
    bulk_send(process.bulk, process.window, process.member, bench.now, effects);
    return effects.size() == 1 && !std::get<SendMessage>(effects[0]).envelope.has_bulk_piece();
  };
  CHECK(stays(bench.message("a", "b", large)));
  auto stranger = bench.message("a", "b", large);
  stranger.set_to(0);
  CHECK(stays(std::move(stranger)));
  auto part = member_envelope(process.member, bench.node("c"));
  part.mutable_value_part()->set_bytes(std::string(part_bytes, 'x'));
  CHECK(stays(std::move(part)));
  CHECK(!stays(bench.message("a", "c", large)));
}
