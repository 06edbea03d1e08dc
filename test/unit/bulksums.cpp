#include <deque>

#include "unit/bulkbench.hpp"

using namespace weldsail;

/// What the lane, the window and the assembly keep beside their entries: that it agrees with a recount, and that a step
/// costs what it touches.
namespace {

constexpr std::size_t large = 40U << 10U;

void check_lane(const LaneState& lane) {
  std::size_t messages = 0;
  std::size_t bytes = 0;
  std::array<LanePeers, bulk_priorities> classes;
  std::set<std::pair<Moment, std::uint64_t>> due;
  for (const auto& [node, peer] : lane.peers) {
    std::size_t peer_bytes = 0;
    std::size_t urgent = 0;
    for (const auto& message : peer.queue) {
      peer_bytes += message.bytes.size();
      urgent += message.priority == BulkPriority::urgent ? 1 : 0;
    }
    REQUIRE(!peer.queue.empty());
    REQUIRE(peer.bytes == peer_bytes);
    REQUIRE(peer.urgent == urgent);
    auto& peers = classes.at(static_cast<std::size_t>(peer_priority(peer)));
    ++peers.count;
    messages += peer.queue.size();
    bytes += peer_bytes;
    if (peer.awaiting)
      due.emplace(peer.sent + peer.patience, node);
    else
      peers.ready.insert(node);
  }
  REQUIRE(lane_messages(lane) == messages);
  REQUIRE(lane_bytes(lane) == bytes);
  for (std::size_t place = 0; place < bulk_priorities; ++place) {
    REQUIRE(lane.classes.at(place).count == classes.at(place).count);
    REQUIRE(lane.classes.at(place).ready == classes.at(place).ready);
  }
  REQUIRE(lane.due == due);
}

void check_window(const SendWindow& window) {
  std::map<BulkUse, std::size_t> bytes;
  std::map<BulkUse, std::size_t> peers;
  for (const auto& [peer, under_way] : window.peers) {
    bytes[peer.first] += under_way.bytes;
    ++peers[peer.first];
    REQUIRE(window.by_sent.contains({peer.first, under_way.sent, peer.second}));
  }
  REQUIRE(window.by_sent.size() == window.peers.size());
  for (std::size_t use = 0; use < bulk_uses; ++use) {
    REQUIRE(window_bytes(window, BulkUse(use)) == bytes[BulkUse(use)]);
    REQUIRE(window_peers(window, BulkUse(use)) == peers[BulkUse(use)]);
  }
}

void check_assembly(const AssemblyState& assembly) {
  std::size_t bytes = 0;
  for (const auto& [sender, item] : assembly.senders) {
    bytes += item.bytes.size();
    const auto& order = item.bytes.empty() ? assembly.finished : assembly.unfinished;
    REQUIRE(order.contains({item.heard, sender}));
  }
  REQUIRE(assembly_bytes(assembly) == bytes);
  REQUIRE(assembly.finished.size() + assembly.unfinished.size() == assembly.senders.size());
}

wire::BulkPiece piece_of(std::uint64_t message, std::size_t size, std::size_t offset, std::size_t length) {
  wire::BulkPiece piece;
  piece.set_message(message);
  piece.set_size(size);
  piece.set_offset(offset);
  piece.set_bytes(std::string(length, 'x'));
  return piece;
}

struct Visited {
  std::uint64_t lane = 0;
  std::uint64_t window = 0;
  std::uint64_t assembly = 0;
};

constexpr std::uint64_t steps = 50;

/// Entries that are looked at in as many steps with equal work: one acknowledgement, one message for one of ten peers,
/// one part of a value, and what may be sent.
Visited sending_visits(std::uint64_t peers) {
  LaneState lane;
  SendWindow window;
  std::deque<std::pair<std::uint64_t, wire::BulkAcknowledged>> awaited;
  Moment now = 1000;
  const auto send = [&] {
    for (const auto& item : lane_send(lane, window, now)) {
      wire::BulkAcknowledged acknowledged;
      acknowledged.set_message(item.piece.message());
      acknowledged.set_received(item.piece.offset() + item.piece.bytes().size());
      awaited.emplace_back(item.node, acknowledged);
    }
  };
  for (std::uint64_t node = 1; node <= peers; ++node) lane_put(lane, node, "p", bulk_message(std::string(large, 'x')));
  for (std::uint64_t node = 1; node <= peers; ++node) window_take(window, BulkUse::part, node, 1, now);
  REQUIRE(lane.peers.size() == peers);
  send();
  const auto lane_before = lane.counters.visits;
  const auto window_before = window.visits;
  for (std::uint64_t turn = 0; turn < steps; ++turn) {
    ++now;
    const auto [node, acknowledged] = awaited.front();
    awaited.pop_front();
    lane_acknowledged(lane, window, node, acknowledged, now);
    lane_put(lane, 1 + turn % 10, "p", bulk_message(std::string(piece_most + turn, 'y')));
    window_take(window, BulkUse::part, 1 + turn % 10, 1, now);
    window_expire_parts(window, 100 * lane.bound, now);
    lane_expire(lane, window, now);
    send();
  }
  return {lane.counters.visits - lane_before, window.visits - window_before, 0};
}

/// The same for pieces that come from one of many senders, each of which has a message that is unfinished.
std::uint64_t assembling_visits(std::uint64_t senders) {
  AssemblyState assembly;
  for (std::uint64_t sender = 1; sender <= senders; ++sender)
    assembly_take(assembly, sender, piece_of(1, large, 0, 100), 1);
  const auto before = assembly.visits;
  for (std::uint64_t turn = 1; turn <= steps; ++turn) {
    assembly_take(assembly, 1, piece_of(1, large, 100 * turn, 100), static_cast<Moment>(turn));
    assembly_expire(assembly, static_cast<Moment>(turn) * assembly.bound / 100);
  }
  return assembly.visits - before;
}

}  // namespace

