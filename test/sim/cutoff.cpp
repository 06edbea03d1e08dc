#include "sim/cutoff.hpp"

#include <algorithm>

#include "platform/dialect.hpp"

namespace weldsail::sim {
namespace {

constexpr Moment bound = 3000;
constexpr Moment begin_work = 4000;
constexpr Moment cut_at = 9000;
constexpr Moment cut_length = 20000;
constexpr Moment end_work = 40000;
constexpr Moment end = 46000;

std::vector<std::string> first_three(const std::vector<std::string>& names) {
  return {names.begin(), names.begin() + 3};
}

}  // namespace

CutWorld::CutWorld(std::uint64_t seed, const CutPlan& chosen) : world(seed), plan(chosen) {
  world.delay_most = 1 + static_cast<Moment>(world.chance.below(4));
  for (std::size_t place = 1; place <= plan.controls; ++place) controls.push_back("c" + std::to_string(place));
  for (std::size_t place = 1; place <= plan.datas; ++place) datas.push_back("d" + std::to_string(place));
  for (const auto& address : controls) add_control(address);
  for (const auto& address : datas) add_data(address);
  world.sent = [this](const SimNode& node, const SendMessage& message, std::size_t) { watch_sent(node, message); };
  world.stepped = [this](SimNode& node) { watch_step(node); };
}

void CutWorld::add_control(const std::string& address) {
  SimNode node;
  node.address = address;
  node.locality = "z" + address;
  node.has_disk = true;
  node.sync_most = 4 + static_cast<Moment>(world.chance.below(40));
  world.add(std::move(node));
  tell(address, first_three(controls), true);
}

void CutWorld::add_data(const std::string& address) {
  SimNode node;
  node.address = address;
  node.locality = "z" + std::to_string(datas.size() % 3);
  DataOptions options;
  options.member = {Program::data, address, address, node.locality, first_three(controls), bound};
  if (plan.platform) options.dialect = &platform_dialect();
  node.make = [options] { return make_data(options); };
  world.add(std::move(node));
}

void CutWorld::tell(const std::string& address, const std::vector<std::string>& seeds, bool first) {
  ControlOptions options;
  options.member = {Program::control, address, address, "z" + address, seeds, bound};
  options.core_size = 0;
  if (first) options.founders = seeds;
  options.core_target = static_cast<std::uint32_t>(plan.controls);
  if (plan.platform) options.dialect = &platform_dialect();
  world.node(address).make = [options] { return make_control(options); };
}

std::string CutWorld::owner() const {
  for (const auto& address : controls) {
    const auto* state = world.control(address);
    if (state->owners.at(config_key).phase == OwnerPhase::holding) return address;
  }
  return {};
}

void CutWorld::begin_cut() {
  cut_since_ = world.now();
  const auto holder = owner();
  if (holder.empty()) fault("nobody owns the configuration before the cut");
  if (plan.owner) cut.insert(holder);
  for (const auto& address : controls)
    if (cut.size() < plan.cut && address != holder) cut.insert(address);
  std::set<std::string> majority;
  for (const auto& address : controls)
    if (!cut.contains(address)) majority.insert(address);
  const std::set<std::string> all(datas.begin(), datas.end());
  const std::set<std::string> but_first(std::next(datas.begin()), datas.end());
  auto beyond = majority;
  if (plan.datas_cut == CutPlan::Datas::lose_cut) beyond.insert(all.begin(), all.end());
  if (plan.direction == CutPlan::Direction::both) world.cut(cut, beyond);
  if (plan.direction == CutPlan::Direction::outgoing) world.cut_one_way(cut, beyond);
  if (plan.direction == CutPlan::Direction::incoming) world.cut_one_way(beyond, cut);
  if (plan.datas_cut == CutPlan::Datas::lose_majority) world.cut(but_first, majority);
}

void CutWorld::restart_one() {
  const auto address = *std::next(cut.begin(), static_cast<std::ptrdiff_t>(world.chance.below(cut.size())));
  world.kill(address);
  auto seeds = first_three(controls);
  if (plan.other_seeds) seeds = {*cut.rbegin(), datas[0], datas[1]};
  tell(address, seeds, false);
  world.at(world.now() + world.chance.between(0, 2000), [this, address] {
    world.start(address);
    restarted_[address] = world.now();
  });
}

void CutWorld::heal() {
  world.heal();
  healed_at_ = world.now();
}

/// True when the process had no way to and from any majority at any time since then.
bool CutWorld::wholly_cut(const std::string& address, Moment from) const {
  return cut.contains(address) && cut_since_ && from >= *cut_since_ && healed_at_ == 0;
}

void CutWorld::run() {
  for (const auto& address : controls) world.start(address);
  for (const auto& address : datas) world.start(address);
  world.at(begin_work, [this] { operate_until(end_work); });
  world.at(cut_at + world.chance.between(0, 700), [this] { begin_cut(); });
  if (plan.restart) world.at(cut_at + world.chance.between(1500, 12000), [this] { restart_one(); });
  world.at(cut_at + cut_length, [this] { heal(); });
  world.run_until(end);
  check_in_force();
  check_end();
}

void CutWorld::fault(const std::string& what) { faults.push_back(std::to_string(world.now()) + " ms: " + what); }

}  // namespace weldsail::sim
