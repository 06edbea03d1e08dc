#include "sim/ordersenders.hpp"

#include <algorithm>

#include "core/json.hpp"

namespace weldsail::sim {
namespace {

constexpr Moment patience = 1000;
constexpr int tries_most = 8;
constexpr std::size_t under_way_most = 8;

}  // namespace

OrderSenders::OrderSenders(World& world, std::vector<std::string> nodes, bool dialect)
    : world_(world), nodes_(std::move(nodes)), dialect_(dialect) {
  watch();
}

void OrderSenders::watch() {
  world_.stepped = [this](SimNode& node) {
    const auto* state = std::get_if<ControlState>(&node.state);
    if (state == nullptr) return;
    const auto& owner = state->owners.at(config_key);
    if (owner.phase != OwnerPhase::holding || owner.version == 0) return;
    const auto known = committed_.find(owner.version);
    if (known != committed_.end() && known->second == state->config_duty.current.document()) return;
    wire::ConfigValue value;
    value.ParseFromString(owner.value);
    const auto& held = committed_.try_emplace(owner.version, value.document()).first->second;
    if (held != value.document()) slips_.push_back("two documents as version " + std::to_string(owner.version));
  };
}

std::size_t OrderSenders::add(Order order) {
  orders_.push_back(std::move(order));
  return orders_.size() - 1;
}

/// An operator goes back: the content of an earlier order on the number that it knows now.
std::optional<Order> OrderSenders::older_order() {
  if (orders_.empty()) return std::nullopt;
  auto order = orders_[world_.chance.below(orders_.size())];
  order.base = known_.number;
  if (!dialect_) order.number = order.base + 1;
  if (std::ranges::find(orders_, order) != orders_.end()) return std::nullopt;
  return order;
}

Order OrderSenders::next_order() {
  auto& chance = world_.chance;
  const auto turn = std::to_string(orders_.size());
  Order order;
  if (chance.happens(0.1))
    if (auto older = older_order()) return *std::move(older);
  order.base = known_.number;
  order.number = dialect_ ? order.base + 1 + chance.below(3) : order.base + 1;
  order.amends = order.base != 0 && chance.happens(0.6);
  order.routes = {"o" + turn};
  if (order.amends && chance.happens(0.3) && known_.routes.size() > 1) order.removed = *known_.routes.begin();
  const bool reused = !orders_.empty() && chance.happens(0.1);
  order.identity = reused ? orders_.back().identity : "c" + turn;
  return order;
}

void OrderSenders::read(const std::function<void()>& then) {
  const auto& node = nodes_[world_.chance.below(nodes_.size())];
  world_.ask(node, read_request(dialect_), [this](const Told& told) {
    if (told.status != 200) return;
    std::uint64_t version = 0;
    for (const auto& header : told.headers)
      if (header.name == "weldsail-version") version = std::stoull("0" + header.value);
    auto config = plain_config(told.body, dialect_, version);
    if (config.number >= known_.number) known_ = std::move(config);
  });
  world_.at(world_.now() + world_.chance.between(50, 300), then);
}

void OrderSenders::send(std::size_t order, int tries, std::function<void()> then) {
  if (tries == 0) return then();
  const auto place = answers_.size();
  answers_.push_back({order, 0, {}});
  const bool lost = world_.chance.happens(answers_lost);
  const auto& node = nodes_[world_.chance.below(nodes_.size())];
  auto ended = std::make_shared<bool>(false);
  const auto go_on = [this, order, tries, then, ended, place] {
    if (std::exchange(*ended, true)) return;
    const auto status = answers_[place].status;
    if (status == 200) known_.number = std::max(known_.number, orders_[order].number);
    if (status >= 200 && status < 500) return then();
    const auto pause = world_.chance.between(20, 400);
    world_.at(world_.now() + pause, [this, order, tries, then] { send(order, tries - 1, then); });
  };
  world_.ask(node, order_request(orders_[order], dialect_), [this, place, lost, ended, go_on](const Told& told) {
    if (lost || *ended) return;
    answers_[place].status = told.whole ? told.status : 0;
    rapidjson::Document answer;
    answer.Parse(told.body.data(), told.body.size());
    if (!answer.HasParseError() && answer.IsObject()) answers_[place].outcome = json_string_at(answer, "/outcome");
    go_on();
  });
  world_.at(world_.now() + patience, go_on);
}

void OrderSenders::work(Moment end) {
  if (world_.now() >= end) return;
  auto& chance = world_.chance;
  const auto again = [this, end] {
    world_.at(world_.now() + world_.chance.between(1, 400), [this, end] { work(end); });
  };
  if (chance.happens(0.2)) return read(again);
  const bool repeat = !orders_.empty() && chance.happens(0.35);
  if (repeat) ++repeats_;
  // Half of the repeats are of the newest order, which another operator may have under way.
  const auto old = chance.happens(0.5) ? orders_.size() - 1 : chance.below(orders_.size());
  send(repeat ? old : add(next_order()), tries_most, again);
}

void OrderSenders::work_until(Moment end) {
  for (std::size_t sender = 0; sender < under_way_most; ++sender) work(end);
}

}  // namespace weldsail::sim
