// When an order on the configuration is a repeat of one that was taken, and when a change of its own.
#include <catch2/catch.hpp>

#include "unit/configdutybench.hpp"

using namespace weldsail;

// Guards against CONFIG: an operator who goes back to an older file was told 200, and nothing changed.
TEST_CASE("an older configuration on a newer base is refused, and its own repeat acknowledged",
          "[hardening.one_number]") {
  Duty duty(true);
  const auto older = order_on(0, 5, "older");
  REQUIRE(duty.send(older) == 200);
  REQUIRE(duty.send(order_on(5, 7, "newer")) == 200);
  REQUIRE(duty.send(order_on(7, 8, "newest")) == 200);
  for (const std::uint64_t base : {1, 5, 7, 8, 99}) {
    CAPTURE(base);
    auto again = older;
    again.base = base;
    CHECK(duty.send(again) == (base == 8 ? 400 : 412));
  }
  CHECK(duty.send(older) == 200);
  CHECK(duty.send(order_on(8, 8, "newest")) == 400);
  CHECK(duty.state.revision == 8);
}

// Guards against the same where the content's first sending is still under way when the other base arrives.
TEST_CASE("a change that waits behind its own content on another base is refused", "[hardening.one_number]") {
  Duty duty(true);
  REQUIRE(duty.send(order_on(0, 5, "first")) == 200);
  const auto order = order_on(5, 7, "second");
  auto other = order;
  other.base = 7;
  Effects effects;
  duty.take(order);
  duty.take(other);
  duty.take(order);
  duty.tick(effects);
  REQUIRE(duty.owner.proposal);
  duty.commit(effects);
  duty.tick(effects);
  CHECK(statuses(effects) == std::vector<int>{200, 400, 200});
  CHECK(duty.state.revision == 7);
}

// Guards against the same after an upgrade: a former release's list knows a whole configuration without its base.
TEST_CASE("an older configuration that a former release took is refused on a newer base", "[hardening.one_number]") {
  Duty duty(true);
  REQUIRE(duty.send(order_on(0, 5, "older")) == 200);
  REQUIRE(duty.send(order_on(5, 7, "newer")) == 200);
  duty.rewrite([](wire::ConfigValue& value) { value.clear_taken(); });
  for (const std::uint64_t base : {5, 7, 99}) {
    CAPTURE(base);
    CHECK(duty.send(order_on(base, 5, "older")) == (base == 7 ? 400 : 412));
  }
  CHECK(duty.send(order_on(0, 5, "older")) == 200);
  CHECK(duty.send(order_on(5, 7, "newer")) == 200);
}
