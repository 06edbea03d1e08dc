#include <catch2/catch.hpp>

#include "core/configuration/pathduty.hpp"
#include "platform/dialect.hpp"
#include "unit/tenants.hpp"

/// Tenants and their keys in a configuration.
using namespace weldsail;
using namespace weldsail::unit;

TEST_CASE("two tenants with one key, or with one name, are refused, by an amendment too, and no fault tells it",
          "[configuration]") {
  const std::string head = R"({"revision":7,"route_table":[],"plants":[])";
  const auto faults = [](const std::string& document) { return platform_read_config(document).faults; };
  CHECK(faults(head + tenants_member({{"k0", "k0"}, {"k1"}}) + "}").empty());
  CHECK(faults(head + tenants_member({{}, {}}) + "}").empty());
  const auto shared = faults(head + tenants_member({{"k0"}, {"k1", "k0"}}) + "}");
  REQUIRE(shared.size() == 1);
  CHECK(shared.front().pointer == "/tenants/1");
  CHECK(shared.front().message.find("k0") == std::string::npos);
  for (const auto* wrong :
       {R"([{"label":"t","credentials":["a"]},{"label":"t","credentials":["b"]}])", R"([{"credentials":["a"]}])",
        R"([{"label":"t","credentials":[""]}])", R"([{"label":"t","credentials":[4]}])", R"({"t":["a"]})", "null",
        R"([{"label":"t","credentials":"a"}])", R"([{"label":"t\r\nx-other: 1","credentials":["a"]}])"}) {
    CAPTURE(wrong);
    CHECK_FALSE(faults(head + R"(,"tenants":)" + wrong + "}").empty());
  }
  const auto document = head + tenants_member({{"k0"}, {"k1"}}) + "}";
  const auto change = [&](const std::string& body) {
    RequestArrived event{1, "POST", "", {}, body};
    return path_change(platform_dialect(), document, 7, path_operation({ConfigCallKind::amend, 7}, event)).status;
  };
  const auto amendment = [](const std::string& keys) {
    return R"({"revision":8,"apply":{"tenants":[{"label":"t1","credentials":[)" + keys + "]}]}}";
  };
  CHECK(change(amendment(R"("k1","k0")")) == 400);
  CHECK(change(amendment(R"("k2")")) == 200);
  // The key moves in one change.
  CHECK(
      change(
          R"({"revision":8,"apply":{"tenants":[{"label":"t1","credentials":["k0"]}]},"remove":{"tenants":["t0"]}})") ==
      200);
}

TEST_CASE("an amendment that removes from a list which isn't there makes no such list", "[configuration]") {
  const auto amended = platform_amend_config(R"({"revision":7,"route_table":[],"plants":[]})",
                                             R"({"revision":8,"remove":{"tenants":["t0"]}})");
  REQUIRE(amended);
  CHECK(*amended == R"({"revision":8,"route_table":[],"plants":[]})");
}
