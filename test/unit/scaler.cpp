#include <catch2/catch.hpp>

#include "core/placement/decision.hpp"
#include "sim/world.hpp"
#include "unit/scalermodel.hpp"

using namespace weldsail;

namespace {

UnitSample sample_at(Moment until, double missed, double generated, double first_ms, double inter_ms, bool complete) {
  UnitSample sample;
  sample.from = until - 15000;
  sample.until = until;
  sample.missed_tokens = missed;
  sample.generated_tokens = generated;
  sample.complete = complete;
  sample.measured = true;
  for (int turn = 0; turn < 20 && first_ms > 0; ++turn) sample.first_token.add(first_ms);
  for (int turn = 0; turn < 20 && inter_ms > 0; ++turn) sample.inter_token.add(inter_ms);
  return sample;
}

struct Trace {
  ScalerOptions options;
  ModelOptions model;
  UnitHistory history;
  UnitStanding standing;
  Moment now = 0;
  PhaseVector pass(double missed_rate, double generated_rate, double first_ms = 100, double inter_ms = 10,
                   bool complete = true) {
    now += 15000;
    scaler_observe(history, sample_at(now, missed_rate * 15, generated_rate * 15, first_ms, inter_ms, complete),
                   options);
    const auto advice = scaler_advise(history, standing, options, now);
    return scaler_constrain(history, advice, standing, model, options, now);
  }
  void settle(PhaseVector vector) { standing.current = standing.ready = vector; }
};

}  // namespace

TEST_CASE("the scaler decides as the slow plain model of DESIGN does") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    sim::Chance chance(seed);
    Trace trace;
    trace.options.floor_window_s = chance.happens(0.5) ? 60 : 300;
    trace.model.prefill = {chance.below(3) == 0 ? 1 : 0, static_cast<std::int64_t>(4 + chance.below(30))};
    trace.model.decode = trace.model.prefill;
    plain::PlainScaler oracle(trace.options, trace.model);
    for (int pass = 0; pass < 120; ++pass) {
      trace.now += 15000;
      const double scale = chance.happens(0.2) ? 10 : chance.happens(0.3) ? 0 : 1;
      auto sample = sample_at(trace.now, static_cast<double>(chance.below(90000)) * scale,
                              static_cast<double>(chance.below(30000)) * scale,
                              chance.happens(0.2) ? 0 : static_cast<double>(chance.below(900)),
                              chance.happens(0.2) ? 0 : static_cast<double>(chance.below(90)), !chance.happens(0.1));
      sample.measured = !chance.happens(0.03);
      for (auto more = chance.below(4); more > 0 && sample.first_token.count > 0; --more)
        sample.first_token.add(static_cast<double>(chance.below(2000)));
      auto& standing = trace.standing;
      standing.pending = chance.happens(0.1);
      standing.retiring = chance.happens(0.1);
      standing.cooling = chance.happens(0.1);
      standing.waiting = chance.happens(0.2) ? 1 + chance.below(50) : 0;
      standing.waiting_prompt_tokens = static_cast<double>(standing.waiting * 500);
      standing.ready = {
          static_cast<std::int64_t>(chance.below(static_cast<std::uint64_t>(standing.current.prefill) + 1)),
          standing.current.decode};
      if (chance.happens(0.1)) standing.decode_grown = trace.now - static_cast<Moment>(chance.below(200000));
      scaler_observe(trace.history, sample, trace.options);
      oracle.observe(sample);
      const auto advice = scaler_advise(trace.history, standing, trace.options, trace.now);
      const auto chosen = scaler_constrain(trace.history, advice, standing, trace.model, trace.options, trace.now);
      const auto expected = oracle.decide(standing, static_cast<double>(trace.now) / 1000);
      INFO("seed " << seed << " pass " << pass << " current " << standing.current.prefill << "/"
                   << standing.current.decode);
      REQUIRE(std::pair(chosen.prefill, chosen.decode) == std::pair(expected.prefill, expected.decode));
      standing.current = chosen;
    }
  }
}

TEST_CASE("a pass grows by at most four or all of what is there") {
  Trace trace;
  trace.settle({1, 1});
  CHECK(trace.pass(40000, 16000) == PhaseVector{5, 5});
  trace.settle({8, 8});
  CHECK(trace.pass(100000, 40000) == PhaseVector{16, 16});
}

TEST_CASE("shrinking waits for the floor window and goes one by one") {
  Trace trace;
  trace.settle({4, 4});
  for (int pass = 0; pass < 20; ++pass) CHECK(trace.pass(2000, 800) == PhaseVector{4, 4});
  CHECK(trace.pass(2000, 800) == PhaseVector{3, 3});
}

