#include <algorithm>

#include "core/consensus/duty.hpp"
#include "sim/latenews.hpp"
#include "sim/scenarios.hpp"

/// What befalls the nodes of the late news scenario, and the judge of what data nodes did.
namespace weldsail::sim {

std::string LateNewsWorld::owner() const {
  for (const auto& address : controls) {
    const auto* state = world.control(address);
    if (state != nullptr && state->owners.at(config_key).phase == OwnerPhase::holding) return address;
  }
  return controls.front();
}

void LateNewsWorld::trouble() {
  if (world.now() >= end_) return;
  world.at(world.now() + world.chance.between(bound_ / 2, 4 * bound_), [this] { trouble(); });
  const auto lasts = world.chance.between(bound_ / 4, 3 * bound_);
  if (world.chance.happens(0.7))
    trouble_data(datas[world.chance.below(datas.size())], lasts);
  else if (world.now() >= core_calm_at_)
    trouble_core(lasts);
}

void LateNewsWorld::trouble_data(const std::string& address, Moment lasts) {
  const auto until = world.now() + lasts;
  const std::set<std::string> all(controls.begin(), controls.end());
  auto others = all;
  others.insert(datas.begin(), datas.end());
  others.erase(address);
  Moment late = 0;
  switch (world.chance.below(5)) {
    case 0:
      late = world.chance.between(100, 2 * bound_);
      news_late_[address] = {until, late};
      break;
    case 1: world.cut({address}, all); break;
    case 2: world.cut_one_way(all, {address}); break;
    case 3: world.cut_one_way({address}, all); break;
    default: world.cut({address}, others); cut_until_[address] = until;
  }
  data_calm_at_ = std::max(data_calm_at_, until + late + bound_);
  // Where only news is late, the node hears of newer versions all the same, and is held to them.
  if (late != 0) return;
  calm_at_[address] = std::max(calm_at_[address], until + bound_);
  world.at(until, [this] { world.heal(); });
}

void LateNewsWorld::trouble_core(Moment lasts) {
  const auto address = owner();
  const auto until = world.now() + lasts;
  core_calm_at_ = until + 2 * bound_;
  std::set<std::string> others(controls.begin(), controls.end());
  others.erase(address);
  switch (world.chance.below(4)) {
    case 0:
      world.kill(address);
      world.at(until, [this, address] { world.start(address); });
      break;
    case 1:
      world.freeze(address);
      world.at(until, [this, address] { world.wake(address); });
      break;
    case 2:
      world.cut({address}, others);
      world.at(until, [this] { world.heal(); });
      break;
    default: world.loss = 0.2; world.at(until, [this] { world.loss = 0; });
  }
}

std::size_t LateNewsWorld::oldest_allowed(Moment sent_at) const {
  std::size_t oldest = 0;
  for (std::size_t place = 0; place < sent.size(); ++place)
    if (sent[place].acknowledged && *sent[place].acknowledged + adopt_ < sent_at) oldest = place;
  return oldest;
}

std::optional<std::string> LateNewsWorld::fault_of(const JudgedRequest& request) const {
  const auto end = request.answered == 0 ? world.now() : request.answered;
  const auto allowed = [&](std::size_t oldest, const auto& test) {
    for (auto place = oldest; place < sent.size(); ++place)
      if (sent[place].sent <= end && test(sent[place].config)) return true;
    return false;
  };
  const auto oldest = oldest_allowed(request.sent);
  const bool refused = request.status >= 400 && request.status < 500;
  if (refused && request.ran) return "refused, though it ran";
  // Whatever befell the node: it may say so only where that is proved.
  if (request.status == 404 &&
      !allowed(oldest, [&](const PlainConfig& config) { return !config.routes.contains(request.prefix); }))
    return "404 as an older version says";
  if (request.status == 401 && !allowed(oldest, [&](const PlainConfig& config) {
        return config.routes.contains(request.prefix) && !config.keys.contains(request.key);
      }))
    return "401 as an older version says";
  if (refused && request.status != 404 && request.status != 401)
    return "refused with " + std::to_string(request.status);
  if (!request.ran) return std::nullopt;
  const auto runs = [&](const PlainConfig& config) {
    const auto route = config.routes.find(request.prefix);
    const auto key = config.keys.find(request.key);
    return route != config.routes.end() && key != config.keys.end() && route->second == request.ran->first &&
           key->second == request.ran->second;
  };
  if (!allowed(0, runs)) return "run as no version says, for " + request.ran->first + " and " + request.ran->second;
  if (request.in_touch && !allowed(oldest, runs)) return "run as an older version says";
  return std::nullopt;
}

std::vector<std::string> LateNewsWorld::faults() const {
  std::vector<std::string> found;
  for (const auto& request : requests)
    if (const auto fault = fault_of(request))
      found.push_back(request.prefix + " with key " + request.key + " sent to " + request.node + " at " +
                      std::to_string(request.sent) + ": " + *fault);
  if (unproved_in_calm > 0) found.push_back(std::to_string(unproved_in_calm) + " refusals unproved in calm");
  for (const auto& change : sent)
    if (!change.acknowledged)
      found.push_back("revision " + std::to_string(change.config.revision) + " was never acknowledged");
  return found;
}

ScenarioResult run_late_news(std::uint64_t seed) {
  const bool longer = seed % 2 == 0;
  constexpr std::size_t large = 400;
  LateNewsWorld world(seed, longer ? 4000 : 3000, longer ? 2500 : 2000, seed % 3 == 0 ? large : 0);
  world.begin();
  world.work_until(world.world.now() + 40000, seed % 8 == 7);
  ScenarioResult result;
  result.faults = world.faults();
  double refused = 0;
  double unproved = 0;
  double ran = 0;
  double cut = 0;
  double cut_served = 0;
  for (const auto& request : world.requests) {
    refused += request.status == 404 || request.status == 401 ? 1 : 0;
    unproved += request.status == 503 ? 1 : 0;
    ran += request.ran ? 1 : 0;
    const bool lasting = request.cut_off && request.prefix == "/stay/" && request.key == "stay";
    cut += lasting ? 1 : 0;
    cut_served += lasting && request.ran ? 1 : 0;
  }
  if (ran < 100 || refused < 100) result.faults.emplace_back("too little was run or refused to judge");
  result.figures = {{"changes", static_cast<double>(world.sent.size())},
                    {"ran", ran},
                    {"refused", refused},
                    {"answered_503", unproved},
                    {"asked_cut_off", cut},
                    {"served_cut_off", cut_served}};
  return result;
}

}  // namespace weldsail::sim