TEST_CASE("a step of the lane, the window and the assembly costs the same at 10 and at 1,000 peers", "[bulk]") {
  const auto few = sending_visits(10);
  const auto many = sending_visits(1000);
  CAPTURE(few.lane, few.window, many.lane, many.window);
  CHECK(few.lane >= steps);
  CHECK(few.window >= steps);
  CHECK(2 * many.lane <= 3 * few.lane);
  CHECK(2 * many.window <= 3 * few.window);
  const auto few_senders = assembling_visits(10);
  const auto many_senders = assembling_visits(1000);
  CAPTURE(few_senders, many_senders);
  CHECK(few_senders >= steps);
  CHECK(2 * many_senders <= 3 * few_senders);
}

TEST_CASE("the sums and orders of the lane and of the window agree with a recount", "[bulk]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    sim::Chance chance(seed);
    LaneState lane;
    SendWindow window;
    std::vector<PieceToSend> sent;
    Moment now = 1000;
    for (int turn = 0; turn < 1500; ++turn) {
      now += chance.between(0, 60);
      const auto node = 1 + chance.below(8);
      switch (chance.below(6)) {
        case 0:
        case 1: {
          const std::string letters(piece_most * (1 + chance.below(4)), static_cast<char>('a' + chance.below(20)));
          const auto topic = chance.below(3);
          const auto epoch = topic == 0 ? 0 : 1 + chance.below(3);
          lane_put(lane, node, "p",
                   {.topic = {topic == 0 ? "" : "t" + std::to_string(topic), topic == 1, epoch},
                    .priority = topic == 0 ? BulkPriority::ordinary : BulkPriority::urgent,
                    .bytes = letters});
          break;
        }
        case 2:
          lane_expire(lane, window, now);
          lane_abandon(lane, window, node, {"t2", false, 1 + chance.below(3)});
          break;
        case 3:
          if (chance.happens(0.1)) lane_give_up(lane, window, node);
          break;
        case 4: window_take(window, BulkUse::part, node, 1 + chance.below(piece_most), now); break;
        default:
          window_expire_parts(window, lane.bound, now);
          for (auto& item : lane_send(lane, window, now)) sent.push_back(std::move(item));
      }
      if (!sent.empty() && chance.happens(0.4)) {
        const auto& item = sent.at(chance.below(sent.size()));
        wire::BulkAcknowledged acknowledged;
        acknowledged.set_message(item.piece.message());
        acknowledged.set_received(item.piece.offset() + item.piece.bytes().size());
        acknowledged.set_unknown(chance.happens(0.05));
        lane_acknowledged(lane, window, item.node, acknowledged, now);
      }
      check_lane(lane);
      check_window(window);
    }
    CHECK(lane.counters.messages_sent > 0);
    CHECK(lane.counters.violations == 0);
  }
}

TEST_CASE("the sum and orders of unfinished messages agree with a recount", "[bulk]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    sim::Chance chance(seed);
    AssemblyState assembly;
    Moment now = 1000;
    std::map<std::uint64_t, std::uint64_t> newest;
    for (int turn = 0; turn < 1000; ++turn) {
      now += chance.between(0, 300);
      const auto sender = 1 + chance.below(30);
      if (chance.happens(0.2)) ++newest[sender];
      const auto found = assembly.senders.find(sender);
      const bool next = found != assembly.senders.end() && chance.happens(0.8);
      const auto offset = next ? found->second.bytes.size() : 0;
      assembly_take(assembly, sender, piece_of(newest[sender], 10000, std::min<std::size_t>(offset, 8000), 2000), now);
      if (chance.happens(0.1)) assembly_expire(assembly, now);
      check_assembly(assembly);
    }
    CHECK(assembly.dropped > 0);
  }
}