TEST_CASE("panic, latency, coverage, retirement, cooldown and grace each hold shrinking") {
  const auto shrinks = [](const std::function<void(Trace&)>& last) {
    Trace trace;
    trace.settle({4, 4});
    for (int pass = 0; pass < 21; ++pass) trace.pass(2000, 800);
    last(trace);
    return trace.standing.current;
  };
  const auto pass = [](Trace& trace, double first_ms, double inter_ms, bool complete) {
    trace.standing.current = trace.pass(2000, 800, first_ms, inter_ms, complete);
  };
  CHECK(shrinks([&](Trace& trace) { pass(trace, 100, 10, true); }) == PhaseVector{3, 3});
  CHECK(shrinks([&](Trace& trace) { pass(trace, 100, 10, false); }) == PhaseVector{4, 4});
  CHECK(shrinks([&](Trace& trace) {
          trace.standing.retiring = true;
          pass(trace, 100, 10, true);
        }) == PhaseVector{4, 4});
  CHECK(shrinks([&](Trace& trace) {
          trace.standing.cooling = true;
          pass(trace, 100, 10, true);
        }) == PhaseVector{4, 4});
  CHECK(shrinks([&](Trace& trace) {
          trace.standing.decode_grown = trace.now;
          pass(trace, 100, 10, true);
        }) == PhaseVector{3, 4});
  CHECK(shrinks([&](Trace& trace) {
          trace.standing.ready = {0, 0};
          pass(trace, 100, 10, true);
        }) == PhaseVector{4, 4});
  Trace slow;
  slow.settle({4, 4});
  for (int turn = 0; turn < 22; ++turn) CHECK(slow.pass(2000, 800, 600, 10).prefill == 4);
  Trace breach;
  breach.settle({2, 2});
  CHECK(breach.pass(2000, 800, 700, 10).prefill == 3);
  Trace missing;
  missing.settle({1, 1});
  CHECK(missing.pass(6000, 800, 0, 10) == PhaseVector{3, 2});
}

TEST_CASE("the band is exact and a pending cohort bars growth") {
  Trace trace;
  CHECK(trace.pass(30000, 100) == PhaseVector{4, 2});
  trace.settle({2, 2});
  trace.standing.pending = true;
  CHECK(trace.pass(30000, 8000) == PhaseVector{2, 2});
  ScalerOptions options;
  CHECK_FALSE(band_feasible({3, 3}, {1, 1}, options));
  CHECK(band_feasible({2, 3}, {1, 1}, options));
  options.ratio_min = options.ratio_max = 0.333;
  CHECK_FALSE(band_feasible({1, 8}, {1, 24}, options));
  CHECK(band_feasible({0, 8}, {0, 24}, options));
}

TEST_CASE("growth not taken up is rolled back and an aborted retirement is restored and cools") {
  StewardState state;
  Effects effects;
  ScalerOptions options;
  wire::UnitRecord record;
  record.set_unit("cell/m");
  record.mutable_vector()->set_prefill(3);
  record.mutable_baseline()->set_prefill(1);
  record.set_pending(true);
  state.clocks["cell/m"].pending_since = 0;
  steward_settle(state, record, {1, 0}, true, options, 299999, effects);
  CHECK(record.vector().prefill() == 3);
  steward_settle(state, record, {1, 0}, true, options, 300000, effects);
  CHECK(record.vector().prefill() == 1);
  CHECK_FALSE(record.pending());
  record.mutable_shrunk_from()->set_prefill(2);
  record.set_retiring(true);
  wire::UnitRecord same_model;
  same_model.set_unit("other/m");
  same_model.mutable_vector()->set_prefill(1);
  same_model.mutable_shrunk_from()->set_prefill(2);
  same_model.set_retiring(true);
  state.orders.aborted.emplace_back("cell/m");
  steward_settle(state, same_model, {1, 0}, false, options, 400000, effects);
  CHECK(same_model.retiring());
  CHECK(same_model.vector().prefill() == 1);
  steward_settle(state, record, {1, 0}, false, options, 400000, effects);
  CHECK(record.vector().prefill() == 2);
  CHECK(record.cooling());
  steward_settle(state, record, {2, 0}, false, options, 699999, effects);
  CHECK(record.cooling());
  steward_settle(state, record, {2, 0}, false, options, 700000, effects);
  CHECK_FALSE(record.cooling());
}

TEST_CASE("a fallen counter, a new or a silent routing node leave a pass incomplete") {
  DemandState state;
  MemberState member;
  Effects effects;
  const auto pass = [&](std::initializer_list<std::pair<std::uint64_t, std::uint64_t>> counted, Moment now) {
    demand_ask(state, member, {}, now, effects);
    for (const auto& [node, tokens] : counted) {
      state.expected.insert(node);
      wire::Envelope envelope;
      envelope.set_from(node);
      auto* report = envelope.mutable_counter_report();
      report->set_round(state.round);
      auto* counter = report->add_counters();
      counter->set_unit("cell/m");
      counter->set_worker("w");
      counter->set_missed_tokens(tokens);
      demand_receive(state, envelope, now);
    }
    return demand_close(state, 64, {}, now);
  };
  CHECK_FALSE(pass({{1, 100}, {2, 50}}, 1000).complete);
  const auto second = pass({{1, 400}, {2, 50}}, 16000);
  CHECK(second.complete);
  CHECK(second.samples.at("cell/m").missed_tokens == 300);
  const auto fallen = pass({{1, 10}, {2, 60}}, 31000);
  CHECK_FALSE(fallen.complete);
  CHECK_FALSE(fallen.measured);
  CHECK(pass({{1, 20}, {2, 70}}, 46000).complete);
  CHECK_FALSE(pass({{1, 30}, {2, 80}, {3, 5}}, 61000).complete);
  state.expected.insert(9);
  CHECK_FALSE(pass({{1, 30}}, 76000).complete);
}
