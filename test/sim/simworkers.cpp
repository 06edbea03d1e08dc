#include "sim/simworkers.hpp"

#include <algorithm>

#include "core/json.hpp"

namespace weldsail::sim {
namespace {

constexpr Moment lease = 3000;
constexpr Moment ceiling_window = 5000;
constexpr double ceiling_overshoot = 1.1;
constexpr Moment adapter_time = 8;
constexpr const char* platform = "platform:1";

std::string header_of(const OpenPipe& pipe, const std::string& name) {
  for (const auto& header : pipe.headers)
    if (header.name == name) return header.value;
  return {};
}

}  // namespace

std::string model_name(std::size_t number) { return "m" + std::to_string(number); }

PathConfig workers_config(const WorkersPlan& plan) {
  PathConfig config;
  config.revision = 1;
  auto& service = config.services[plan.service];
  service.name = plan.service;
  service.slots = 64;
  service.room_mb = plan.room_mb;
  service.adapter_places = plan.adapter_places;
  service.loads_per_s = plan.loads_per_s;
  for (std::size_t number = 0; number < plan.models; ++number)
    service.models[model_name(number)] = {plan.weights_mb, plan.load_time, plan.adapters, 66};
  PathRoute route;
  route.name = "r";
  route.by_model = true;
  route.aim = 400;
  route.gap_aim = 300;
  route.shares = {{plan.service, 1}};
  config.routes.push_back(route);
  return config;
}

StandIns::StandIns(World& world, const WorkersPlan& plan) : world_(world), plan_(plan) {
  for (std::size_t place = 0; place < plan.workers; ++place) {
    StandInWorker worker;
    worker.identity = "i-" + std::to_string(lives_++);
    worker.address = "w" + std::to_string(place) + ":80";
    worker.locality = "z" + std::to_string(place % plan.localities);
    workers_.push_back(worker);
  }
  const auto places = static_cast<std::size_t>(plan.room_mb / plan.weights_mb);
  std::size_t next = 0;
  const auto put = [&](std::size_t model) {
    for (std::size_t tried = 0; tried < plan.workers; ++tried, ++next) {
      auto& worker = workers_[next % plan.workers];
      if (worker.held.size() >= places || worker.held.contains(model_name(model))) continue;
      worker.held[model_name(model)];
      worker.disk.insert(model_name(model));
      ++next;
      return;
    }
  };
  for (std::size_t copy = 0; copy < 2; ++copy)
    for (std::size_t model = 0; model < plan.busy_models; ++model) put(model);
  for (std::size_t model = plan.busy_models; model < plan.models; ++model) put(model);
  for (std::size_t place = 0; place < workers_.size(); ++place) listen(place);
  world.back_ends[platform] = {
      [this](const std::string& node, std::uint64_t life, const OpenPipe& pipe) { answer_list(node, life, pipe); },
      [](const std::string&, std::uint64_t) {}, [] { return true; }};
  show();
}

void StandIns::listen(std::size_t place) {
  snapshot(workers_[place]);
  world_.back_ends[workers_[place].address] = {
      [this, place](const std::string& node, std::uint64_t life, const OpenPipe& pipe) {
        auto& worker = workers_[place];
        if (worker.dark)
          worker.buffered.push_back([this, place, node, life, pipe] { take(place, node, life, pipe); });
        else
          take(place, node, life, pipe);
      },
      [](const std::string&, std::uint64_t) {}, [this, place] { return workers_[place].alive; }};
}

void StandIns::restart(std::size_t place, Moment down) {
  gone(place);
  world_.at(world_.now() + down, [this, place] {
    auto& worker = workers_[place];
    worker.identity = "i-" + std::to_string(lives_++);
    worker.alive = true;
    worker.dark = worker.draining = false;
    worker.held.clear();
    worker.buffered.clear();
    worker.came.clear();
    worker.sequence = worker.fence = 0;
    snapshot(worker);
  });
}

void StandIns::dark(std::size_t place, bool dark) {
  auto& worker = workers_[place];
  worker.dark = dark;
  if (dark || !worker.alive) return;
  for (auto& item : std::exchange(worker.buffered, {})) item();
}

void StandIns::drain(std::size_t place) { workers_[place].draining = true; }

void StandIns::gone(std::size_t place) {
  auto& worker = workers_[place];
  worker.alive = false;
  worker.order.reset();
  ++worker.order_number;
  worker.reports.clear();
}

bool StandIns::serves(const std::string& identity, const std::string& model, const std::string& adapter) const {
  for (const auto& worker : workers_) {
    if (worker.identity != identity || !worker.alive || worker.dark) continue;
    const auto found = worker.held.find(model);
    return found != worker.held.end() && (adapter.empty() || found->second.contains(adapter));
  }
  return false;
}

void StandIns::take(std::size_t place, const std::string& node, std::uint64_t life, const OpenPipe& pipe) {
  auto& worker = workers_[place];
  if (header_of(pipe, "x-expect-unit") != worker.identity) return answer(node, life, pipe.pipe, 421, "");
  if (pipe.method == "GET") {
    ++reports;
    auto text = worker.reports.front().second;
    for (const auto& [when, report] : worker.reports)
      if (when <= world_.now() - plan_.report_lag) text = report;
    return answer(node, life, pipe.pipe, 200, text);
  }
  const auto status = take_order(worker, node, pipe);
  if (world_.chance.happens(plan_.answers_lost))
    world_.give(node, life, PipeEnded{pipe.pipe, false, true, "reset"});
  else
    answer(node, life, pipe.pipe, status, "");
}

int StandIns::take_order(StandInWorker& worker, const std::string& node, const OpenPipe& pipe) {
  ++orders;
  rapidjson::Document body;
  body.Parse<json_strict>(pipe.body.data(), pipe.body.size());
  WorkerOrder order;
  order.load = json_string_at(body, "/operation") == "load";
  order.model = json_string_at(body, "/model");
  order.adapter = json_string_at(body, "/adapter");
  const auto fence = json_count_at(body, "/fence");
  check_turns(worker, node, json_string_at(body, "/holder"), fence);
  if (fence < worker.fence) return 412;
  worker.fence = fence;
  const auto found = worker.held.find(order.model);
  const bool there = found != worker.held.end() && (order.adapter.empty() || found->second.contains(order.adapter));
  if (there == order.load && !worker.order) return 200;
  if (refuses && refuses(worker, order)) return 422;
  if (order.load && !there) {
    auto held = worker.held;
    if (worker.order && worker.order->load) held[worker.order->model].insert(worker.order->adapter);
    std::size_t adapters = 1;
    for (auto& [model, names] : held) {
      names.erase("");
      adapters += names.size();
    }
    const auto weights = static_cast<std::int64_t>(held.size() + (order.adapter.empty() ? 1 : 0)) * plan_.weights_mb;
    const bool over = order.adapter.empty() ? weights > plan_.room_mb : adapters > plan_.adapter_places;
    if (over) faults.push_back("LIMIT at " + worker.identity + " for " + order.model + "/" + order.adapter);
  }
  if (worker.order || json_count_at(body, "/expected", worker.sequence) != worker.sequence) return 409;
  if (!order.adapter.empty() && found == worker.held.end()) return 400;
  ++worker.sequence;
  begin(worker, order, !worker.disk.contains(order.model));
  return 202;
}

void StandIns::begin(StandInWorker& worker, const WorkerOrder& order, bool from_store) {
  worker.order = order;
  const bool model = order.load && order.adapter.empty();
  if (model && from_store) {
    ++store_loads;
    begun_.push_back(world_.now());
    check_ceiling();
  }
  const auto time = model ? (from_store ? plan_.load_time : plan_.disk_time) : adapter_time;
  const auto number = ++worker.order_number;
  snapshot(worker);
  world_.at(world_.now() + time, [this, identity = worker.identity, number] { end(identity, number); });
}

void StandIns::end(const std::string& identity, std::uint64_t number) {
  const auto found = std::ranges::find(workers_, identity, &StandInWorker::identity);
  if (found == workers_.end() || !found->order || found->order_number != number) return;
  const auto order = *found->order;
  found->order.reset();
  if (order.load) {
    found->disk.insert(order.model);
    auto& adapters = found->held[order.model];
    if (!order.adapter.empty()) adapters.insert(order.adapter);
  } else if (order.adapter.empty()) {
    found->held.erase(order.model);
  } else {
    found->held[order.model].erase(order.adapter);
  }
  snapshot(*found);
}

void StandIns::snapshot(StandInWorker& worker) {
  std::string text = R"({"phase":"both","models":[)" + models_text(worker) + R"(],"saturated":)";
  text += worker.order ? "true" : "false";
  text += R"(,"sequence":)" + std::to_string(worker.sequence) + R"(,"queued":0,"active":0})";
  worker.reports.emplace_back(world_.now(), text);
  while (worker.reports.size() > 2 && worker.reports[1].first <= world_.now() - plan_.report_lag)
    worker.reports.pop_front();
}

void StandIns::check_turns(StandInWorker& worker, const std::string& node, const std::string& holder,
                           std::uint64_t fence) {
  const auto now = world_.now();
  const bool counted = !excused || !excused(node);
  for (const auto& [when, other, other_fence] : worker.came) {
    if (other == holder || !counted) continue;
    if (other_fence == fence) faults.push_back("ONE: two holders share a fence at " + worker.identity);
    if (now - when < lease) faults.push_back("ONE: holders take turns at " + worker.identity);
  }
  if (counted) worker.came.emplace_back(now, holder, fence);
}

void StandIns::check_ceiling() {
  while (!begun_.empty() && begun_.front() <= world_.now() - ceiling_window) begun_.pop_front();
  const auto most = plan_.loads_per_s * (ceiling_window / 1000.0) * ceiling_overshoot + 3;
  if (static_cast<double>(begun_.size()) > most)
    faults.push_back("CEILING: " + std::to_string(begun_.size()) + " loads begin");
}

}  // namespace weldsail::sim
