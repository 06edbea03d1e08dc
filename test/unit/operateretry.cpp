#include <catch2/catch.hpp>

#include "core/operations/operate.hpp"

using namespace weldsail;

/// An operator's process that carries changes to their owner; the network is the test.
namespace {

constexpr Moment bound = 3000;
constexpr std::size_t large = 200U << 10U;

struct Forwarder {
  Forwarder() {
    member.options = {Program::data, "d", "d", "z", {}, bound};
    member_start(member, 1, 0, now);
    owner.set_node(7);
    owner.set_state(static_cast<std::uint32_t>(MemberPhase::alive));
    owner.set_program(static_cast<std::uint32_t>(Program::control));
    owner.set_address("c");
    owner.set_release(wire_release);
    auto* holding = owner.add_holdings();
    holding->set_key(config_key);
    holding->set_epoch(4097);
    member.others[7] = {owner, now, now};
    operate.bound = bound;
    bulk_configure(bulk, bound);
  }

  /// An operator's request; what leaves of it at once.
  Effects ask(std::uint64_t request, char letter, std::size_t size = large, const std::string& method = "PUT") {
    wire::Operate operation;
    operation.set_method(method);
    operation.set_path("/v1/config");
    operation.set_change("change");
    operation.set_body(std::string(size, letter));
    Effects effects;
    operate_forward(operate, bulk, member, operation, config_key, request, now, effects);
    return finish(effects);
  }

  Effects finish(Effects effects) {
    bulk_send(bulk, window, member, now, effects);
    for (const auto& effect : effects) {
      if (const auto* answer = std::get_if<Answer>(&effect)) answered[answer->request] = answer->status;
      if (const auto* message = std::get_if<SendMessage>(&effect))
        body_bytes += message->envelope.bulk_piece().bytes().size();
    }
    return effects;
  }

  /// The owner has all pieces that were sent, until the body is whole.
  void deliver_body() {
    while (!bulk.lane.peers.empty()) deliver_piece();
  }

  /// The owner has all pieces but the last one, which has been sent.
  void deliver_all_but_last() {
    const auto& peer = bulk.lane.peers.at(7);
    while (peer.acknowledged + window_bytes(window) < peer.queue.front().bytes.size()) deliver_piece();
  }

  void deliver_piece() {
    auto envelope = from_owner();
    const auto& peer = bulk.lane.peers.at(7);
    envelope.mutable_bulk_acknowledged()->set_message(peer.queue.front().number);
    envelope.mutable_bulk_acknowledged()->set_received(window_bytes(window) + peer.acknowledged);
    Effects effects;
    bulk_receive(bulk, window, member, envelope, ++now, effects);
    finish(effects);
  }

  void owner_answers(std::uint64_t identity) {
    auto envelope = from_owner();
    envelope.mutable_operated()->set_request(identity);
    envelope.mutable_operated()->set_status(200);
    Effects effects;
    operate_answered(operate, {}, envelope, effects);
    finish(effects);
  }

  void tick(Moment passed) {
    now += passed;
    Effects effects;
    operate_tick(operate, bulk, member, now, effects);
    finish(effects);
  }

  wire::Envelope from_owner() const {
    wire::Envelope envelope;
    envelope.set_from(7);
    envelope.set_to(member.self.node());
    envelope.set_address("c");
    return envelope;
  }

  Moment now = 1000;
  MemberState member;
  wire::Member owner;
  OperateState operate;
  BulkState bulk;
  SendWindow window;
  std::map<std::uint64_t, int> answered;
  std::size_t body_bytes = 0;
};

}  // namespace

TEST_CASE("a change that is sent again while its body is under way goes once, and both get the answer", "[bulk]") {
  Forwarder forwarder;
  forwarder.ask(1, 'a');
  forwarder.ask(2, 'a');
  forwarder.deliver_body();
  CHECK(forwarder.body_bytes < large + piece_most);
  forwarder.owner_answers(1);
  CHECK(forwarder.answered == std::map<std::uint64_t, int>{{1, 200}, {2, 200}});
  CHECK(forwarder.operate.forwarded.empty());
}

