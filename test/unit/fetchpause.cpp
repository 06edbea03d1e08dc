#include "core/configuration/fetch.hpp"
#include "unit/fetchbench.hpp"

using namespace weldsail;

namespace {

/// A value of two parts.
constexpr std::size_t two_parts = part_bytes + 1000;
/// Begun at 0, 0.1, 0.3, 0.7, 1.5, 2.5, 3.5 and so on up to 9.5 bounds: pauses of a tenth, doubled up to a whole one.
constexpr std::uint64_t fetches_in_ten_bounds = 13;

/// One receiver, and sources that have the first version.
void begin(FetchBench& bench, std::initializer_list<const char*> sources) {
  bench.add("d1", Program::data);
  bench.commit(std::string(two_parts, 'a'));
  for (const auto* source : sources) {
    bench.add(source, Program::control);
    bench.give(source);
  }
}

/// Time in which the receiver asks each source for news, three times for each bound.
void pass(FetchBench& bench, std::initializer_list<const char*> sources, int bounds) {
  for (int turn = 0; turn < 3 * bounds; ++turn) {
    for (const auto* source : sources) bench.ask_news("d1", source);
    bench.run_until(bench.now + bench.bound / 3);
  }
}

}  // namespace

TEST_CASE("a value that never fits its hash is fetched again after pauses that double", "[delivery]") {
  FetchBench bench(1);
  begin(bench, {"s1"});
  bench.wrong_hashes = {"s1"};
  pass(bench, {"s1"}, 10);
  const auto& receiver = bench.processes.at("d1");
  CHECK(bench.version("d1") == 0);
  CHECK(receiver.news.delivery.counters.fetches >= 5);
  CHECK(receiver.asks <= 2 * fetches_in_ten_bounds);
  CHECK(receiver.news.delivery.counters.violations == receiver.news.delivery.counters.fetches);
  bench.wrong_hashes.clear();
  pass(bench, {"s1"}, 2);
  CHECK(bench.version("d1") == 1);
}

TEST_CASE("a source whose value doesn't fit doesn't hold up another source or a newer version", "[delivery]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FetchBench bench(seed);
    begin(bench, {"s1", "s2", "s3"});
    bench.wrong_hashes = {"s1", "s2"};
    CAPTURE(seed);
    pass(bench, {"s1", "s2"}, 4);
    REQUIRE(bench.version("d1") == 0);
    bench.ask_news("d1", "s3");
    bench.run_until(bench.now + bench.bound / 10);
    CHECK(bench.version("d1") == 1);
    bench.commit(std::string(two_parts, 'b'));
    for (const auto* source : {"s1", "s2"}) bench.give(source);
    bench.wrong_hashes = {"s1"};
    pass(bench, {"s1", "s2"}, 1);
    CHECK(bench.version("d1") == 2);
  }
}
