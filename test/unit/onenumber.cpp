#include <cstdio>
#include <deque>

#include "sim/world.hpp"
#include "unit/checks.hpp"
#include "unit/configdutybench.hpp"

using namespace weldsail;
using namespace weldsail::sim;

namespace {

std::string hex(const std::string& bytes) {
  std::string text;
  for (const char byte : bytes) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x", static_cast<unsigned char>(byte));
    text += digits;
  }
  return text;
}

}  // namespace

TEST_CASE("one change is acknowledged under a number, and no taken one is refused", "[hardening.one_number]") {
  const auto seed = GENERATE(range(1, 13));
  CAPTURE(seed);
  const auto result = run_one_number(static_cast<std::uint64_t>(seed));
  check(result);
  CHECK(result.figures.at(0).second >= 20);
}

TEST_CASE("after hundreds of changes each one is acknowledged again", "[hardening.one_number]") {
  const auto dialect = GENERATE(false, true);
  Duty duty(dialect);
  constexpr std::uint64_t changes = 600;
  for (std::uint64_t base = 0; base < changes; ++base)
    REQUIRE(duty.send(order_on(base, base + 1, "c" + std::to_string(base))) == 200);
  for (std::uint64_t base = 0; base < changes; ++base) {
    CAPTURE(base);
    CHECK(duty.send(order_on(base, base + 1, "c" + std::to_string(base))) == 200);
    CHECK(duty.send(order_on(base, base + 1, "other")) == (dialect ? 412 : 409));
  }
  CHECK(duty.state.current.version() == changes);
}

TEST_CASE("what is no longer remembered is left unclear", "[hardening.one_number]") {
  const auto dialect = GENERATE(false, true);
  constexpr std::size_t remembered = 20;
  Duty duty(dialect, remembered);
  constexpr std::uint64_t changes = 100;
  for (std::uint64_t base = 0; base < changes; ++base)
    REQUIRE(duty.send(order_on(base, base + 1, "c" + std::to_string(base))) == 200);
  for (std::uint64_t base = 0; base < changes; ++base) {
    CAPTURE(base);
    const bool known = base >= changes - remembered;
    CHECK(duty.send(order_on(base, base + 1, "c" + std::to_string(base))) == (known ? 200 : 504));
    CHECK(duty.send(order_on(base, base + 1, "other")) == (!known ? 504 : dialect ? 412 : 409));
  }
  CHECK(duty.send(order_on(changes + 3, changes + 4, "other")) == (dialect ? 412 : 409));
}

TEST_CASE("an identity that was used for another change is refused", "[hardening.one_number]") {
  Duty duty(false);
  REQUIRE(duty.send(order_on(0, 1, "first")) == 200);
  auto other = order_on(1, 2, "second");
  other.identity = "first";
  CHECK(duty.send(other) == 409);
  other.base = 0;
  CHECK(duty.send(other) == 409);
  CHECK(duty.send(order_on(0, 1, "first")) == 200);
  CHECK(duty.state.current.version() == 1);
}

TEST_CASE("nothing is refused by its base before a majority has confirmed the owner", "[hardening.one_number]") {
  const auto dialect = GENERATE(false, true);
  Duty duty(dialect);
  REQUIRE(duty.send(order_on(0, 3, "first")) == 200);
  const auto later = duty.owner.confirmed + 1;
  CHECK(duty.send(order_on(2, 4, "unseen"), later) == 0);
  CHECK(duty.state.changes.size() == 1);
  Effects effects;
  duty.owner.confirmed = later + 1;
  config_tick(duty.state, duty.member, duty.core, duty.owner, later + 2, effects);
  CHECK(duty.state.changes.empty());
  REQUIRE(effects.size() == 1);
  CHECK(std::get<Answer>(effects.front()).status == (dialect ? 412 : 409));
}

TEST_CASE("what a process of the former release took is recognised", "[hardening.one_number]") {
  const auto dialect = GENERATE(false, true);
  Duty duty(dialect);
  for (std::uint64_t base = 0; base < 5; ++base)
    REQUIRE(duty.send(order_on(base, base + 1, "c" + std::to_string(base))) == 200);
  const auto record = duty.state.current.taken();
  // The former release took the last two: it left the record as it found it, or never had one.
  const bool had_record = GENERATE(false, true);
  duty.rewrite([&](wire::ConfigValue& value) {
    value.clear_taken();
    if (!had_record) return;
    *value.mutable_taken() = record;
    value.mutable_taken()->mutable_steps()->Truncate(3);
    value.mutable_taken()->mutable_fingerprints()->resize(3 * fingerprint_bytes);
  });
  for (int round = 0; round < 2; ++round) {
    for (std::uint64_t base = 0; base < 5; ++base) {
      CAPTURE(round, base);
      CHECK(duty.send(order_on(base, base + 1, "c" + std::to_string(base))) == 200);
      CHECK(duty.send(order_on(base, base + 1, "other")) == (dialect ? 412 : 409));
    }
    if (round == 0) REQUIRE(duty.send(order_on(5, 6, "c5")) == 200);
  }
  // Once the former release's list has lost its beginning, other changes on those bases are left unclear.
  duty.rewrite([](wire::ConfigValue& value) { value.mutable_history()->DeleteSubrange(0, 1); });
  CHECK(duty.send(order_on(4, 5, "c4")) == 200);
  CHECK(duty.send(order_on(0, 1, "c0")) == 504);
  CHECK(duty.send(order_on(4, 5, "other")) == 504);
  CHECK(duty.send(order_on(5, 6, "other")) == (dialect ? 412 : 409));
}

TEST_CASE("the record of changes taken is a plain queue", "[hardening.one_number]") {
  Chance chance(7);
  wire::TakenChanges record;
  std::deque<TakenChange> model;
  std::uint64_t number = 3;
  for (int turn = 0; turn < 2000; ++turn) {
    if (chance.happens(0.01)) {
      number += 5;
      model.clear();
    }
    const auto mark = std::to_string(turn);
    TakenChange change{std::string(fingerprint_bytes - mark.size(), '-') + mark, number, number + 1 + chance.below(9)};
    number = change.number;
    taken_add(record, change, 50);
    model.push_back(change);
    if (model.size() > 50) model.pop_front();
    REQUIRE(taken_count(record) == model.size());
    REQUIRE(record.first_base() == model.front().base);
    REQUIRE(taken_complete(record, number));
    REQUIRE_FALSE(taken_complete(record, number + 1));
    const auto place = chance.below(model.size());
    REQUIRE(taken_find(record, model[place].fingerprint) ==
            RecordedChange{model.size() - 1 - place, model[place].base});
    REQUIRE_FALSE(taken_find(record, std::string(fingerprint_bytes, 'x')));
  }
}

TEST_CASE("a change's fingerprint is the start of a SHA-256 over all that makes it", "[hardening.one_number]") {
  wire::Operate operation;
  operation.set_method("PUT");
  operation.set_base("7");
  operation.set_change("id");
  operation.set_body(R"({"a":1})");
  CHECK(hex(change_fingerprint(operation, true)) == "e3c94996272e5134871b8a30f4ce7383");
  CHECK(hex(change_fingerprint(operation, false)) == "18e89912af4be456198d2996e847cbb4");
  operation.set_method("POST");
  CHECK(hex(change_fingerprint(operation, true)) == "530d334610e86f23dbe32d10c2a52659");
}
