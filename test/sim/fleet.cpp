#include "sim/fleet.hpp"

#include "core/json.hpp"

namespace weldsail::sim {
namespace {

std::string locality_name(std::size_t place, const FleetPlan& plan) {
  return "z" + std::to_string(place % plan.localities + 1);
}

std::vector<BackPlan> worker_plans(const FleetPlan& plan) {
  std::vector<BackPlan> plans;
  for (std::size_t place = 0; place < plan.model_workers; ++place) {
    BackPlan worker;
    worker.address = "worker" + std::to_string(place + 1);
    worker.service = "models";
    worker.phase = place % 2 == 0 ? "prefill" : "decode";
    worker.locality = locality_name(place, plan);
    worker.room_mb = plan.room_mb;
    worker.adapter_capacity = 2;
    plans.push_back(worker);
  }
  for (std::size_t place = 0; place < plan.call_workers; ++place) {
    BackPlan worker;
    worker.address = "caller" + std::to_string(place + 1);
    worker.service = "booking";
    worker.phase = "call";
    worker.locality = locality_name(place, plan);
    worker.slots = 32;
    worker.piece_ms = 20;
    plans.push_back(worker);
  }
  for (auto& worker : plans) {
    worker.cell = "cell";
    worker.instance = "i-" + worker.address;
  }
  return plans;
}

}  // namespace

Fleet::Fleet(std::uint64_t seed, const FleetPlan& chosen) : world(seed), plan(chosen) {
  backs = std::make_unique<SimBacks>(world, worker_plans(plan), "platform", plan.loads_per_s);
  for (std::size_t place = 0; place < plan.control; ++place) {
    controls.push_back("cp" + std::to_string(place + 1));
    add_control(controls.back(), place);
  }
  for (std::size_t place = 0; place < plan.data; ++place) {
    datas.push_back("dp" + std::to_string(place + 1));
    SimNode node;
    node.address = datas.back();
    node.locality = locality_name(place, plan);
    DataOptions options;
    options.member = {Program::data, node.address, node.address, node.locality, {"cp1", "cp2", "cp3"}, 3000};
    node.make = [options] { return make_data(options); };
    world.add(std::move(node));
  }
  for (const auto& address : controls) world.start(address);
  for (const auto& address : datas) world.start(address);
}

void Fleet::add_control(const std::string& address, std::size_t place, const std::vector<std::string>& seeds) {
  SimNode node;
  node.address = address;
  node.locality = locality_name(place, plan);
  node.has_disk = true;
  node.sync_most = plan.sync_most;
  ControlOptions options;
  options.member = {Program::control, address, address, node.locality, seeds, 3000};
  options.core_size = static_cast<std::uint32_t>(plan.control);
  options.platform = "platform";
  options.platform_pace = 4000;
  node.make = [options] { return make_control(options); };
  world.add(std::move(node));
}

std::string Fleet::document(const std::string& mark) const {
  JsonText text;
  text.object().key("store").object().key("loads_per_s").out().Double(plan.loads_per_s);
  text.close().key("scaler").object();
  text.key("idle_evict_s").out().Double(5);
  text.close().key("models").object();
  for (std::size_t place = 0; place < plan.models; ++place)
    text.key(("m" + std::to_string(place + 1)).c_str()).object().number("weights_mb", 10).close();
  text.close().key("adapters").object().key("a1").object().field("model", "m1").close();
  text.key("a2").object().field("model", "m2").close().close();
  text.key("cells").object().key("cell").object().key("services").object();
  text.key("models").object().field("kind", "model").close().key("booking").object().field("kind", "call").close();
  text.close().key("tenants").object();
  for (const std::string tenant : {"t1", "t2"}) {
    text.key(tenant.c_str()).object().key("routes").object();
    for (std::size_t place = 0; place < plan.models; ++place) {
      const auto name = std::to_string(place + 1);
      text.key(("chat" + name).c_str()).object().field("kind", "stream").field("model", "m" + name);
      if (place < 2) text.field("adapter", "a" + name);
      text.close();
      text.key(("review" + name).c_str()).object().field("kind", "stream").field("model", "m" + name);
      text.truth("resumable", true).close();
    }
    text.key("seat").object().field("kind", "call").field("service", "booking").number("due_ms", 5000).close();
    text.close().close();
  }
  text.key(("mark-" + mark).c_str()).object().close();
  text.close().close().close().close();
  return text.text();
}

std::string Fleet::holder(const std::string& key) const {
  for (const auto& address : controls) {
    const auto* state = world.control(address);
    if (state != nullptr && state->owners.at(key).phase == OwnerPhase::holding) return address;
  }
  return {};
}

}  // namespace weldsail::sim
