#include <ctime>

#include "core/hash.hpp"
#include "unit/fetchbench.hpp"

using namespace weldsail;

namespace {

constexpr std::size_t large = 400U << 10U;

std::string random_text(sim::Chance& chance, std::size_t length) {
  std::string text;
  while (text.size() < length) text += std::to_string(chance.number());
  return text;
}

/// A document with a few other bytes.
std::string with_small_change(sim::Chance& chance, const std::string& content) {
  auto changed = content;
  return changed.replace(chance.below(content.size() - 200), 100, random_text(chance, 100));
}

/// Gives a process all committed versions from one on, one after another.
void give_from(FetchBench& bench, const std::string& address, std::uint64_t first) {
  for (auto version = first; version <= bench.newest(); ++version) bench.give(address, version);
}

/// Processor time of this thread in seconds.
double processor_time() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

}  // namespace

TEST_CASE("a long chain costs a receiver no more than a few times what its value costs", "[delivery]") {
  FetchBench bench(2);
  bench.delay_most = 1;
  bench.add("s1", Program::control);
  for (const auto* receiver : {"d1", "d2"}) bench.add(receiver, Program::data);
  bench.commit(random_text(bench.chance, 2 * large));
  for (const auto* address : {"s1", "d1"}) bench.give(address);
  constexpr std::uint64_t changes = 250;
  while (bench.newest() <= changes) bench.commit(with_small_change(bench.chance, bench.committed.back()));
  give_from(bench, "s1", 2);
  std::map<std::string, double> spent;
  for (const std::string receiver : {"d2", "d1"}) {
    const auto begun = processor_time();
    bench.ask_news(receiver, "s1");
    bench.run_until(bench.now + 2000);
    spent[receiver] = processor_time() - begun;
    REQUIRE(bench.version(receiver) == bench.newest());
  }
  CAPTURE(spent["d1"], spent["d2"]);
  CHECK(bench.processes.at("d1").news.delivery.counters.bytes_received < large);
  CHECK(spent["d1"] < 4 * spent["d2"]);
}

TEST_CASE("a delta whose result would be larger than any value gives nothing", "[delta]") {
  const std::string base(1U << 20U, 'x');
  wire::Delta delta;
  std::string result;
  while (result.size() <= value_most) {
    delta.add_steps()->set_length(base.size());
    result += base;
  }
  delta.set_result_hash(sha256(result));
  CHECK_FALSE(apply_delta(base, delta));
}
