#include "sim/delivery.hpp"

#include <algorithm>

#include "core/json.hpp"
#include "platform/dialect.hpp"
#include "sim/messagekind.hpp"

namespace weldsail::sim {
namespace {

constexpr Moment bound = 3000;
/// Operators go on to another process after this.
constexpr Moment answer_within = 1000;
constexpr Moment acknowledged_within = 60000;
constexpr Moment look = 20;
/// Rates of the machines' links, in bytes a millisecond.
constexpr LinkRates control_link{26000, 26000};
constexpr LinkRates data_link{1250, 1250};

std::vector<std::string> first_three(const std::vector<std::string>& names) {
  return {names.begin(), names.begin() + 3};
}

/// The version of a whole document that a message carries, 0 where it carries none.
std::uint64_t whole_version(const wire::Envelope& envelope) {
  for (const auto& value : envelope.news().values())
    if (value.key() == config_key) return value.version();
  return 0;
}

}  // namespace

std::uint64_t most_of(const std::map<std::string, std::uint64_t>& counts) {
  std::uint64_t most = 0;
  for (const auto& [address, bytes] : counts) most = std::max(most, bytes);
  return most;
}

DeliveryWorld::DeliveryWorld(std::uint64_t seed, const DeliveryPlan& chosen) : world(seed), plan(chosen) {
  for (std::size_t place = 1; place <= plan.controls; ++place) controls.push_back("c" + std::to_string(place));
  for (std::size_t place = 1; place <= plan.datas; ++place) datas.push_back("d" + std::to_string(place));
  for (const auto& address : controls) add_control(address);
  for (const auto& address : datas) add_data(address);
  watch();
}

void DeliveryWorld::add_control(const std::string& address) {
  SimNode node;
  node.address = address;
  node.locality = "z" + address;
  node.has_disk = true;
  ControlOptions options;
  options.member = {Program::control, address, address, node.locality, first_three(controls), bound};
  options.core_size = 0;
  options.founders = first_three(controls);
  options.core_target = static_cast<std::uint32_t>(plan.controls);
  options.dialect = &platform_dialect();
  node.make = [options] { return make_control(options); };
  world.add(std::move(node));
  if (plan.links) world.links.limit(address, control_link);
}

void DeliveryWorld::add_data(const std::string& address) {
  SimNode node;
  node.address = address;
  node.locality = "zc" + std::to_string(world.nodes().size() % 3 + 1);
  DataOptions options;
  options.member = {Program::data, address, address, node.locality, first_three(controls), bound};
  options.dialect = &platform_dialect();
  node.make = [options] { return make_data(options); };
  world.add(std::move(node));
  if (plan.links) world.links.limit(address, data_link);
}

void DeliveryWorld::watch() {
  world.sent = [this](const SimNode& node, const SendMessage& message, std::size_t bytes) {
    count(node, message, bytes);
  };
  world.links.queued = [this](const QueuedMessage& message) {
    const bool ping = message.body == wire::Envelope::kPing;
    const bool urgent = ping || message.body == wire::Envelope::kCheck || message.body == wire::Envelope::kChecked;
    if (!urgent || phase_ == DeliveryPhase::forming) return;
    const auto keep_most = [&](double& most, std::string& most_at) {
      if (message.in_front <= most) return;
      most = message.in_front;
      most_at = message_kind(message.body) + (message.side == LinkSide::in ? " to " : " from ") + message.address +
                " at " + std::to_string(world.now());
    };
    keep_most(front_most, front_most_at);
    if (ping && world.data(message.address) != nullptr) keep_most(data_front_most, data_front_most_at);
  };
}

void DeliveryWorld::count(const SimNode& node, const SendMessage& message, std::size_t bytes) {
  if (!world.nodes().contains(message.address)) return;
  const auto body = message.envelope.body_case();
  auto& counted = traffic[phase_];
  const bool to_data = world.data(message.address) != nullptr;
  if (!to_data && world.control(node.address) == nullptr) return;
  const auto& counted_for = to_data ? message.address : node.address;
  (to_data ? counted.to_data : counted.between_controls)[counted_for][message_kind(body)] += bytes;
  if (!may_carry_configuration(body)) return;
  (to_data ? counted.configuration_to_data : counted.configuration_between_controls)[counted_for] += bytes;
  if (const auto version = whole_version(message.envelope); to_data && version != 0)
    ++whole_documents[message.address][version];
}

std::string DeliveryWorld::route(std::size_t place, std::uint64_t mark) const {
  const auto number = std::to_string(place);
  auto text = R"({"label":"route-)" + number + R"(","host":"host-)" + std::to_string(place % 8) +
              R"(.example","path_prefix":"/area-)" + number + R"(/","plant":"p","mode":"idempotent","deadline_ms":)" +
              std::to_string(1000 + mark) + R"(,"note":")";
  if (text.size() + 2 < plan.route_bytes) text.append(plan.route_bytes - text.size() - 2, 'n');
  return text + "\"}";
}

std::string DeliveryWorld::document(std::size_t routes) const {
  auto text = R"({"revision":)" + std::to_string(revision_ + 1) + R"(,"plants":[{"label":"p"}],"route_table":[)";
  for (std::size_t place = 0; place < routes; ++place) text += (place == 0 ? "" : ",") + route(place, 0);
  return text + "]}";
}

std::string DeliveryWorld::amendment() {
  const auto place = world.chance.below(plan.routes);
  return R"({"revision":)" + std::to_string(revision_ + 1) + R"(,"apply":{"route_table":[)" +
         route(place, revision_ + 1) + "]}}";
}

Moment DeliveryWorld::change(const std::string& path, const std::string& body) {
  const auto begun = world.now();
  while (world.now() - begun < acknowledged_within) {
    const auto& address = controls[turn_++ % controls.size()];
    const auto answer = std::make_shared<Told>();
    world.ask(address, {0, "POST", path, {{"x-base-revision", std::to_string(revision_)}}, body},
              [answer](const Told& told) { *answer = told; });
    const auto asked = world.now();
    while (!answer->ended && world.now() - asked < answer_within) world.run_until(world.now() + look);
    if (answer->status == 200) {
      rapidjson::Document parsed;
      parsed.Parse(answer->body.data(), answer->body.size());
      version_ = std::max(version_, static_cast<std::uint64_t>(json_number_at(parsed, "/version")));
      ++revision_;
      return world.now() - begun;
    }
    if (answer->status != 0 && answer->status < 500) {
      fault("a change was refused with " + std::to_string(answer->status) + ": " + answer->body);
      break;
    }
    if (answer->ended) world.run_until(world.now() + look);
  }
  fault("the change to revision " + std::to_string(revision_ + 1) + " isn't acknowledged");
  return world.now() - begun;
}

void DeliveryWorld::change_small() {
  const auto body = amendment();
  change_bytes = std::max(change_bytes, body.size());
  const auto begun = world.now();
  small_acknowledged_most = std::max(small_acknowledged_most, change("/api/configuration/amend", body));
  world.run_until(std::max(world.now(), begun + plan.small_pause));
}

}  // namespace weldsail::sim
