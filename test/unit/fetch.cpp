#include "core/configuration/fetch.hpp"

#include "core/hash.hpp"
#include "unit/fetchbench.hpp"

using namespace weldsail;

namespace {

constexpr std::uint64_t seeds = 60;
constexpr std::size_t large = 100U << 10U;

std::string random_text(sim::Chance& chance, std::size_t length) {
  std::string text;
  while (text.size() < length) text += std::to_string(chance.number());
  return text;
}

/// The next version of a document: a small change of it, mostly; else another document or a former one again.
std::string next_content(FetchBench& bench) {
  auto& chance = bench.chance;
  const auto kind = chance.below(8);
  if (bench.committed.empty() || kind == 0) return random_text(chance, large + chance.below(large));
  if (kind == 1) return bench.committed[chance.below(bench.committed.size())];
  auto content = bench.committed.back();
  const auto length = kind == 2 ? 30000 : 200;
  return content.replace(chance.below(content.size()), chance.below(length), random_text(chance, chance.below(length)));
}

const std::vector<std::string> sources{"s1", "s2", "s3"};
const std::vector<std::string> receivers{"d1", "d2", "c4", "f1"};
void ask_all(FetchBench& bench, double share) {
  for (const auto& receiver : receivers)
    if (bench.chance.happens(share)) bench.ask_news(receiver, sources[bench.chance.below(sources.size())]);
}

void add_all(FetchBench& bench) {
  for (const auto& source : sources) bench.add(source, Program::control);
  for (const auto& receiver : receivers)
    bench.add(receiver, receiver.starts_with('c') ? Program::control : Program::data).former = receiver == "f1";
}

/// Half seconds for recovery: where messages take up to 0.6 s each way, a value of 13 parts takes as many rounds.
int turns_to_recover(const FetchBench& bench) { return bench.delay_most > 100 ? 40 : 20; }

/// Versions come while sources die, begin anew with nothing, or lag behind; then all is well again.
void run_troubled(FetchBench& bench) {
  add_all(bench);
  auto& chance = bench.chance;
  const auto end = bench.now + 12000;
  while (bench.now < end) {
    if (bench.committed.empty() || chance.happens(0.15)) bench.commit(next_content(bench));
    for (const auto& source : sources) {
      auto& process = bench.processes.at(source);
      if (process.alive && chance.happens(0.4)) bench.give(source);
      if (process.alive && chance.happens(0.3)) bench.prove(source);
      if (!chance.happens(process.alive ? 0.03 : 0.2)) continue;
      process.alive = !process.alive;
      // A process begins anew with nothing, or had stood still and goes on with what it had.
      if (process.alive && chance.happens(0.7)) bench.begin_life(source);
    }
    if (chance.happens(0.02)) bench.begin_life(receivers[chance.below(receivers.size())]);
    ask_all(bench, 0.3);
    bench.run_until(bench.now + 100);
  }
  bench.loss = bench.doubled = bench.tampered = 0;
  for (const auto& source : sources) {
    bench.processes.at(source).alive = true;
    bench.give(source);
  }
  for (int turn = 0; turn < turns_to_recover(bench); ++turn) {
    ask_all(bench, 1);
    bench.run_until(bench.now + 500);
  }
  for (const auto& receiver : receivers) {
    CAPTURE(receiver, bench.version(receiver), bench.newest());
    CHECK(bench.version(receiver) == bench.newest());
  }
}

/// A chain with literal bytes is as long as these.
std::string with_piece(const std::string& content, std::size_t offset, const std::string& piece) {
  auto changed = content;
  return changed.replace(offset, piece.size(), piece);
}

/// Gives a process all versions so far, one after another.
void give_each(FetchBench& bench, const std::string& address, std::initializer_list<std::uint64_t> versions) {
  for (const auto version : versions) bench.give(address, version);
}

}  // namespace

TEST_CASE("fetched values are what was committed, in spite of loss, doubling, delay and sources that end",
          "[delivery]") {
  std::uint64_t restarted = 0;
  std::uint64_t repeated = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    FetchBench bench(seed);
    bench.loss = seed % 3 == 0 ? 0 : 0.05 * static_cast<double>(seed % 4);
    bench.doubled = seed % 2 == 0 ? 0.1 : 0;
    bench.delay_most = seed % 5 == 0 ? 600 : 40;
    CAPTURE(seed);
    run_troubled(bench);
    for (const auto& [address, process] : bench.processes) {
      CAPTURE(address);
      CHECK(process.news.delivery.counters.violations == 0);
      restarted += process.news.delivery.counters.fetches_restarted;
      repeated += process.news.delivery.counters.parts_repeated;
    }
  }
  // Both ways out of trouble were taken.
  CHECK(restarted > 0);
  CHECK(repeated > 0);
}

TEST_CASE("parts that were tampered with never give a value", "[delivery]") {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    FetchBench bench(seed);
    bench.tampered = 0.02 * static_cast<double>(1 + seed % 10);
    bench.doubled = seed % 2 == 0 ? 0.05 : 0;
    CAPTURE(seed);
    run_troubled(bench);
  }
}

