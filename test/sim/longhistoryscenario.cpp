#include "sim/historyoperator.hpp"
#include "sim/scenarios.hpp"

namespace weldsail::sim {
namespace {

constexpr Moment settle = 4000;
constexpr Moment long_end = 900000;
constexpr std::uint64_t history_changes = 620;
/// A member that is back has the newest configuration within this, however many changes it missed.
constexpr Moment catch_up_most = 3000;
/// Calm between two troubles, so that one of the disks is behind at most.
constexpr Moment calm_least = 4000;
/// A lost disk's seat is taken over only after five bounds.
constexpr Moment replaced_after = 30000;

enum class Trouble { down, emptied, frozen, slow, full, hung, all_killed, data_restarted, last };

/// Promises and acceptances that a disk has answered, and must never be below.
struct Answered {
  std::uint64_t promised = 0;
  std::pair<std::uint64_t, std::uint64_t> accepted;
};

/// Watches a fleet with a long history: what returning members know, tell and vote.
class HistoryWatch {
 public:
  explicit HistoryWatch(Fleet& fleet) : operators(fleet), fleet_(fleet) {}
  void begin();
  void returned(const std::string& node);
  void disk_emptied(const std::string& node) { answered_.erase(node); }
  void data_started(const std::string& node) { newest_at_start_[node] = operators.newest(); }

  HistoryOperator operators;
  Moment slowest_return = 0;
  std::uint64_t missed_most = 0;
  std::uint64_t returns_seen = 0;

 private:
  struct Return {
    Moment since;
    std::uint64_t newest;
  };
  void check_votes(const SimNode& node);
  void check_force(const SimNode& node, const DataState& state);
  void check_return(const SimNode& node, const ControlState& state);
  void note_answer(const SimNode& node, const wire::Envelope& envelope);
  Fleet& fleet_;
  std::map<std::string, std::map<std::string, Answered>> answered_;
  std::map<std::string, std::uint64_t> newest_at_start_;
  std::map<std::string, std::uint64_t> in_force_;
  std::map<std::string, Return> returns_;
};

void HistoryWatch::begin() {
  fleet_.world.stepped = [this](SimNode& node) {
    if (const auto* control = std::get_if<ControlState>(&node.state)) {
      check_votes(node);
      check_return(node, *control);
    }
    if (const auto* data = std::get_if<DataState>(&node.state)) check_force(node, *data);
  };
  fleet_.world.sent = [this](const SimNode& node, const SendMessage& effect, std::size_t) {
    note_answer(node, effect.envelope);
  };
}

void HistoryWatch::note_answer(const SimNode& node, const wire::Envelope& envelope) {
  if (envelope.has_promise() && envelope.promise().granted()) {
    auto& answer = answered_[node.address][envelope.promise().key()];
    answer.promised = std::max(answer.promised, envelope.promise().epoch());
  }
  if (envelope.has_accepted() && envelope.accepted().granted()) {
    auto& answer = answered_[node.address][envelope.accepted().key()];
    answer.accepted = std::max(answer.accepted, {envelope.accepted().epoch(), envelope.accepted().version()});
  }
}

void HistoryWatch::check_votes(const SimNode& node) {
  const auto found = answered_.find(node.address);
  if (found == answered_.end()) return;
  const auto& copies = std::get<ControlState>(node.state).acceptor.copies;
  for (const auto& [key, answer] : found->second) {
    const auto copy = copies.find(key);
    const bool kept = copy != copies.end() && copy->second.promised >= answer.promised &&
                      std::pair(copy->second.accepted_epoch, copy->second.version) >= answer.accepted;
    if (kept) continue;
    operators.faults.push_back(node.address + " has forgotten what it answered for " + key);
    answered_.erase(found);
    return;
  }
}

void HistoryWatch::check_force(const SimNode& node, const DataState& state) {
  auto& version = in_force_[node.address];
  if (state.document_version == version || state.document_version == 0) return;
  if (state.document_version < version || state.document_version < newest_at_start_[node.address])
    operators.faults.push_back(node.address + " has older news in force: " + std::to_string(state.document_version));
  version = state.document_version;
  wire::ConfigValue value;
  value.ParseFromString(state.news.values.at(config_key).value());
  operators.check(version, value.document(), "in force");
}

void HistoryWatch::returned(const std::string& node) {
  returns_[node] = {fleet_.world.now(), operators.newest()};
  const auto* state = fleet_.world.control(node);
  // Without changes, which every member hears of, it has to ask.
  operators.pause_until(fleet_.world.now() + catch_up_most + 1000);
  missed_most = std::max(missed_most, operators.newest() - std::min(operators.newest(), state->document_version));
}

void HistoryWatch::check_return(const SimNode& node, const ControlState& state) {
  const auto found = returns_.find(node.address);
  if (found == returns_.end() || !node.alive || node.frozen) return;
  const auto took = fleet_.world.now() - found->second.since;
  const bool caught_up = state.document_version >= found->second.newest;
  if (!caught_up && took <= catch_up_most) return;
  if (!caught_up) operators.faults.push_back(node.address + " isn't caught up after " + std::to_string(took) + " ms");
  slowest_return = std::max(slowest_return, took);
  ++returns_seen;
  returns_.erase(found);
}

/// Troubles on the control nodes of a fleet, one after another.
struct HistoryTroubles {
  Fleet& fleet;
  HistoryWatch& watch;
  Moment end;