TEST_CASE("a retry joins a body that is still under way after the first asker was told to go on", "[bulk]") {
  Forwarder forwarder;
  forwarder.ask(1, 'a');
  forwarder.tick(operate_config_patience(bound) + 1);
  CHECK(forwarder.answered == std::map<std::uint64_t, int>{{1, 504}});
  forwarder.ask(2, 'a');
  CHECK(forwarder.bulk.lane.peers.at(7).queue.size() == 1);
  forwarder.deliver_body();
  forwarder.owner_answers(1);
  CHECK(forwarder.answered == std::map<std::uint64_t, int>{{1, 504}, {2, 200}});
}

TEST_CASE("a retry doesn't join a body all of whose bytes have been sent", "[bulk]") {
  Forwarder forwarder;
  forwarder.ask(1, 'a');
  forwarder.deliver_all_but_last();
  REQUIRE(forwarder.bulk.lane.peers.at(7).queue.size() == 1);
  forwarder.ask(2, 'a');
  CHECK(forwarder.bulk.lane.peers.at(7).queue.size() == 2);
  // Nor while the last piece is to be sent again.
  forwarder.tick(bound / 10);
  CHECK(forwarder.bulk.lane.counters.pieces_repeated == 1);
  forwarder.ask(3, 'a');
  CHECK(forwarder.operate.forwarded.at(1).waiting.size() == 1);
  forwarder.deliver_body();
  forwarder.owner_answers(1);
  CHECK(forwarder.answered == std::map<std::uint64_t, int>{{1, 200}});
}

TEST_CASE("another content, a small change, and a body that has arrived are each sent", "[bulk]") {
  Forwarder forwarder;
  forwarder.ask(1, 'a');
  forwarder.ask(2, 'b');
  CHECK(forwarder.bulk.lane.peers.at(7).queue.size() == 2);
  forwarder.deliver_body();
  forwarder.ask(3, 'a');
  CHECK(forwarder.bulk.lane.peers.at(7).queue.size() == 1);
  const auto sends = [&](std::uint64_t request, const std::string& method) {
    const auto effects = forwarder.ask(request, 'a', 100, method);
    return std::ranges::any_of(effects, [](const Effect& effect) {
      const auto* message = std::get_if<SendMessage>(&effect);
      return message != nullptr && message->envelope.has_operate();
    });
  };
  CHECK(sends(4, "PUT"));
  CHECK(sends(5, "PUT"));
  CHECK(sends(6, "GET"));
  CHECK(sends(7, "GET"));
}

TEST_CASE("a body that hasn't begun and that nobody waits for isn't sent", "[bulk]") {
  Forwarder forwarder;
  forwarder.ask(1, 'a');
  forwarder.ask(2, 'b');
  forwarder.ask(3, 'c');
  SECTION("as its time is over") { forwarder.tick(operate_config_patience(bound) + 1); }
  SECTION("as the operators have gone") {
    for (const std::uint64_t request : {1, 2, 3}) operate_gone(forwarder.operate, request);
    forwarder.tick(1);
    CHECK(forwarder.answered.empty());
  }
  CHECK(forwarder.operate.forwarded.size() == 1);
  // The first body has begun; its first piece may have been sent twice.
  forwarder.deliver_body();
  CHECK(forwarder.body_bytes < 2 * large);
  CHECK(window_bytes(forwarder.window) == 0);
}

TEST_CASE("a body that one of two operators still waits for is sent", "[bulk]") {
  Forwarder forwarder;
  forwarder.ask(1, 'a');
  forwarder.ask(2, 'b');
  forwarder.ask(3, 'b');
  operate_gone(forwarder.operate, 2);
  forwarder.tick(1);
  forwarder.deliver_body();
  CHECK(forwarder.body_bytes > 2 * large);
  forwarder.owner_answers(2);
  CHECK(forwarder.answered == std::map<std::uint64_t, int>{{3, 200}});
}

TEST_CASE("an operation is forgotten once nobody waits and its body isn't under way", "[bulk]") {
  Forwarder forwarder;
  forwarder.ask(1, 'a');
  forwarder.deliver_body();
  forwarder.tick(bound);
  CHECK(forwarder.answered.size() == 1);
  CHECK(forwarder.operate.forwarded.empty());
  forwarder.ask(2, 'a');
  forwarder.member.others.at(7).entry.set_state(static_cast<std::uint32_t>(MemberPhase::broken));
  forwarder.tick(1);
  CHECK(forwarder.answered.size() == 2);
  CHECK(forwarder.operate.forwarded.empty());
}
