#include <catch2/catch.hpp>

#include <memory>

#include "sim/delivery.hpp"

using namespace weldsail;
using namespace weldsail::sim;

/// What the delivery of a configuration costs in bytes, and what it delays, in the simulated world.
namespace {

constexpr std::uint64_t kibibyte = 1024;
constexpr std::uint64_t seeds = 3;
/// Enough for each core process to have several askers, and few enough for the sanitizers.
constexpr std::size_t few_datas = 8;
constexpr std::size_t storm_datas = 12;
/// Bytes that may be in front of a ping at a data node's link, whatever goes on.
constexpr double data_front_limit = 64 * kibibyte;

/// As many bytes in fewer routes, which cost the sanitizers less of their time.
void use_large_routes(DeliveryPlan& plan) {
  plan.routes /= 5;
  plan.route_bytes *= 5;
}

DeliveryPlan plan_of(std::uint64_t seed, bool links) {
  DeliveryPlan plan;
  plan.controls = seed % 2 == 0 ? 5 : 3;
  plan.datas = few_datas;
  plan.links = links;
  if (seed > 1) use_large_routes(plan);
  return plan;
}

/// A run of small changes after the large one, on a network without limits; two tests look at the same runs.
DeliveryWorld& small_changes(std::uint64_t seed) {
  static std::map<std::uint64_t, std::unique_ptr<DeliveryWorld>> runs;
  auto& run = runs[seed];
  if (run == nullptr) {
    run = std::make_unique<DeliveryWorld>(seed, plan_of(seed, false));
    run->run();
  }
  return *run;
}

void check_faults(const DeliveryWorld& delivery) {
  for (const auto& fault : delivery.faults) UNSCOPED_INFO(fault);
  CHECK(delivery.faults.empty());
}

void check_data_links(const DeliveryWorld& delivery) {
  CAPTURE(delivery.data_front_most_at);
  CHECK(delivery.data_front_most <= data_front_limit);
}

/// Bytes that may go to one data node for each small change.
std::uint64_t small_limit(const DeliveryWorld& delivery) { return 16 * kibibyte + 8 * delivery.change_bytes; }

}  // namespace

TEST_CASE("a limited link carries one message after another, and the others at once", "[delivery]") {
  Links links;
  std::vector<double> in_front;
  links.queued = [&](const QueuedMessage& message) { in_front.push_back(message.in_front); };
  links.limit("d1", {100, 0});
  CHECK(links.carry("d1", LinkSide::in, wire::Envelope::kNews, 1000, 50) == 60);
  CHECK(links.carry("d1", LinkSide::in, wire::Envelope::kPing, 50, 52) == 61);
  CHECK(links.carry("d1", LinkSide::out, wire::Envelope::kNews, 1000, 52) == 52);
  CHECK(links.carry("d2", LinkSide::in, wire::Envelope::kNews, 1000, 52) == 52);
  CHECK(in_front == std::vector<double>{0, 800});
  links.clear("d1");
  CHECK(links.carry("d1", LinkSide::in, wire::Envelope::kPing, 100, 53) == 54);
}

TEST_CASE("a small change costs each data node what it changes", "[delivery]") {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    auto& delivery = small_changes(seed);
    check_faults(delivery);
    const auto bytes = most_of(delivery.traffic[DeliveryPhase::small].configuration_to_data);
    CAPTURE(seed, delivery.document_bytes, delivery.change_bytes, bytes);
    CHECK(bytes / delivery.plan.small_changes <= small_limit(delivery));
  }
}

TEST_CASE("a small change costs each core process what it changes", "[delivery]") {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    auto& delivery = small_changes(seed);
    check_faults(delivery);
    const auto bytes = most_of(delivery.traffic[DeliveryPhase::small].configuration_between_controls);
    CAPTURE(seed, delivery.document_bytes, delivery.change_bytes, bytes);
    CHECK(bytes / delivery.plan.small_changes <= 64 * kibibyte);
  }
}

