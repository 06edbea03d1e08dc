#include <catch2/catch.hpp>

#include <random>

#include "core/forwarding/paths/call.hpp"

using namespace weldsail;

TEST_CASE("the longest prefix of the host wins, as a plain search finds it", "[carry]") {
  std::mt19937 random(7);
  const std::vector<std::string> steps{"a/", "b/", "c/"};
  for (int round = 0; round < 200; ++round) {
    PathConfig config;
    for (int count = 0; count < 6; ++count) {
      PathRoute route;
      route.host = random() % 2 == 0 ? "h" : "g";
      route.prefix = "/";
      for (auto depth = random() % 4; depth > 0; --depth) route.prefix += steps[random() % 3];
      config.routes.push_back(route);
    }
    const PathIndex index(config);
    std::string path = "/";
    for (auto depth = random() % 5; depth > 0; --depth) path += steps[random() % 3];
    if (random() % 2 == 0) path += "x";
    std::optional<std::string> wanted;
    for (const auto& route : config.routes)
      if (route.host == "h" && path.starts_with(route.prefix) && (!wanted || route.prefix.size() > wanted->size()))
        wanted = route.prefix;
    const auto found = index.find("h", path);
    REQUIRE(found.has_value() == wanted.has_value());
    if (found) CHECK(config.routes[*found].prefix == *wanted);
  }
}

TEST_CASE("all nodes' repeats together stay within the bound in every window", "[carry]") {
  std::mt19937 random(11);
  Limits limits;
  limits.budget_margin = 52;
  constexpr std::size_t nodes = 6;
  std::vector<PathBudget> budgets(nodes);
  std::vector<std::pair<Moment, bool>> sent;
  for (Moment now = 0; now < 60000; now += 1 + static_cast<Moment>(random() % 8)) {
    auto& budget = budgets[random() % nodes];
    budget_request(budget, now);
    sent.emplace_back(now, false);
    if (random() % 2 == 0 && budget_allows(budget, limits, nodes, now)) {
      budget_repeat(budget, now);
      sent.emplace_back(now, true);
    }
  }
  for (std::size_t end = 0; end < sent.size(); end += 37) {
    double requests = 0;
    double repeats = 0;
    for (std::size_t place = end + 1; place-- > 0 && sent[end].first - sent[place].first < limits.budget_window;)
      (sent[place].second ? repeats : requests) += 1;
    REQUIRE(repeats <= limits.budget_ratio * requests + limits.budget_margin);
  }
}
