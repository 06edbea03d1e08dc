#include <catch2/catch.hpp>

#include "core/placement/plan.hpp"
#include "sim/simworkers.hpp"

using namespace weldsail;
using namespace weldsail::sim;

namespace {

constexpr Moment now = 1000000;
constexpr std::size_t models_each = 3;

/// Full workers whose models have all been quiet for long.
struct FullFleet {
  explicit FullFleet(double loads_per_s) {
    shape.workers = 6;
    shape.models = 30;
    shape.loads_per_s = loads_per_s;
    paths = workers_config(shape);
    for (std::size_t place = 0; place < shape.workers; ++place) add_worker(place);
    for (std::size_t model = 0; model < shape.models; ++model) wants[unit(model)].demand.quiet = 20000;
    plan_align(plan, make());
    before = plan;
  }
  void add_worker(std::size_t place) {
    auto& book = books["i-" + std::to_string(place)];
    book.entry.set_identity("i-" + std::to_string(place));
    book.entry.set_address("w" + std::to_string(place));
    book.entry.set_service(shape.service);
    for (std::size_t model = place * models_each; model < (place + 1) * models_each; ++model) {
      book.held[model_name(model)];
      book.had.insert(model_name(model));
    }
  }
  std::string unit(std::size_t model) const { return unit_name(shape.service, model_name(model)); }
  void wait(std::size_t model, Moment oldest) {
    auto& demand = wants[unit(model)].demand;
    demand.waiting = 1;
    demand.oldest = oldest;
    demand.quiet = 0;
  }
  PlanInput make() const { return {paths, books, committed, wants, 3000, true, false, now}; }
  void decide() {
    Effects effects;
    plan_models(plan, make(), effects);
  }
  bool placed(std::size_t model) const { return !planned_holders(plan, unit(model)).empty(); }
  /// Models that had to give way since the beginning.
  std::size_t gone() const {
    std::size_t count = 0;
    for (const auto& [identity, worker] : before.workers)
      for (const auto& model : worker.models)
        if (!plan.workers.at(identity).models.contains(model)) ++count;
    return count;
  }
  WorkersPlan shape;
  PathConfig paths;
  Books books;
  wire::Placement committed;
  WantsByUnit wants;
  HolderPlan plan;
  HolderPlan before;
};

}  // namespace

TEST_CASE("room is made no further ahead than the store can load", "[placing]") {
  FullFleet fleet(1.2);
  for (std::size_t number = 0; number < 5; ++number) fleet.wait(20 + number, 1000 + static_cast<Moment>(number) * 100);
  fleet.decide();
  CHECK(fleet.gone() == 1);
  CHECK(fleet.placed(24));
  fleet.decide();
  CHECK(fleet.gone() == 1);
  // The load has begun: room is made for the next one.
  auto& book = fleet.books.at(planned_holders(fleet.plan, fleet.unit(24)).front());
  SentOrder sent;
  sent.order.load = true;
  sent.order.model = model_name(24);
  sent.sent = now;
  book.order = sent;
  fleet.decide();
  CHECK(fleet.gone() == 2);
  CHECK(fleet.placed(23));
}

TEST_CASE("a faster store has room made for more loads, one without a rate for all", "[placing]") {
  const auto rate = GENERATE(0.0, 4.2);
  CAPTURE(rate);
  FullFleet fleet(rate);
  for (std::size_t number = 0; number < 5; ++number) fleet.wait(20 + number, 1000);
  fleet.decide();
  CHECK(fleet.gone() == (rate > 0 ? 3 : 5));
}

TEST_CASE("a load that nobody waits for keeps no waiting request from its place", "[placing]") {
  FullFleet fleet(1.2);
  plan_count(fleet.plan, fleet.unit(20), 1);
  fleet.wants[fleet.unit(20)].demand.quiet = 1;
  fleet.decide();
  CHECK(fleet.placed(20));
  fleet.wait(21, 1000);
  plan_count(fleet.plan, fleet.unit(22), 1);
  fleet.wants[fleet.unit(22)].demand.quiet = 1;
  fleet.decide();
  CHECK(fleet.placed(21));
  CHECK_FALSE(fleet.placed(22));
}

TEST_CASE("a model on a worker's own disk gets its place there without the store", "[placing]") {
  FullFleet fleet(1.2);
  for (std::size_t number = 0; number < 4; ++number) fleet.wait(20 + number, 2000);
  fleet.wait(25, 1000);
  fleet.books.at("i-3").had.insert(model_name(25));
  fleet.decide();
  CHECK(fleet.gone() == 2);
  CHECK(planned_holders(fleet.plan, fleet.unit(25)) == std::vector<std::string>{"i-3"});
}
