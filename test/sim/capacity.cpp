#include "sim/capacity.hpp"

#include <cmath>

#include "sim/messagekind.hpp"
#include "sim/operators.hpp"

namespace weldsail::sim {
namespace {

constexpr Moment look = 50;
constexpr Moment patience = 90000;
constexpr Moment quiet = 12000;
constexpr std::size_t design_nodes = 1058;
constexpr std::size_t design_control = 58;
constexpr std::size_t voters = 3;

struct Counted {
  std::map<std::string, Rate> sent;
  double steps = 0;
  double processor_ns = 0;
  double pipes = 0;
  std::uint64_t syncs_before = 0;
};

const MemberState& member_of(const SimNode& node) {
  return std::visit([](const auto& state) -> const MemberState& { return state.member; }, node.state);
}

const NewsState& news_of(const SimNode& node) {
  return std::visit([](const auto& state) -> const NewsState& { return state.news; }, node.state);
}

std::size_t live_seen(const SimNode& node) {
  std::size_t seen = 1;
  for (const auto& [number, view] : member_of(node).others)
    if (view.entry.state() <= static_cast<std::uint32_t>(MemberPhase::suspect)) ++seen;
  return seen;
}

bool all_see(World& world, std::size_t count, bool control_only = false) {
  for (const auto& [address, node] : world.nodes())
    if (node.alive && (!control_only || world.control(address) != nullptr) && live_seen(node) != count) return false;
  return true;
}

Moment until(World& world, Moment from, const std::function<bool()>& done) {
  while (world.now() - from < patience) {
    if (done()) return world.now() - from;
    world.run_until(world.now() + look);
  }
  return -1;
}

void add_state(const World& world, const SimNode& node, RoleCost& role) {
  std::size_t bytes = 0;
  const auto& member = member_of(node);
  for (const auto& [number, view] : member.others) bytes += sizeof(MemberView) + view.entry.ByteSizeLong();
  const auto& news = news_of(node);
  for (const auto& [key, value] : news.values) bytes += value.ByteSizeLong();
  for (const auto& [number, ask] : news.waiting) bytes += ask.ByteSizeLong();
  std::size_t views = 0;
  if (const auto* data = world.data(node.address)) views = data->watch.views.size();
  if (const auto* control = world.control(node.address)) views = control->steward.watch.views.size();
  bytes += views * sizeof(WorkerView);
  role.entries += static_cast<double>(member.others.size() + news.values.size() + news.waiting.size() + views);
  role.state_bytes += static_cast<double>(bytes);
}

void add_node(RoleCost& role, const Counted& counted, const SimNode& node, const World& world, double seconds) {
  ++role.nodes;
  for (const auto& [kind, rate] : counted.sent) {
    role.sent[kind].messages += rate.messages / seconds;
    role.sent[kind].bytes += rate.bytes / seconds;
    role.all.messages += rate.messages / seconds;
    role.all.bytes += rate.bytes / seconds;
  }
  role.steps += counted.steps / seconds;
  role.processor_ms += counted.processor_ns / 1e6 / seconds;
  role.pipes += counted.pipes / seconds;
  role.syncs += static_cast<double>(node.syncs - counted.syncs_before) / seconds;
  add_state(world, node, role);
}

void divide(RoleCost& role) {
  const auto nodes = static_cast<double>(std::max<std::size_t>(1, role.nodes));
  for (auto& [kind, rate] : role.sent) rate = {rate.messages / nodes, rate.bytes / nodes};
  role.all = {role.all.messages / nodes, role.all.bytes / nodes};
  for (auto* value : {&role.steps, &role.processor_ms, &role.pipes, &role.syncs, &role.entries, &role.state_bytes})
    *value /= nodes;
}

FleetPlan fleet_plan(const CapacityPlan& plan) {
  FleetPlan fleet;
  fleet.control = std::max(voters, plan.nodes * design_control / design_nodes);
  fleet.core = voters;
  fleet.data = plan.nodes - fleet.control;
  fleet.model_workers = plan.workers;
  fleet.call_workers = 2;
  fleet.models = plan.models;
  fleet.localities = 15;
  return fleet;
}

std::string role_of(const Fleet& fleet, const std::string& address) {
  if (fleet.world.data(address) != nullptr) return "data";
  std::string held;
  for (const auto* key : {config_key, core_key, placement_key})
    if (fleet.holder(key) == address) held += (held.empty() ? "holder-of-" : "+") + std::string(key);
  return held.empty() ? "control" : held;
}

void measure_steady(Fleet& fleet, std::map<std::string, Counted>& counted, Moment length, CapacityCost& cost) {
  auto& world = fleet.world;
  counted.clear();
  for (const auto& [address, node] : world.nodes()) counted[address].syncs_before = node.syncs;
  world.run_until(world.now() + length);
  const auto seconds = static_cast<double>(length) / 1000;
  for (const auto& [address, node] : world.nodes())
    add_node(cost.roles[role_of(fleet, address)], counted[address], node, world, seconds);
  for (auto& [name, role] : cost.roles) divide(role);
}

void measure_change(Fleet& fleet, Operators& operators, std::map<std::string, Counted>& counted, std::size_t routes,
                    CapacityCost& cost) {
  auto& world = fleet.world;
  counted.clear();
  operators.put("cp1", 1, routes, false);
  cost.change_ms = until(world, world.now(), [&] {
    return std::ranges::all_of(fleet.datas, [&](const auto& item) { return world.data(item)->document_version == 2; });
  });
  std::map<std::string, std::size_t> nodes;
  for (const auto& [address, node] : world.nodes()) {
    const auto role = role_of(fleet, address);
    ++nodes[role];
    cost.change_bytes[role] += counted[address].sent["news"].bytes + counted[address].sent["accept"].bytes;
  }
  for (auto& [role, bytes] : cost.change_bytes) bytes /= static_cast<double>(nodes[role]);
}

}  // namespace

CapacityCost measure_capacity(const CapacityPlan& plan) {
  Fleet fleet(plan.seed, fleet_plan(plan));
  auto& world = fleet.world;
  Operators operators(fleet);
  std::map<std::string, Counted> counted;
  CapacityCost cost;
  world.sent = [&](const SimNode& node, const SendMessage& message, std::size_t bytes) {
    auto& rate = counted[node.address].sent[message_kind(message.envelope.body_case())];
    rate.messages += 1;
    rate.bytes += static_cast<double>(bytes);
  };
  world.opened = [&](const SimNode& node, const OpenPipe&) { counted[node.address].pipes += 1; };
  world.stepped = [&](const SimNode& node) { counted[node.address].steps += 1; };
  if (plan.timed)
    world.reduced = [&](const SimNode& node, std::int64_t spent) {
      counted[node.address].processor_ns += static_cast<double>(spent);
    };
  cost.settled_ms = until(world, 0, [&] { return all_see(world, plan.nodes); });
  world.run_until(world.now() + quiet / 4);
  operators.put("cp1", 0, plan.routes, false);
  world.run_until(world.now() + quiet);
  measure_steady(fleet, counted, plan.length, cost);
  measure_change(fleet, operators, counted, plan.routes + 1, cost);
  world.run_until(world.now() + quiet);
  const auto lost = fleet.datas.back();
  world.kill(lost);
  cost.broken_ms = until(world, world.now(), [&] { return all_see(world, plan.nodes - 1); });
  world.run_until(world.now() + quiet);
  world.start(lost);
  const auto started = world.now();
  cost.joined_control_ms = until(world, started, [&] { return all_see(world, plan.nodes, true); });
  cost.joined_ms = until(world, started, [&] { return all_see(world, plan.nodes); });
  return cost;
}

Line fit_line(const std::vector<std::pair<double, double>>& points) {
  const auto count = static_cast<double>(points.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const auto& [x, y] : points) {
    mean_x += x / count;
    mean_y += y / count;
  }
  double spread = 0;
  double product = 0;
  for (const auto& [x, y] : points) {
    spread += (x - mean_x) * (x - mean_x);
    product += (x - mean_x) * (y - mean_y);
  }
  Line line;
  if (spread <= 0) return line;
  line.slope = product / spread;
  line.start = mean_y - line.slope * mean_x;
  double rest = 0;
  for (const auto& [x, y] : points) rest += std::pow(y - line.start - line.slope * x, 2);
  if (points.size() > 2) line.error = std::sqrt(rest / (count - 2) / spread);
  return line;
}

}  // namespace weldsail::sim
