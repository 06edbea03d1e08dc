#include <numeric>

#include "unit/bulkbench.hpp"

using namespace weldsail;

/// The bytes that may wait: what the lane takes and refuses, against a plain model.
namespace {

constexpr std::size_t peer_most = 8U << 20U;
constexpr std::size_t lane_most = 64U << 20U;

/// For each peer the sizes of the messages that wait, in order.
struct PlainLane {
  std::map<std::uint64_t, std::vector<std::size_t>> peers;

  std::size_t bytes(std::uint64_t node) const {
    const auto found = peers.find(node);
    return found == peers.end() ? 0 : std::accumulate(found->second.begin(), found->second.end(), std::size_t{0});
  }
  std::size_t bytes() const {
    std::size_t sum = 0;
    for (const auto& [node, sizes] : peers) sum += bytes(node);
    return sum;
  }
  bool takes(std::uint64_t node, std::size_t size) const {
    if (peers.empty()) return true;
    if (bytes() + size > lane_most) return false;
    return !peers.contains(node) || bytes(node) + size <= peer_most;
  }
  void end_first(std::uint64_t node) {
    auto& sizes = peers.at(node);
    sizes.erase(sizes.begin());
    if (sizes.empty()) peers.erase(node);
  }
};

BulkMessage message_of(std::size_t size, std::uint64_t number) {
  BulkMessage message;
  message.priority = BulkPriority::urgent;
  message.bytes = std::string(size, 'x');
  message.bytes.replace(0, sizeof number, reinterpret_cast<const char*>(&number), sizeof number);
  return message;
}

void put(LaneState& lane, std::uint64_t node, std::size_t size) {
  static std::uint64_t number = 0;
  lane_put(lane, node, "p", message_of(size, ++number));
}

BulkMessage accept_of(std::size_t size, char letter) {
  BulkMessage message;
  message.topic = {"accept config", true, 0};
  message.priority = BulkPriority::urgent;
  message.bytes = std::string(size, letter);
  return message;
}

}  // namespace

TEST_CASE("a lane takes exactly 8 MiB for one peer and 64 MiB in sum", "[bulk]") {
  LaneState lane;
  put(lane, 1, peer_most - 1000);
  put(lane, 1, 1000);
  CHECK(lane_messages(lane) == 2);
  put(lane, 1, 100);
  CHECK(lane_messages(lane) == 2);
  for (std::uint64_t node = 2; node <= 8; ++node) put(lane, node, peer_most);
  CHECK(lane_bytes(lane) == lane_most);
  put(lane, 9, 100);
  CHECK(lane_bytes(lane) == lane_most);
  CHECK(lane.counters.given_up == 2);
  LaneState alone;
  put(alone, 1, lane_most + 1);
  CHECK(lane_messages(alone) == 1);
}

TEST_CASE("ordinary messages leave a quarter of the lane's bounds to urgent ones", "[bulk]") {
  const auto put_ordinary = [](LaneState& lane, std::uint64_t node, std::size_t size, char letter) {
    BulkMessage message;
    message.bytes = std::string(size, letter);
    lane_put(lane, node, "p", std::move(message));
  };
  LaneState lane;
  for (std::uint64_t node = 1; node <= 8; ++node) {
    put_ordinary(lane, node, peer_most / 2, 'a');
    put_ordinary(lane, node, peer_most / 4, 'b');
    put_ordinary(lane, node, 100, 'c');
  }
  CHECK(lane_bytes(lane) == lane_most / 4 * 3);
  CHECK(lane.counters.given_up == 8);
  put_ordinary(lane, 9, 100, 'd');
  CHECK(lane.counters.given_up == 9);
  for (std::uint64_t node = 1; node <= 8; ++node) put(lane, node, peer_most / 4);
  CHECK(lane_bytes(lane) == lane_most);
  CHECK(lane.counters.given_up == 9);
}

TEST_CASE("the lane's bounds are those of a plain model under random puts, acknowledgements and ends", "[bulk]") {
  std::size_t refused_by_peer = 0;
  std::size_t refused_by_sum = 0;
  std::size_t ended = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    CAPTURE(seed);
    sim::Chance chance(seed);
    LaneState lane;
    SendWindow window;
    PlainLane plain;
    std::map<std::uint64_t, wire::BulkPiece> under_way;
    Moment now = 1000;
    for (int turn = 0; turn < 600; ++turn) {
      ++now;
      const auto node = 1 + chance.below(16);
      if (chance.happens(0.6)) {
        const auto size = (64U << 10U) + chance.below(chance.happens(0.1) ? 2 * peer_most : peer_most / 2);
        const bool takes = plain.takes(node, size);
        if (!takes) ++(plain.bytes() + size > lane_most ? refused_by_sum : refused_by_peer);
        const auto given_up = lane.counters.given_up;
        put(lane, node, size);
        REQUIRE(lane.counters.given_up == given_up + (takes ? 0 : 1));
        if (takes) plain.peers[node].push_back(size);
      } else if (chance.happens(0.05)) {
        lane_give_up(lane, window, node);
        plain.peers.erase(node);
      } else if (const auto found = under_way.find(node); found != under_way.end()) {
        // A receiver that says that it has all of a message, or nothing of it, ends it.
        wire::BulkAcknowledged acknowledged;
        acknowledged.set_message(found->second.message());
        const bool unknown = chance.happens(0.2);
        const bool all = !unknown && chance.happens(0.5);
        acknowledged.set_unknown(unknown);
        acknowledged.set_received(all ? found->second.size() : found->second.offset() + found->second.bytes().size());
        const bool first =
            plain.peers.contains(node) && lane.peers.at(node).queue.front().number == found->second.message();
        lane_acknowledged(lane, window, node, acknowledged, now);
        if (first && (unknown || all)) {
          plain.end_first(node);
          ++ended;
        }
        under_way.erase(found);
      }
      for (auto& item : lane_send(lane, window, now)) under_way[item.node] = item.piece;
      REQUIRE(lane_bytes(lane) == plain.bytes());
      REQUIRE(lane.peers.size() == plain.peers.size());
      for (const auto& [peer, sizes] : plain.peers) {
        REQUIRE(lane.peers.at(peer).bytes == plain.bytes(peer));
        REQUIRE((sizes.size() == 1 || plain.bytes(peer) <= peer_most));
      }
      REQUIRE((plain.bytes() <= lane_most || lane_messages(lane) == 1));
    }
  }
  CHECK(refused_by_peer > 20);
  CHECK(refused_by_sum > 20);
  CHECK(ended > 20);
}

TEST_CASE("a newer value that has no room leaves the one before it, and one that fits in its place is taken",
          "[bulk]") {
  LaneState lane;
  SendWindow window;
  lane_put(lane, 1, "p", accept_of(100, 'a'));
  lane_send(lane, window, 1000);
  lane_put(lane, 1, "p", accept_of(peer_most - 100, 'b'));
  lane_put(lane, 1, "p", accept_of(peer_most, 'c'));
  CHECK(lane.peers.at(1).queue.back().bytes.front() == 'b');
  CHECK(lane.counters.superseded == 0);
  CHECK(lane.counters.given_up == 1);
  lane_put(lane, 1, "p", accept_of(peer_most - 100, 'd'));
  CHECK(lane.peers.at(1).queue.back().bytes.front() == 'd');
  CHECK(lane.peers.at(1).queue.size() == 2);
  CHECK(lane.counters.superseded == 1);
  CHECK(lane.counters.given_up == 1);
}
