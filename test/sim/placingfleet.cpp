#include "sim/placingfleet.hpp"

#include <algorithm>
#include <cmath>

#include "platform/fleet.hpp"

namespace weldsail::sim {
namespace {

constexpr Moment step_time = 20;
constexpr Moment avoid_time = 500;
constexpr Moment report_bound = 3000;
constexpr std::uint64_t missed_tokens = 700;
constexpr std::uint64_t generated_tokens = 290;

const Dialect& stand_in_dialect() {
  static const Dialect dialect = [] {
    Dialect made{};
    made.list_path = fleet_list_path;
    made.read_list = fleet_read_list;
    made.report_path = fleet_report_path;
    made.read_report = fleet_read_report;
    made.order_path = fleet_order_path;
    made.order_body = fleet_order_body;
    made.order_headers = fleet_order_headers;
    made.read_order_answer = fleet_read_order_answer;
    return made;
  }();
  return dialect;
}

const std::vector<std::string> seeds{"cp1", "cp2", "cp3"};

}  // namespace

PlacingFleet::PlacingFleet(std::uint64_t seed, const WorkersPlan& workers, const AskPlan& asks)
    : world(seed), workers_(workers), asks_(asks) {
  world.tick = 25;
  stands = std::make_unique<StandIns>(world, workers);
  for (std::size_t place = 0; place < 4; ++place) add_control("cp" + std::to_string(place + 1), place);
  for (std::size_t place = 0; place < asks.data_nodes; ++place) add_data("dp" + std::to_string(place + 1), place);
  world.stepping = [this](const SimNode& node, const Event& event, Moment) {
    const auto* message = std::get_if<MessageArrived>(&event);
    if (message == nullptr || node.address != "dp1") return;
    if (message->envelope.has_fleet()) fleet_take(known, message->envelope.fleet(), world.now());
    if (message->envelope.has_counter_ask()) report(message->envelope.counter_ask().round());
  };
  world.at(1, [this] { step(); });
}

void PlacingFleet::add_control(const std::string& address, std::size_t place) {
  SimNode node;
  node.address = address;
  node.locality = "z" + std::to_string(place);
  node.has_disk = true;
  node.sync_least = 3;
  node.sync_most = 8;
  ControlOptions options;
  options.member = {Program::control, address, address, node.locality, seeds, 3000};
  options.core_size = 4;
  options.dialect = &stand_in_dialect();
  options.limits.list_address = "platform:1";
  options.limits.list_delay = workers_.list_lag;
  options.limits.first_start = true;
  const auto config = workers_config(workers_);
  node.make = [options, config] {
    auto state = make_control(options);
    state.paths = config;
    return state;
  };
  controls.push_back(address);
  world.add(std::move(node));
  world.start(address);
}

void PlacingFleet::add_data(const std::string& address, std::size_t place) {
  SimNode node;
  node.address = address;
  node.locality = "z" + std::to_string(place);
  DataOptions options;
  options.member = {Program::data, address, address, node.locality, seeds, 3000};
  node.make = [options] { return make_data(options); };
  world.add(std::move(node));
  world.start(address);
}

std::string PlacingFleet::holder() const {
  for (const auto& address : controls) {
    const auto* state = world.control(address);
    if (state != nullptr && state->owners.at(placement_key).phase == OwnerPhase::holding) return address;
  }
  return {};
}

const ControlState* PlacingFleet::steward() const {
  const auto address = holder();
  return address.empty() ? nullptr : world.control(address);
}

void PlacingFleet::ask_until(Moment when) {
  until_ = when;
  due_busy_ = due_rare_ = 0;
}

void PlacingFleet::arrive() {
  const auto part = static_cast<double>(step_time) / 1000;
  due_busy_ += asks_.busy_per_s * part * (0.5 + static_cast<double>(world.chance.below(1000)) / 1000);
  due_rare_ += asks_.rare_per_s * part * (0.5 + static_cast<double>(world.chance.below(1000)) / 1000);
  const auto turn = static_cast<std::size_t>(world.now() / asks_.shift) * asks_.busy_at_once;
  for (; due_busy_ >= 1; due_busy_ -= 1) {
    const auto which = (turn + (world.chance.happens(0.7) ? 0 : 1 + world.chance.below(asks_.busy_at_once - 1))) %
                       workers_.busy_models;
    AskedModel item{model_name(which), "", world.now(), 0, 0, false, asks_.further_tries};
    if (workers_.adapters > 0 && world.chance.happens(asks_.adapter_share))
      item.adapter = "a" + std::to_string(1 + world.chance.below(workers_.adapters));
    ask(std::move(item));
  }
  for (; due_rare_ >= 1; due_rare_ -= 1) {
    const auto rare = workers_.models - workers_.busy_models;
    const auto share = static_cast<double>(world.chance.below(1000000)) / 1000000;
    const auto which =
        workers_.busy_models + static_cast<std::size_t>(static_cast<double>(rare) * std::pow(share, 1.3));
    ask({model_name(which), "", world.now(), 0, 0, false, asks_.further_tries});
  }
}

void PlacingFleet::ask(AskedModel item) {
  asks_take(asks_of(asked.size(), item.model, ""), report_bound, world.now());
  if (!item.adapter.empty()) asks_take(asks_of(asked.size(), item.model, item.adapter), report_bound, world.now());
  open_.push_back(asked.size());
  asked.push_back(std::move(item));
}

void PlacingFleet::refuse(AskedModel& item) {
  item.failed = true;
  if (item.further_tries == 0) return;
  world.at(world.now() + asks_.pause, [this, model = item.model, adapter = item.adapter, tries = item.further_tries] {
    ask({model, adapter, world.now(), 0, 0, false, tries - 1});
  });
}

bool PlacingFleet::begin(AskedModel& item) {
  std::vector<const wire::WorkerEntry*> fits;
  for (const auto& [identity, entry] : known.workers.all()) {
    const auto& worker = *entry;
    const auto avoided = avoided_.find(worker.identity());
    if (worker.draining() || (avoided != avoided_.end() && world.now() < avoided->second)) continue;
    for (const auto& model : worker.models())
      if (model.name() == item.model &&
          (item.adapter.empty() || std::ranges::find(model.adapters(), item.adapter) != model.adapters().end()))
        fits.push_back(&worker);
  }
  if (fits.empty()) return false;
  const auto& picked = *fits[world.chance.below(fits.size())];
  if (!stands->serves(picked.identity(), item.model, item.adapter)) {
    ++misdirected;
    avoided_[picked.identity()] = world.now() + avoid_time;
    return false;
  }
  item.began = world.now();
  item.ends = world.now() + asks_.run_time;
  const auto place = static_cast<std::size_t>(&item - asked.data());
  asks_serve(asks_of(place, item.model, ""), world.now());
  if (!item.adapter.empty()) asks_serve(asks_of(place, item.model, item.adapter), world.now());
  const auto share = place % asks_.reporters;
  const auto worker = asks_.reporters == 1 ? std::string() : picked.address();
  auto& counter = counters_[share][{item.model, worker}];
  counter.set_missed_tokens(counter.missed_tokens() + missed_tokens);
  counter.set_generated_tokens(counter.generated_tokens() + generated_tokens);
  return true;
}

void PlacingFleet::run() {
  std::set<std::string> waiting;
  std::erase_if(open_, [&](std::size_t place) {
    auto& item = asked[place];
    if (item.began != 0) return world.now() >= item.ends;
    used_[item.model] = world.now();
    if (begin(item)) return false;
    if (world.now() - item.arrived > asks_.deadline) {
      refuse(item);
      return true;
    }
    waiting.insert(item.model + "/" + item.adapter);
    return false;
  });
  const bool fresh = std::ranges::any_of(waiting, [&](const auto& name) { return !told_waiting_.contains(name); });
  told_waiting_ = std::move(waiting);
  if (asks_.reports_apart)
    report_apart();
  else if (fresh || world.now() >= next_report_)
    report(0);
}

void PlacingFleet::step() {
  if (world.now() < until_) arrive();
  run();
  const auto target = holder();
  if (known.behind && !target.empty()) {
    wire::Envelope ask;
    ask.set_from(world.data("dp1")->member.self.node());
    ask.set_address("dp1");
    ask.mutable_fleet_ask()->set_term(known.term);
    ask.mutable_fleet_ask()->set_version(known.version);
    world.give(target, world.node(target).life, MessageArrived{ask});
  }
  world.at(world.now() + step_time, [this] { step(); });
}

}  // namespace weldsail::sim
