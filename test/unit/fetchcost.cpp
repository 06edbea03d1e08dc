#include "core/hash.hpp"
#include "core/membership/rendezvous.hpp"
#include "unit/fetchbench.hpp"
#include "unit/workcount.hpp"

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

wire::Envelope ask_for(const FetchProcess& server, const std::string& from, std::uint64_t version,
                       std::uint64_t base_version, std::uint64_t offset) {
  wire::Envelope envelope;
  envelope.set_from(digest(from));
  envelope.set_to(server.member.self.node());
  envelope.set_address(from);
  auto* ask = envelope.mutable_value_ask();
  ask->set_key(config_key);
  ask->set_version(version);
  ask->set_base_version(base_version);
  ask->set_offset(offset);
  return envelope;
}

wire::ValuePart only_part(const Effects& effects) {
  REQUIRE(effects.size() == 1);
  return std::get<SendMessage>(effects[0]).envelope.value_part();
}

}  // namespace

TEST_CASE("a slow fetch ends though versions come while others fetch them", "[delivery]") {
  // A process that starts on a slow link, beside data nodes that are one version behind, as in a storm of changes.
  FetchBench bench(1);
  bench.delay_most = 60;
  bench.add("s1", Program::control);
  bench.add("d1", Program::data);
  bench.commit(random_text(bench.chance, large));
  bench.give("s1");
  bench.ask_news("d1", "s1");
  auto& server = bench.processes.at("s1");
  for (int turn = 0; turn < 200 && bench.version("d1") == 0; ++turn) {
    bench.commit(with_small_change(bench.chance, bench.committed.back()));
    bench.give("s1");
    Effects effects;
    serve_asked(server.news, server.member, ask_for(server, "d2", bench.newest(), bench.newest() - 1, 0), bench.now,
                effects);
    bench.run_until(bench.now + 100);
  }
  CAPTURE(bench.newest());
  CHECK(bench.version("d1") > 0);
  CHECK(bench.processes.at("d1").news.delivery.counters.fetches_restarted == 0);
}

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
  std::map<std::string, WorkCount> spent;
  for (const std::string receiver : {"d2", "d1"}) {
    spent[receiver] = count_work([&] {
      bench.ask_news(receiver, "s1");
      bench.run_until(bench.now + 2000);
    });
    REQUIRE(bench.version(receiver) == bench.newest());
  }
  const auto& by_chain = spent["d1"];
  const auto& whole = spent["d2"];
  CAPTURE(by_chain.hashed, whole.hashed, by_chain.allocated, whole.allocated);
  CHECK(bench.processes.at("d1").news.delivery.counters.bytes_received < large);
  CHECK(by_chain.hashed > 0);
  CHECK(by_chain.hashed < 4 * whole.hashed);
  CHECK(by_chain.allocated <= 4 * whole.allocated);
}

TEST_CASE("a delta whose result would be larger than any value gives nothing", "[delta]") {
  const std::string base(1U << 20U, 'x');
  wire::Delta delta;
  std::string result;
  while (result.size() <= message_most) {
    delta.add_steps()->set_length(base.size());
    result += base;
  }
  delta.set_result_hash(sha256(result));
  CHECK_FALSE(apply_delta(base, delta));
}

TEST_CASE("many askers with bases of their own cost a source little", "[delivery]") {
  FetchBench bench(3);
  auto& server = bench.add("s1", Program::control);
  bench.commit(random_text(bench.chance, 2 * large));
  constexpr std::uint64_t askers = 40;
  while (bench.newest() <= askers) {
    auto content = bench.committed.back();
    content.replace(bench.chance.below(large), 1000, random_text(bench.chance, 1000));
    bench.commit(std::move(content));
  }
  give_from(bench, "s1", 1);
  std::size_t bytes = 0;
  const auto spent = count_work([&] {
    for (std::uint64_t base = 1; base <= askers; ++base) {
      Effects effects;
      serve_asked(server.news, server.member, ask_for(server, "d", bench.newest(), base, 0), bench.now, effects);
      bytes += only_part(effects).bytes().size();
    }
  });
  CAPTURE(spent.hashed, spent.allocated, bytes);
  CHECK(spent.hashed > 0);
  CHECK(spent.hashed <= 2 * bench.committed.back().size());
  CHECK(spent.allocated < askers * bench.committed.back().size() / 2);
}