  void next() {
    auto& world = fleet.world;
    if (world.now() >= end || watch.operators.accepted() >= history_changes) return;
    const auto node = fleet.controls[world.chance.below(fleet.controls.size())];
    const auto lasts = make(static_cast<Trouble>(world.chance.below(static_cast<std::uint64_t>(Trouble::last))), node);
    world.at(world.now() + lasts + world.chance.between(calm_least, 2 * calm_least), [this] { next(); });
  }

  void start(const std::string& node) {
    fleet.world.start(node);
    if (fleet.world.control(node) != nullptr) watch.returned(node);
  }

  /// The time that the trouble lasts.
  Moment make(Trouble trouble, const std::string& node) {
    auto& world = fleet.world;
    auto lasts = world.chance.between(500, 10000);
    auto& machine = world.node(node);
    switch (trouble) {
      case Trouble::down:
        if (world.chance.happens(0.3)) lasts *= 6;
        world.kill(node);
        world.at(world.now() + lasts, [this, node] { start(node); });
        return lasts;
      case Trouble::emptied:
        world.kill(node);
        world.empty_disk(node);
        watch.disk_emptied(node);
        world.at(world.now() + 500, [this, node] { start(node); });
        return replaced_after;
      case Trouble::frozen:
        world.freeze(node);
        world.at(world.now() + lasts, [this, node] {
          fleet.world.wake(node);
          watch.returned(node);
        });
        return lasts;
      case Trouble::slow:
        machine.sync_most = 500;
        world.at(world.now() + lasts, [&machine, most = fleet.plan.sync_most] { machine.sync_most = most; });
        return lasts;
      case Trouble::full:
        machine.disk_full = true;
        world.at(world.now() + lasts, [&machine] { machine.disk_full = false; });
        // A process that starts with what its full disk has kept.
        if (world.chance.happens(0.5)) restart(node, lasts / 2);
        return lasts;
      case Trouble::hung:
        machine.disk_free_at = world.now() + lasts;
        if (world.chance.happens(0.5)) restart(node, lasts / 2);
        return lasts;
      case Trouble::all_killed:
        for (const auto& address : fleet.controls) restart(address, 0);
        return 2000;
      default: {
        const auto data = fleet.datas[world.chance.below(fleet.datas.size())];
        world.kill(data);
        world.at(world.now() + 1000, [this, data] {
          watch.data_started(data);
          fleet.world.start(data);
        });
        return 1000;
      }
    }
  }

  void restart(const std::string& node, Moment after) {
    fleet.world.at(fleet.world.now() + after, [this, node] {
      fleet.world.kill(node);
      fleet.world.at(fleet.world.now() + 300, [this, node] { start(node); });
    });
  }
};

std::size_t largest_disk(Fleet& fleet) {
  std::size_t largest = 0;
  for (const auto& address : fleet.controls) {
    std::size_t bytes = 0;
    for (const auto& [name, value] : fleet.world.node(address).disk) bytes += name.size() + value.size();
    largest = std::max(largest, bytes);
  }
  return largest;
}

}  // namespace

ScenarioResult run_long_history(std::uint64_t seed) {
  FleetPlan plan;
  plan.control = seed % 2 == 0 ? 3 : 5;
  plan.data = 2;
  plan.model_workers = plan.call_workers = 0;
  Fleet fleet(seed, plan);
  HistoryWatch watch(fleet);
  watch.begin();
  auto& world = fleet.world;
  world.loss = 0.01;
  world.delay_most = 20;
  world.run_until(settle);
  watch.operators.work(history_changes, long_end);
  HistoryTroubles troubles{fleet, watch, long_end - 60000};
  world.at(settle + 2000, [&troubles] { troubles.next(); });
  while (world.now() < long_end && watch.operators.accepted() < history_changes) world.run_until(world.now() + 1000);
  world.run_until(world.now() + 60000);
  auto faults = watch.operators.faults;
  for (const auto& address : fleet.controls)
    if (const auto has = world.control(address)->document_version; has < watch.operators.newest())
      faults.push_back(address + " ends with version " + std::to_string(has));
  ScenarioResult result;
  result.faults = faults;
  if (watch.operators.accepted() < history_changes) result.faults.emplace_back("too few changes were accepted");
  result.figures = {{"accepted", static_cast<double>(watch.operators.accepted())},
                    {"returns", static_cast<double>(watch.returns_seen)},
                    {"slowest_return_ms", static_cast<double>(watch.slowest_return)},
                    {"missed_most", static_cast<double>(watch.missed_most)},
                    {"largest_disk_bytes", static_cast<double>(largest_disk(fleet))}};
  return result;
}

}  // namespace weldsail::sim