TEST_CASE("a large document goes to a data node once", "[delivery]") {
  const auto links = GENERATE(false, true);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    auto plan = plan_of(seed, links);
    plan.small_changes = 0;
    plan.datas = 24;
    DeliveryWorld delivery(seed, plan);
    delivery.run();
    check_faults(delivery);
    check_data_links(delivery);
    const auto bytes = most_of(delivery.traffic[DeliveryPhase::large].configuration_to_data);
    CAPTURE(seed, links, delivery.document_bytes, bytes);
    CHECK(bytes <= delivery.document_bytes * 5 / 4 + 64 * kibibyte);
  }
}

TEST_CASE("a large document goes once to each of many data nodes, whose fetches wait for nobody", "[delivery]") {
  auto plan = plan_of(1, true);
  plan.controls = 5;
  plan.datas = 89;
  plan.small_changes = 0;
  DeliveryWorld delivery(1, plan);
  delivery.run();
  check_faults(delivery);
  check_data_links(delivery);
  const auto bytes = most_of(delivery.traffic[DeliveryPhase::large].configuration_to_data);
  CAPTURE(delivery.document_bytes, bytes, delivery.front_most_at, delivery.large_acknowledged, delivery.large_in_force);
  CHECK(bytes <= delivery.document_bytes * 5 / 4 + 64 * kibibyte);
  CHECK(delivery.front_most <= 128 * kibibyte);
  for (const auto& address : delivery.datas)
    CHECK(delivery.world.data(address)->news.delivery.counters.parts_repeated == 0);
}

TEST_CASE("a large document goes to a data node twice at most when messages or a source are lost", "[delivery]") {
  const auto links = GENERATE(false, true);
  for (std::uint64_t seed = 1; seed <= 2 * seeds; ++seed) {
    auto plan = plan_of(seed, links);
    plan.small_changes = 0;
    if (seed == 1) use_large_routes(plan);
    if (seed % 3 != 0) plan.loss = seed % 3 == 1 ? 0.03 : 0.1;
    plan.kill_control = seed % 3 != 1;
    DeliveryWorld delivery(seed, plan);
    delivery.run();
    check_faults(delivery);
    check_data_links(delivery);
    const auto bytes = most_of(delivery.traffic[DeliveryPhase::large].configuration_to_data);
    CAPTURE(seed, links, plan.loss, plan.kill_control, delivery.document_bytes, bytes);
    CHECK(bytes <= delivery.document_bytes * 2 + 64 * kibibyte);
  }
}

TEST_CASE("pings and leases don't wait behind bulk", "[delivery]") {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    auto plan = plan_of(seed, true);
    plan.datas = 24;
    plan.small_changes = 2;
    DeliveryWorld delivery(seed, plan);
    delivery.run();
    check_faults(delivery);
    CAPTURE(seed, delivery.document_bytes, delivery.front_most_at);
    CHECK(delivery.front_most <= 128 * kibibyte);
  }
}

TEST_CASE("pings to and from data nodes don't wait behind bulk", "[delivery]") {
  for (std::uint64_t seed = 1; seed <= 2 * seeds; ++seed) {
    auto plan = plan_of(seed, true);
    plan.datas = 24;
    plan.small_changes = 2;
    if (seed > seeds) plan.loss = 0.1;
    plan.kill_control = seed == 2 * seeds;
    DeliveryWorld delivery(seed, plan);
    delivery.run();
    CAPTURE(seed, delivery.document_bytes);
    check_faults(delivery);
    check_data_links(delivery);
    // The links were limited and used: something was in front of a ping at times.
    CHECK(delivery.data_front_most > 0);
  }
}

TEST_CASE("a fleet that fell behind comes back by itself", "[delivery]") {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    auto plan = plan_of(seed, true);
    if (seed == 1) use_large_routes(plan);
    plan.datas = storm_datas;
    plan.small_changes = 20;
    plan.beside = true;
    DeliveryWorld delivery(seed, plan);
    delivery.run();
    check_faults(delivery);
    check_data_links(delivery);
    const auto bytes = most_of(delivery.traffic[DeliveryPhase::after].configuration_to_data);
    CAPTURE(seed, delivery.document_bytes, bytes);
    CHECK(bytes <= 16 * kibibyte);
  }
}
