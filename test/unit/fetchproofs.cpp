#include "unit/fetchbench.hpp"

using namespace weldsail;

TEST_CASE("many offered versions are all missing until the newest is here", "[delivery]") {
  FetchBench bench(4);
  auto& receiver = bench.add("d1", Program::data);
  const std::uint64_t count = 100;
  std::map<std::uint64_t, Moment> offered_at{{0, bench.now}};
  for (std::uint64_t version = 1; version <= count; ++version) {
    bench.commit(std::to_string(version));
    wire::Envelope envelope;
    envelope.set_from(1000);
    envelope.set_address("s1");
    auto* offer = envelope.mutable_news()->add_offers();
    offer->set_key(config_key);
    offer->set_version(version);
    envelope.mutable_news()->set_asked_ms(static_cast<std::uint64_t>(bench.now));
    envelope.mutable_news()->set_majority_met(true);
    bench.receive("d1", envelope);
    offered_at[version] = bench.now;
    ++bench.now;
    CHECK_FALSE(receiver.news.current_as_of);
  }
  for (std::uint64_t version = 1; version <= count; ++version) {
    Effects effects;
    CAPTURE(version);
    CHECK(fetch_behind(receiver.news));
    if (receiver.news.current_as_of) CHECK(*receiver.news.current_as_of <= offered_at.at(version - 1));
    news_learn(receiver.news, receiver.member, {}, bench.value_of(version), bench.now, effects);
  }
  CHECK_FALSE(fetch_behind(receiver.news));
  // What the senders proved of their own versions holds here once these are here.
  CHECK(receiver.news.current_as_of == offered_at.at(count));
}