TEST_CASE("a chain to another value than the one that was offered gives nothing", "[delivery]") {
  FetchBench bench(1);
  bench.add("s1", Program::control);
  bench.add("d1", Program::data);
  bench.commit(random_text(bench.chance, large));
  bench.give("s1");
  bench.ask_news("d1", "s1");
  bench.run_until(bench.now + 3000);
  REQUIRE(bench.version("d1") == 1);
  bench.commit(with_piece(bench.committed[0], 100, "changed"));
  bench.give("s1");
  // The link is whole in itself, and leads to bytes that nobody committed.
  auto& link = bench.processes.at("s1").news.delivery.links.at(config_key).links.back();
  *link.mutable_delta() = make_delta(bench.committed[0], with_piece(bench.committed[0], 100, "another"));
  bench.ask_news("d1", "s1");
  bench.run_until(bench.now + 3000);
  CHECK(bench.version("d1") == 2);
}

TEST_CASE("a fetch goes on elsewhere when its source is gone, from where it was", "[delivery]") {
  FetchBench bench(2);
  for (const auto* source : {"s1", "s2"}) bench.add(source, Program::control);
  auto& receiver = bench.add("d1", Program::data);
  bench.commit(random_text(bench.chance, 4 * large));
  give_each(bench, "s1", {1});
  give_each(bench, "s2", {1});
  for (const auto* source : {"s1", "s2"}) bench.ask_news("d1", source);
  bench.run_until(bench.now + 150);
  const auto first = receiver.news.delivery.fetches.at(config_key);
  REQUIRE_FALSE(first.received.empty());
  bench.processes.at(first.address).alive = false;
  bench.run_until(bench.now + 5000);
  CHECK(bench.version("d1") == 1);
  CHECK(receiver.news.delivery.counters.bytes_received <= bench.committed[0].size() + part_bytes);
  CHECK(receiver.news.delivery.counters.parts_repeated >= 1);
}

TEST_CASE("a fetch goes on elsewhere where another chain leads to the same version", "[delivery]") {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    FetchBench bench(seed);
    for (const auto* source : {"s1", "s2"}) bench.add(source, Program::control);
    bench.add("d1", Program::data);
    bench.commit(random_text(bench.chance, 4 * large));
    const auto length = 20000 + bench.chance.below(40000);
    bench.commit(with_piece(bench.committed[0], 1000, random_text(bench.chance, length)));
    bench.commit(with_piece(bench.committed[0], 1000, random_text(bench.chance, 1 + bench.chance.below(length))));
    give_each(bench, "s1", {1, 2, 3});
    give_each(bench, "s2", {1, 3});
    give_each(bench, "d1", {1});
    bench.ask_news("d1", "s1");
    const auto& fetches = bench.processes.at("d1").news.delivery.fetches;
    while (!fetches.contains(config_key) || fetches.at(config_key).received.empty()) bench.run_until(bench.now + 10);
    bench.processes.at("s1").alive = false;
    for (int turn = 0; turn < turns_to_recover(bench); ++turn) {
      bench.ask_news("d1", "s2");
      bench.run_until(bench.now + 500);
    }
    CAPTURE(seed, length);
    CHECK(bench.version("d1") == 3);
  }
}

TEST_CASE("a source is found though many that offered a value are gone", "[delivery]") {
  FetchBench bench(3);
  bench.add("s1", Program::control);
  bench.add("d1", Program::data);
  bench.commit(random_text(bench.chance, large));
  for (int life = 0; life < 12; ++life) {
    bench.begin_life("s1");
    bench.give("s1");
    bench.ask_news("d1", "s1");
    // The offer arrives, and the source ends before any part does.
    while (bench.processes.at("d1").news.delivery.sources[config_key].size() < static_cast<std::size_t>(life + 1) &&
           life < 8)
      bench.run_until(bench.now + 10);
  }
  for (int turn = 0; turn < turns_to_recover(bench); ++turn) {
    bench.ask_news("d1", "s1");
    bench.run_until(bench.now + 500);
  }
  CHECK(bench.version("d1") == 1);
}

TEST_CASE("only a former release gets large values inside News", "[delivery]") {
  FetchBench bench(5);
  add_all(bench);
  bench.commit(random_text(bench.chance, large));
  for (const auto& source : sources) bench.give(source);
  for (const auto& receiver : receivers) bench.ask_news(receiver, "s1");
  bench.run_until(bench.now + 3000);
  for (const auto& receiver : receivers) {
    const bool former = bench.processes.at(receiver).former;
    CHECK(bench.version(receiver) == 1);
    CHECK(bench.inside_news[receiver] == (former ? bench.committed[0].size() : 0));
    CHECK(bench.processes.at(receiver).news.delivery.counters.fetches == (former ? 0 : 1));
  }
}
