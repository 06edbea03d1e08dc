#include "sim/modelworld.hpp"

#include <algorithm>

#include "core/membership/rendezvous.hpp"

namespace weldsail::sim::model {
namespace {

constexpr std::uint64_t cluster = 77;
constexpr std::uint64_t first_disk = 101;
constexpr std::uint64_t lives_per_node = 1000;
constexpr const char* config_record = "copy/config";

ControlOptions control_options(std::size_t node) {
  ControlOptions options;
  options.member.address = node_address(node);
  options.core_size = 0;
  return options;
}

wire::Core formed_core(std::size_t disks) {
  wire::Core core;
  core.set_cluster(cluster);
  core.set_version(1);
  core.set_bound(true);
  core.set_formed(true);
  core.set_highest_seat(static_cast<std::uint32_t>(disks));
  for (std::size_t place = 0; place < disks; ++place) {
    auto* disk = core.add_disks();
    disk->set_disk(first_disk + place);
    disk->set_seat(static_cast<std::uint32_t>(place + 1));
  }
  return core;
}

Records first_records(const Plan& plan, std::size_t node) {
  Records records{{"disk", std::to_string(first_disk + node)}};
  if (node < plan.core_disks) records["core"] = formed_core(plan.core_disks).SerializeAsString();
  std::string contacts;
  for (std::size_t other = 0; other < plan.core_disks + plan.spares; ++other) contacts += node_address(other) + "\n";
  records["contacts"] = contacts;
  return records;
}

/// Messages whose loss the model takes for granted: it sets what processes know of each other by itself.
bool outside_model(const wire::Envelope& envelope) {
  if (envelope.has_ping() || envelope.has_counter_report()) return true;
  return envelope.has_news_ask() && envelope.cluster() != 0;
}

void write_records(Process& process, const Persist& persist) {
  for (const auto& [name, bytes] : persist.records) {
    if (bytes.empty())
      process.disk.erase(name);
    else
      process.disk[name] = bytes;
    if (name != config_record) continue;
    wire::RegisterValue copy;
    wire::ConfigValue value;
    process.synced_changes.clear();
    if (!copy.ParseFromString(bytes) || !value.ParseFromString(copy.value())) continue;
    for (const auto& change : value.history()) process.synced_changes.insert(change.id());
  }
}

}  // namespace

std::string node_address(std::size_t node) { return "cp" + std::to_string(node + 1); }

ModelWorld::ModelWorld(std::shared_ptr<const Plan> plan)
    : plan_(std::move(plan)), observations_(std::make_shared<Observations>()) {
  const auto nodes = plan_->core_disks + plan_->spares;
  for (std::size_t node = 0; node < nodes; ++node) {
    Process process;
    process.disk = first_records(*plan_, node);
    processes_.push_back(std::make_shared<Process>(std::move(process)));
  }
  for (std::size_t node = 0; node < nodes; ++node) restart(node, false);
  wire::Envelope news;
  news.set_cluster(cluster);
  *news.mutable_news()->mutable_core() = formed_core(plan_->core_disks);
  for (auto node = plan_->core_disks; node < nodes; ++node) step(edit(node), node, MessageArrived{news});
  for (std::size_t node = 0; node < nodes; ++node) refresh_views(edit(node), node);
  for (std::size_t node = 0; node < nodes; ++node) {
    auto& process = edit(node);
    sync(process, node);
    process.digest = digest_process(process);
  }
}

Process& ModelWorld::edit(std::size_t node) {
  auto copy = std::make_shared<Process>(*processes_[node]);
  auto& process = *copy;
  processes_[node] = std::move(copy);
  return process;
}

Observations& ModelWorld::observe() {
  auto copy = std::make_shared<Observations>(*observations_);
  auto& observations = *copy;
  observations_ = std::move(copy);
  return observations;
}

void ModelWorld::step(Process& process, std::size_t node, const Event& event) {
  std::vector<Event> events{event};
  for (std::size_t place = 0; place < events.size(); ++place) {
    const auto effects = reduce(process.state, Event(events[place]), now_);
    std::vector<wire::Envelope> loopback;
    for (const auto& effect : effects) carry_out(process, node, effect, loopback);
    for (auto& envelope : loopback) events.emplace_back(MessageArrived{std::move(envelope)});
    if (!plan_->sync_at_once) continue;
    for (const auto& persist : std::exchange(process.unsynced, {})) {
      write_records(process, persist);
      events.emplace_back(Persisted{persist.token, true});
    }
  }
}

void ModelWorld::carry_out(Process& process, std::size_t node, const Effect& effect,
                           std::vector<wire::Envelope>& loopback) {
  if (const auto* message = std::get_if<SendMessage>(&effect)) send(node, *message, loopback);
  if (const auto* persist = std::get_if<Persist>(&effect)) process.unsynced.push_back(*persist);
  if (const auto* answer = std::get_if<Answer>(&effect)) observe_answer(*answer);
  if (std::holds_alternative<Depart>(effect)) process.alive = false;
}

void ModelWorld::send(std::size_t from, const SendMessage& effect, std::vector<wire::Envelope>& loopback) {
  if (outside_model(effect.envelope)) return;
  observe_message(effect.envelope);
  if (plan_->lose_news && effect.envelope.has_news() && effect.envelope.news().values_size() > 0) return;
  std::size_t target = 0;
  while (target < processes_.size() && node_address(target) != effect.address) ++target;
  if (target == processes_.size()) return;
  if (target == from && plan_->loopback_at_once) {
    loopback.push_back(effect.envelope);
    return;
  }
  const auto current = processes_[target]->state.member.self.node();
  if (target != from && effect.envelope.to() != 0 && effect.envelope.to() != current) return;
  Digest digest;
  digest.add(from);
  digest.add(target);
  digest.add(effect.envelope.SerializeAsString());
  const auto place =
      std::ranges::lower_bound(network_, digest.value(), {}, [](const auto& item) { return item->identity; });
  if (place != network_.end() && (*place)->identity == digest.value()) return;
  network_.insert(place, std::make_shared<Message>(Message{digest.value(), from, target, effect.envelope}));
}

void ModelWorld::sync(Process& process, std::size_t node) {
  const auto waiting = std::exchange(process.unsynced, {});
  for (const auto& persist : waiting) write_records(process, persist);
  for (const auto& persist : waiting) step(process, node, Persisted{persist.token, true});
}

void ModelWorld::restart(std::size_t node, bool keep_unsynced) {
  auto& process = edit(node);
  if (keep_unsynced)
    for (const auto& persist : process.unsynced) write_records(process, persist);
  process.unsynced.clear();
  process.state = make_control(control_options(node));
  process.alive = true;
  ++process.life;
  std::erase_if(network_, [&](const auto& message) { return message->to == node; });
  step(process, node, Started{(node + 1) * lives_per_node + process.life, process.disk});
  process.digest = digest_process(process);
}

void ModelWorld::empty(std::size_t node) {
  auto& process = edit(node);
  process.disk.clear();
  process.synced_changes.clear();
  process.unsynced.clear();
  restart(node, false);
  auto& fresh = edit(node);
  sync(fresh, node);
  fresh.digest = digest_process(fresh);
}

void ModelWorld::refresh_views(Process& process, std::size_t node) const {
  auto& member = process.state.member;
  for (std::size_t other = 0; other < processes_.size(); ++other) {
    if (other == node || cuts_.contains({other, node})) continue;
    const auto& entry = processes_[other]->state.member.self;
    std::erase_if(member.others, [&](const auto& item) {
      return item.second.entry.address() == entry.address() && item.second.entry.disk() == entry.disk();
    });
    for (auto& [number, view] : member.others)
      if (view.entry.address() == entry.address())
        view.entry.set_state(static_cast<std::uint32_t>(MemberPhase::broken));
    member.others[entry.node()] = {entry, now_, now_};
  }
}

}  // namespace weldsail::sim::model
