#include "core/placement/relay.hpp"

#include <catch2/catch.hpp>

#include "core/consensus/duty.hpp"
#include "platform/fleet.hpp"
#include "unit/memberentry.hpp"

using namespace weldsail;
using namespace weldsail::unit;

namespace {

constexpr Moment bound = 3000;
constexpr std::uint64_t holder_node = 1;
constexpr std::uint64_t relay_node = 2;
constexpr std::uint64_t spare_node = 3;
constexpr std::uint64_t first_data = 100;

Dialect list_dialect() {
  Dialect dialect{};
  dialect.list_path = fleet_list_path;
  dialect.read_list = fleet_read_list;
  return dialect;
}

wire::WorkerEntry worker(const std::string& identity) {
  wire::WorkerEntry entry;
  entry.set_identity(identity);
  return entry;
}

/// The holder in locality a, two control processes in locality b, one of them with a disk, and data nodes in both.
struct Fleet {
  explicit Fleet(std::size_t data_nodes = 120) {
    auto holder = entry_of(holder_node, Program::control, "a");
    holder.set_disk(11);
    auto* holding = holder.add_holdings();
    holding->set_key(placement_key);
    holding->set_epoch(4097);
    auto relay = entry_of(relay_node, Program::control, "b");
    relay.set_disk(12);
    entries = {holder, relay, entry_of(spare_node, Program::control, "b")};
    for (std::size_t place = 0; place < data_nodes; ++place)
      entries.push_back(entry_of(first_data + place, Program::data, place % 2 == 0 ? "a" : "b"));
    holder_member = member_of(holder_node);
    relay_member = member_of(relay_node);
    fleet_begin(keeper, 7);
    relay_state = make_relay(bound);
    limits.list_address = "10.0.0.1:80";
    limits.list_rate = 50;
  }
  MemberState member_of(std::uint64_t node) const {
    MemberState member;
    for (const auto& entry : entries)
      if (entry.node() == node)
        member.self = entry;
      else
        member.others[entry.node()] = {entry, 0, 0};
    return member;
  }
  RelayContext context(Moment now) { return {relay_member, numbers, dialect, limits, now}; }

  /// Carries messages to the relay and to the data nodes until none is under way; counts those that the holder sent.
  void carry(Effects effects, std::uint64_t from, Moment now) {
    while (!effects.empty()) {
      if (const auto message = std::get_if<SendMessage>(&effects.front())) {
        auto envelope = message->envelope;
        envelope.set_from(from);
        sent[from] += 1;
        deliver(envelope, now);
      }
      effects.erase(effects.begin());
    }
  }
  void deliver(const wire::Envelope& envelope, Moment now) {
    const auto to = envelope.to();
    if (lost.contains(to)) return;
    Effects effects;
    if (to == holder_node) fleet_asked(keeper, envelope, holder_member, now, effects);
    if (to == relay_node) relay_message(relay_state, context(now), envelope, effects);
    if (to >= first_data && envelope.has_fleet()) fleet_take(data(to), envelope.fleet(), now);
    carry(effects, to, now);
  }
  FleetKnown& data(std::uint64_t node) {
    const auto [found, fresh] = known.try_emplace(node);
    if (fresh) found->second.bound = bound;
    return found->second;
  }
  void set(std::vector<wire::WorkerEntry> workers, Moment now) {
    Effects effects;
    fleet_set(keeper, std::move(workers), now, holder_member, now, effects);
    carry(effects, holder_node, now);
  }
  /// Lets all data nodes and the relay ask for what they lack.
  void ask(Moment now) {
    for (const auto& entry : entries) {
      if (entry.node() < first_data || lost.contains(entry.node())) continue;
      Effects effects;
      fleet_ask(data(entry.node()), member_of(entry.node()), now, effects);
      carry(effects, entry.node(), now);
    }
    tick(now);
  }
  std::size_t tick(Moment now) {
    Effects effects;
    relay_tick(relay_state, context(now), effects);
    const auto calls =
        std::ranges::count_if(effects, [](const Effect& effect) { return std::holds_alternative<OpenPipe>(effect); });
    carry(effects, relay_node, now);
    return static_cast<std::size_t>(calls);
  }
  /// The platform answers the relay's ask.
  void answer_list(const std::string& body, Moment now) {
    Effects effects;
    const auto pipe = relay_state.list.pipe;
    relay_pipe(relay_state, context(now), PipeHead{pipe, 200, {}}, effects);
    relay_pipe(relay_state, context(now), PipeBytes{pipe, body}, effects);
    relay_pipe(relay_state, context(now), PipeEnded{pipe, true, true, ""}, effects);
    carry(effects, relay_node, now);
  }

  std::vector<wire::Member> entries;
  MemberState holder_member;
  MemberState relay_member;
  FleetKeeper keeper;
  RelayState relay_state;
  PipeNumbers numbers;
  Dialect dialect = list_dialect();
  Limits limits;
  std::map<std::uint64_t, FleetKnown> known;
  std::map<std::uint64_t, std::size_t> sent;
  std::set<std::uint64_t> lost;
};

}  // namespace

