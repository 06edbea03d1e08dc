#include <catch2/catch.hpp>

#include "core/placement/placing.hpp"
#include "platform/dialect.hpp"
#include "sim/simworkers.hpp"

using namespace weldsail;
using namespace weldsail::sim;

namespace {

constexpr Moment begins = 1000000;
/// Half the slots of a worker in `workers_config`: running requests that call for one holder.
constexpr std::uint64_t running_a_holder = 32;

/// The orders of a placement's holder whose plan is committed; workers take them and never end them.
struct LoadingFleet {
  LoadingFleet() : paths(workers_config(shape)) {
    state.term = 1;
    state.command.store.filled = now;
    member.options.bound = state.bound;
  }
  std::string unit(std::size_t model) const { return unit_name(shape.service, model_name(model)); }
  /// One more worker that is to hold this model alone.
  void plan(std::size_t model, bool holds = false) {
    const auto identity = "i-" + std::to_string(100 + state.command.books.size());
    auto& book = state.command.books[identity];
    book.entry.set_identity(identity);
    book.entry.set_address(identity + ":80");
    book.entry.set_service(shape.service);
    book.orders_taken = 0;
    if (holds) book.held[model_name(model)];
    state.plan.workers[identity] = {identity + ":80", shape.service, {model_name(model)}, {}};
    auto& count = state.plan.counts[unit(model)];
    count.set_service(shape.service);
    count.set_model(model_name(model));
    count.set_count(count.count() + 1);
    state.open_work.insert(identity);
  }
  void run(std::size_t model, std::uint64_t requests) { state.wants.units[unit(model)].demand.running = requests; }
  void wait(std::size_t model, Moment oldest) {
    auto& demand = state.wants.units[unit(model)].demand;
    demand.waiting = 1;
    demand.oldest = oldest;
  }
  /// Lets the store begin one more load; the model that the holder orders.
  std::string next_load() {
    state.command.store.ready = 1;
    const auto ordered = under_order();
    Effects effects;
    placing_enact(state, {member, core, &paths, 1, owner, numbers, platform_dialect(), limits, now}, effects);
    std::string loaded;
    for (const auto& [identity, model] : under_order())
      if (!ordered.contains(identity)) loaded += model;
    return loaded;
  }
  std::map<std::string, std::string> under_order() const {
    std::map<std::string, std::string> models;
    for (const auto& [identity, book] : state.command.books)
      if (book.order) models[identity] = book.order->order.model;
    return models;
  }
  std::vector<std::string> loads(std::size_t count) {
    std::vector<std::string> models;
    for (std::size_t load = 0; load < count; ++load) models.push_back(next_load());
    return models;
  }
  std::size_t loads_of(std::size_t model) const {
    std::size_t count = 0;
    for (const auto& [identity, loading] : under_order()) count += loading == model_name(model) ? 1 : 0;
    return count;
  }
  WorkersPlan shape;
  PathConfig paths;
  PlacingState state;
  MemberState member;
  wire::Core core;
  RegisterState owner;
  PipeNumbers numbers;
  Limits limits;
  Moment now = begins;
};

}  // namespace

TEST_CASE("a crowded model and many waiting ones each have half of the store's loads", "[placing]") {
  LoadingFleet fleet;
  fleet.plan(0, true);
  for (int place = 0; place < 8; ++place) fleet.plan(0);
  for (std::size_t model = 1; model < 9; ++model) {
    fleet.plan(model);
    fleet.wait(model, static_cast<Moment>(1000 + model));
  }
  fleet.run(0, 9 * running_a_holder);
  fleet.loads(8);
  CHECK(fleet.loads_of(0) == 4);
  // The longest waits of the others.
  for (std::size_t model = 1; model < 9; ++model) CHECK(fleet.loads_of(model) == (model > 4 ? 1 : 0));
}

TEST_CASE("of two crowded models the one with fewer holders a request, loads under way included, loads first",
          "[placing]") {
  LoadingFleet fleet;
  for (std::size_t model : {0, 1}) {
    fleet.plan(model, true);
    for (int place = 0; place < 3; ++place) fleet.plan(model);
  }
  fleet.run(0, 4 * running_a_holder);
  fleet.run(1, 12 * running_a_holder);
  CHECK(fleet.loads(4) == std::vector<std::string>{model_name(1), model_name(1), model_name(0), model_name(1)});
}

TEST_CASE("without a crowd loads go by the longest wait, as before", "[placing]") {
  LoadingFleet fleet;
  for (std::size_t model = 0; model < 4; ++model) {
    fleet.plan(model);
    if (model != 2) fleet.wait(model, static_cast<Moment>(1000 * (model + 1)));
  }
  fleet.run(2, 1);
  CHECK(fleet.loads(4) == std::vector<std::string>{model_name(3), model_name(1), model_name(0), model_name(2)});
}

TEST_CASE("a class without loads that can begin leaves its turn to the other", "[placing]") {
  LoadingFleet fleet;
  fleet.plan(0, true);
  for (int place = 0; place < 2; ++place) fleet.plan(0);
  fleet.plan(1);
  fleet.wait(1, 1000);
  fleet.run(0, 3 * running_a_holder);
  fleet.loads(3);
  CHECK(fleet.loads_of(0) == 2);
  CHECK(fleet.loads_of(1) == 1);
}

TEST_CASE("a planned holder whose worker left the list counts as no holder", "[placing]") {
  LoadingFleet fleet;
  fleet.plan(0, true);
  for (int place = 0; place < 2; ++place) fleet.plan(0);
  fleet.run(0, 3 * running_a_holder);
  fleet.state.command.books.erase("i-100");
  CHECK(fleet.next_load() == model_name(0));
}
