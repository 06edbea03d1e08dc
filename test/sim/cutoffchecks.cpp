#include <algorithm>

#include "sim/cutoff.hpp"

/// What processes tell one another and what they hold, against the plain record of what was acknowledged when.
namespace weldsail::sim {
namespace {

constexpr Moment bound = 3000;
constexpr Moment started_within = 4000;
constexpr Moment proves_within = 2000;
constexpr Moment second = 1000;

std::uint64_t config_version(const wire::News& news) {
  for (const auto& value : news.values())
    if (value.key() == config_key) return value.version();
  return 0;
}

}  // namespace

/// Proved to be the newest as of a moment: nothing newer was acknowledged before it.
void CutWorld::check_claim(const std::string& who, std::uint64_t version, Moment as_of) {
  const auto newest = newest_version(as_of);
  if (version < newest)
    fault(who + " claims that " + std::to_string(version) + " was the newest at " + std::to_string(as_of) + ", but " +
          std::to_string(newest) + " was");
}

void CutWorld::watch_sent(const SimNode& node, const SendMessage& message) {
  const bool control = std::holds_alternative<ControlState>(node.state);
  const auto& envelope = message.envelope;
  if (!control && envelope.has_news_ask() && !envelope.news_ask().first() && node.address != message.address)
    asks_[message.address].push_back(world.now());
  if (!control || !envelope.has_news() || envelope.news().accepted_size() > 0) return;
  const auto& news = envelope.news();
  const auto version = config_version(news);
  const auto restarted = restarted_.find(node.address);
  if (!news.majority_met()) {
    const bool starting =
        world.now() < started_within ||
        (restarted != restarted_.end() && (wholly_cut(node.address, restarted->second) ||
                                           world.now() - std::max(restarted->second, healed_at_) < proves_within));
    if (version != 0 && !starting) fault(node.address + " hands out " + std::to_string(version) + " without an age");
    return;
  }
  const auto as_of = world.now() - static_cast<Moment>(news.majority_age_ms());
  if (version != 0) check_claim(node.address + "'s news", version, as_of);
  if (!wholly_cut(node.address, world.now())) return;
  if (as_of > *cut_since_)
    fault(node.address + ", cut off, claims contact with a majority " + std::to_string(as_of - *cut_since_) +
          " ms after the cut");
  if (restarted != restarted_.end()) fault(node.address + ", restarted in the cut, claims contact with a majority");
}

void CutWorld::watch_step(const SimNode& node) {
  if (const auto* control = std::get_if<ControlState>(&node.state)) {
    const auto& owner = control->owners.at(config_key);
    if (owner.phase != OwnerPhase::holding || held_epoch_[node.address] == owner.epoch) return;
    held_epoch_[node.address] = owner.epoch;
    if (owner.version < newest_version(world.now()))
      fault(node.address + " leads with " + std::to_string(owner.version) + ", but " +
            std::to_string(newest_version(world.now())) + " was acknowledged");
    return;
  }
  const auto& data = std::get<DataState>(node.state);
  const auto value = data.news.values.find(config_key);
  const auto known = value == data.news.values.end() ? 0 : value->second.version();
  if (data.news.current_as_of && as_of_[node.address] != *data.news.current_as_of) {
    as_of_[node.address] = *data.news.current_as_of;
    check_claim(node.address, known, *data.news.current_as_of - node.offset);
  }
  auto& version = in_force_[node.address];
  if (data.document_version < version) fault(node.address + " went back to " + std::to_string(data.document_version));
  for (auto next = version + 1; next <= data.document_version; ++next)
    in_force_at_[node.address].try_emplace(next, world.now());
  version = data.document_version;
}

void CutWorld::check_in_force() {
  for (const auto& change : changes_) {
    if (!change.acknowledged) continue;
    for (const auto& address : datas) {
      const auto& node = in_force_at_[address];
      const auto found = node.find(change.version);
      const auto late = found == node.end() ? bound * 1000 : std::max<Moment>(0, found->second - *change.acknowledged);
      in_force_most = std::max(in_force_most, late);
      if (late > bound)
        fault(address + " had version " + std::to_string(change.version) + ", acknowledged at " +
              std::to_string(*change.acknowledged) + ", in force " +
              (found == node.end() ? "never" : std::to_string(late) + " ms later"));
    }
  }
  for (const auto& [address, times] : asks_)
    for (auto first = times.begin(), last = times.begin(); last != times.end(); ++last) {
      while (*last - *first >= second) ++first;
      if (cut_since_ && *first >= *cut_since_)
        asks_most = std::max(asks_most, static_cast<double>(last - first + 1) / static_cast<double>(datas.size()));
    }
}

void CutWorld::check_end() {
  if (acknowledged_in_cut == 0) fault("the majority took no change in the cut");
  std::size_t answered = 0;
  for (const auto& address : controls) {
    RequestArrived request{0, "GET", plan.platform ? "/api/configuration/read" : "/v1/config", {}, {}};
    world.ask(address, std::move(request), [&](const Told& told) { answered += told.status == 200 ? 1 : 0; });
    read(address);
  }
  world.run_until(world.now() + second + 1);
  if (answered != controls.size()) fault("only " + std::to_string(answered) + " processes answer a read after the cut");
}

}  // namespace weldsail::sim
