#include <catch2/catch.hpp>

#include "core/consensus/duty.hpp"
#include "core/placement/relays.hpp"
#include "core/placement/view.hpp"
#include "unit/memberentry.hpp"

using namespace weldsail;
using namespace weldsail::unit;

namespace {

constexpr std::uint64_t first_data = 100;

/// The holder of the placement in locality a, a control process in b, and enough data nodes in both for relays.
MemberState holder_with_data_nodes() {
  MemberState member;
  member.self = entry_of(1, Program::control, "a");
  member.self.add_holdings()->set_key(placement_key);
  member.self.mutable_holdings(0)->set_epoch(4097);
  member.others[2] = {entry_of(2, Program::control, "b"), 0, 0};
  for (auto node = first_data; node < first_data + 120; ++node)
    member.others[node] = {entry_of(node, Program::data, node % 2 == 0 ? "a" : "b"), 0, 0};
  return member;
}

}  // namespace

TEST_CASE("the data nodes of the holder's locality have a relay, too, where another control process is there",
          "[placing]") {
  auto member = holder_with_data_nodes();
  CHECK(Relays(member).of("a") == nullptr);
  CHECK(Relays(member).of("b")->node() == 2);
  member.others[3] = {entry_of(3, Program::control, "a"), 0, 0};
  Relays both(member);
  REQUIRE(both.of("a") != nullptr);
  CHECK(both.of("a")->node() == 3);
  FleetKeeper keeper;
  fleet_begin(keeper, 7);
  wire::WorkerEntry worker;
  worker.set_identity("w");
  Effects effects;
  fleet_set(keeper, {worker}, 1000, member, 1000, effects);
  CHECK(effects.size() == 2);
}
