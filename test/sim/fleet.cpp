#include "sim/fleet.hpp"

#include "core/json.hpp"
#include "core/membership/rendezvous.hpp"

namespace weldsail::sim {
namespace {

std::string locality_name(std::size_t place, const FleetPlan& plan) {
  return "z" + std::to_string(place % plan.localities + 1);
}

std::string adapter_model(std::size_t place, const FleetPlan& plan) {
  return "m" + std::to_string(place % plan.models + 1);
}

std::string cell_name(std::size_t cell) { return cell == 0 ? "cell" : "cell" + std::to_string(cell + 1); }

std::vector<BackPlan> worker_plans(const FleetPlan& plan) {
  std::vector<BackPlan> plans;
  for (std::size_t place = 0; place < plan.model_workers; ++place) {
    BackPlan worker;
    worker.address = "worker" + std::to_string(place + 1);
    worker.cell = cell_name(place / 2 % plan.cells);
    worker.service = service_name(false, place / 2 % plan.cells);
    worker.phase = place % 2 == 0 ? "prefill" : "decode";
    worker.locality = locality_name(place, plan);
    worker.room_mb = plan.room_mb;
    worker.adapter_capacity = 2;
    worker.load_ms = plan.load_ms;
    plans.push_back(worker);
  }
  for (std::size_t place = 0; place < plan.call_workers; ++place) {
    BackPlan worker;
    worker.address = "caller" + std::to_string(place + 1);
    worker.cell = cell_name(place % plan.cells);
    worker.service = service_name(true, place % plan.cells);
    worker.phase = "call";
    worker.locality = locality_name(place, plan);
    worker.slots = 32;
    worker.piece_ms = 20;
    plans.push_back(worker);
  }
  for (auto& worker : plans) worker.instance = "i-" + worker.address;
  return plans;
}

void write_routes(JsonText& text, const FleetPlan& plan, std::size_t cell, std::size_t more_routes) {
  text.key("routes").object();
  for (std::size_t place = 0; place < plan.models; ++place) {
    const auto name = std::to_string(place + 1);
    text.key(("chat" + name).c_str()).object().field("kind", "stream").field("model", "m" + name);
    if (place < plan.adapters) text.field("adapter", "a" + name);
    text.close();
    if (const auto second = place + plan.models; second < plan.adapters) {
      const auto other = std::to_string(second + 1);
      text.key(("chat" + other).c_str()).object().field("kind", "stream").field("model", "m" + name);
      text.field("adapter", "a" + other).close();
    }
    text.key(("review" + name).c_str()).object().field("kind", "stream").field("model", "m" + name);
    text.truth("resumable", true).close();
    text.key(("menu" + name).c_str()).object().field("kind", "deferred").field("model", "m" + name).close();
  }
  for (std::size_t place = 0; place < more_routes; ++place)
    text.key(("more" + std::to_string(place)).c_str()).object().field("kind", "stream").field("model", "m1").close();
  text.key("seat")
      .object()
      .field("kind", "call")
      .field("service", service_name(true, cell))
      .number("due_ms", 5000)
      .close();
  text.close();
}

}  // namespace

std::string service_name(bool call, std::size_t cell) {
  const std::string name = call ? "booking" : "models";
  return cell == 0 ? name : name + std::to_string(cell + 1);
}

Fleet::Fleet(std::uint64_t seed, const FleetPlan& chosen) : world(seed), plan(chosen) {
  world.drift_most = plan.drift;
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
    options.held_limit = plan.held_limit;
    options.has_folder = place < plan.data_folders;
    node.sync_most = plan.sync_most;
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
  node.has_disk = !plan.diskless.contains(place) && (plan.core == 0 || place < plan.core);
  node.sync_most = plan.sync_most;
  ControlOptions options;
  options.member = {Program::control, address, address, node.locality, seeds, 3000};
  options.core_size = static_cast<std::uint32_t>(plan.core == 0 ? plan.control : plan.core);
  options.has_disk = node.has_disk;
  for (std::size_t founder = 0; founder < plan.founders; ++founder)
    options.founders.push_back("cp" + std::to_string(founder + 1));
  options.core_target = plan.core_target;
  options.replace_after = plan.replace_after;
  options.leave_within = plan.leave_within;
  options.platform = "platform";
  options.platform_pace = 4000;
  options.claims_kept = plan.claims_kept;
  node.make = [options] { return make_control(options); };
  world.add(std::move(node));
}

std::string Fleet::document(const std::string& mark) const { return document(mark, 0); }

std::string Fleet::document(const std::string& mark, std::size_t more_routes, bool swapped) const {
  const bool heavier = digest(mark) % 3 == 0;
  JsonText text;
  text.object().key("store").object().key("loads_per_s").out().Double(plan.loads_per_s);
  text.close().key("scaler").object();
  text.key("idle_evict_s").out().Double(5);
  text.close().key("models").object();
  for (std::size_t place = 0; place < plan.models; ++place)
    text.key(("m" + std::to_string(place + 1)).c_str())
        .object()
        .number("weights_mb", 10 + (heavier && place < 3 ? 4 : 0))
        .close();
  text.close().key("adapters").object();
  for (std::size_t place = 0; place < plan.adapters; ++place) {
    const auto name = std::to_string(place + 1);
    text.key(("a" + name).c_str()).object().field("model", adapter_model(place, plan)).close();
  }
  text.close().key("cells").object();
  for (std::size_t cell = 0; cell < plan.cells; ++cell) {
    text.key(cell_name(cell).c_str()).object().key("services").object();
    text.key(service_name(false, cell).c_str()).object().field("kind", "model").close();
    text.key(service_name(true, cell).c_str()).object().field("kind", "call").close();
    text.close().key("tenants").object();
    for (std::size_t tenant = 0; tenant < 2; ++tenant) {
      if ((tenant + (swapped ? 1 : 0)) % plan.cells != cell) continue;
      text.key(("t" + std::to_string(tenant + 1)).c_str()).object();
      write_routes(text, plan, cell, tenant == 0 ? more_routes : 0);
      text.close();
    }
    if (cell == 0) text.key(("mark-" + mark).c_str()).object().close();
    text.close().close();
  }
  text.close().close();
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