TEST_CASE("the holder tells relays and its own locality, and relays the others", "[placing]") {
  Fleet fleet;
  fleet.set({worker("w1")}, 1000);
  fleet.ask(1100);
  fleet.ask(1400);
  fleet.sent.clear();
  fleet.set({worker("w1"), worker("w2")}, 2000);
  // 60 data nodes of its own locality and one relay, in place of 120 data nodes.
  CHECK(fleet.sent[holder_node] == 61);
  CHECK(fleet.sent[relay_node] == 60);
  for (const auto& entry : fleet.entries) {
    if (entry.node() < first_data) continue;
    const auto& known = fleet.data(entry.node());
    CAPTURE(entry.node());
    CHECK(known.workers.size() == 2);
    CHECK_FALSE(known.behind);
    CHECK(known.as_of == 2000);
  }
}

TEST_CASE("a small fleet and former releases have no relays", "[placing]") {
  Fleet few(80);
  few.set({worker("w1")}, 1000);
  CHECK(few.sent[holder_node] == 80);
  Fleet former;
  for (auto& entry : former.entries)
    if (entry.node() == relay_node || entry.node() == spare_node) entry.set_release(release_with_relays - 1);
  former.holder_member = former.member_of(holder_node);
  former.set({worker("w1")}, 1000);
  CHECK(former.sent[holder_node] == 120);
}

TEST_CASE("a relay that is suspected gives way to the next, and without any the holder tells all", "[placing]") {
  Fleet fleet;
  const auto of = [&] { return Relays(fleet.holder_member).of("b"); };
  REQUIRE(of() != nullptr);
  CHECK(of()->node() == relay_node);
  fleet.holder_member.others[relay_node].entry.set_state(static_cast<std::uint32_t>(MemberPhase::suspect));
  REQUIRE(of() != nullptr);
  CHECK(of()->node() == spare_node);
  fleet.holder_member.others[spare_node].entry.set_leaving(true);
  CHECK(of() == nullptr);
  CHECK(Relays(fleet.holder_member).of("a") == nullptr);
}

TEST_CASE("a data node that missed a difference asks its relay, and the holder when that is silent", "[placing]") {
  Fleet fleet;
  fleet.set({worker("w1")}, 1000);
  fleet.ask(1100);
  fleet.ask(1400);
  const std::uint64_t node = first_data + 1;
  fleet.lost.insert(node);
  fleet.set({worker("w1"), worker("w2")}, 2000);
  fleet.lost.clear();
  fleet.set({worker("w1"), worker("w2"), worker("w3")}, 2100);
  REQUIRE(fleet.data(node).behind);
  fleet.sent.clear();
  fleet.ask(2200);
  CHECK_FALSE(fleet.data(node).behind);
  CHECK(fleet.data(node).workers.size() == 3);
  CHECK(fleet.sent[holder_node] == 0);

  fleet.lost.insert(node);
  fleet.set({worker("w1")}, 3000);
  fleet.lost.clear();
  fleet.set({worker("w4")}, 3100);
  REQUIRE(fleet.data(node).behind);
  fleet.lost.insert(relay_node);
  fleet.ask(3200);
  CHECK(fleet.data(node).behind);
  fleet.ask(3200 + bound / 4);
  CHECK_FALSE(fleet.data(node).behind);
  CHECK(fleet.data(node).workers.find("w4") != nullptr);
}

TEST_CASE("while the holder is silent the relay alone reads the platform's list, for its locality", "[placing]") {
  Fleet fleet;
  fleet.set({worker("w1")}, 1000);
  fleet.ask(1100);
  fleet.ask(1400);
  std::size_t calls = 0;
  Moment now = 1400;
  const std::string body =
      R"({"units":[{"plant":"s","address":"10.1.0.9:1","zone":"a","capacity":64,"condition":"ready","ident":"w9"}],)"
      R"("next_token":null})";
  for (; now < 1400 + 10 * bound; now += 25) {
    const auto opened = fleet.tick(now);
    calls += opened;
    if (opened > 0) fleet.answer_list(body, now + 5);
    // No data node in the relay's locality has word that is so old that it would read the list itself.
    for (const auto& [node, known] : fleet.known)
      if ((node - first_data) % 2 == 1) REQUIRE(now - known.as_of <= bound * 6 / 10);
  }
  CHECK(fleet.data(first_data + 1).workers.find("w9") != nullptr);
  CHECK(calls > 0);
  CHECK(calls <= 10 * 3 + 1);
  CHECK(fleet.relay_state.lists_read == calls);
  // The holder's next word that is newer counts again.
  fleet.set({worker("w5")}, now);
  fleet.ask(now + 10);
  fleet.ask(now + 10 + bound);
  CHECK(fleet.data(first_data + 1).workers.find("w5") != nullptr);
  CHECK(fleet.data(first_data + 1).workers.find("w9") == nullptr);
}
