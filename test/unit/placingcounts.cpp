#include <catch2/catch.hpp>

#include "core/placement/counts.hpp"
#include "sim/simworkers.hpp"

using namespace weldsail;
using namespace weldsail::sim;

namespace {

constexpr Moment bound = 3000;
/// Running requests that call for one holder: half the slots of a worker in `workers_config`.
constexpr std::uint64_t running_a_holder = 32;

/// A fleet with one busy model, of which some holders are ready and some still load.
struct BusyModel {
  BusyModel(std::size_t ready, std::size_t loading) : paths(workers_config(shape)) {
    limits.contact = bound;
    for (std::size_t place = 0; place < shape.workers; ++place) add_worker("i-" + std::to_string(10 + place));
    auto& count = plan.counts[unit];
    count.set_service(shape.service);
    count.set_model(model_name(0));
    count.set_count(static_cast<std::uint32_t>(ready + loading));
    for (std::size_t place = 0; place < ready + loading; ++place) {
      const auto identity = "i-" + std::to_string(10 + place);
      plan_hold(plan, identity, model_name(0));
      if (place < ready) books.at(identity).held[model_name(0)];
    }
    plan_reindex(plan);
  }
  void add_worker(const std::string& identity) {
    auto& book = books[identity];
    book.entry.set_identity(identity);
    book.entry.set_service(shape.service);
    plan.workers[identity] = {identity, shape.service, {}, {}};
  }
  PlanInput input() { return {paths, books, committed, wants, bound, true, false, now}; }
  wire::HolderCount& count() { return plan.counts.at(unit); }
  /// One pass over counters that tell of this many generated tokens and of this wait for the first token.
  void pass(double generated, double first_token) {
    DemandPass counters;
    counters.from = now;
    now += bound / 6;
    counters.until = now;
    auto& sample = counters.samples[unit];
    sample.generated_tokens = generated;
    for (int request = 0; request < 100; ++request) sample.first_token.add(first_token);
    counts_pass(plan, clocks, counters, input(), limits, effects);
  }
  WorkersPlan shape;
  std::string unit = unit_name(shape.service, model_name(0));
  PathConfig paths;
  Limits limits;
  Books books;
  wire::Placement committed;
  WantsByUnit wants;
  HolderPlan plan;
  CountClocksByUnit clocks;
  Effects effects;
  Moment now = 100000;
};

}  // namespace

TEST_CASE("a count follows its running requests while the growth before is still loading", "[placing]") {
  BusyModel busy(2, 1);
  busy.count().set_pending(true);
  busy.count().set_baseline(2);
  busy.wants[busy.unit].demand.running = 10 * running_a_holder;
  busy.pass(100, 10);
  CHECK(busy.count().count() == 7);
  busy.pass(100, 10);
  CHECK(busy.count().count() == 10);
  CHECK(busy.count().baseline() == 2);
  busy.pass(100, 10);
  CHECK(busy.count().count() == 10);
}

TEST_CASE("latency alone adds no holder while the last ones load, and one at a time after that", "[placing]") {
  constexpr double many_tokens = 1e6;
  constexpr double slow = 5000;
  BusyModel busy(2, 1);
  busy.count().set_pending(true);
  busy.count().set_baseline(2);
  // Demand within what three holders take.
  constexpr double tokens = 3 * 80 * 64 * 0.45;
  for (int round = 0; round < 5; ++round) busy.pass(tokens, slow);
  CHECK(busy.count().count() == 3);
  busy.books.at("i-12").held[model_name(0)];
  busy.count().set_pending(false);
  busy.pass(tokens, slow);
  CHECK(busy.count().count() == 4);
  busy.pass(many_tokens, slow);
  CHECK(busy.count().count() > 4);
}

TEST_CASE("growth that isn't whole in time keeps the holders that have come up", "[placing]") {
  BusyModel busy(5, 3);
  busy.count().set_pending(true);
  busy.count().set_baseline(2);
  std::vector<std::string> aborted;
  counts_settle(busy.plan, busy.clocks, aborted, busy.input(), busy.limits, busy.effects);
  CHECK(busy.count().count() == 8);
  busy.now += 4 * bound;
  counts_settle(busy.plan, busy.clocks, aborted, busy.input(), busy.limits, busy.effects);
  CHECK(busy.count().count() == 5);
  CHECK_FALSE(busy.count().pending());
}
