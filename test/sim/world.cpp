#include "sim/world.hpp"

#include <ctime>

#include "core/eventlane.hpp"

namespace weldsail::sim {
namespace {

std::int64_t processor_nanoseconds() {
  timespec spent{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
  return spent.tv_sec * 1000000000LL + spent.tv_nsec;
}

}  // namespace

void World::add(SimNode node) {
  const auto address = node.address;
  node.offset = chance.between(1, 1000000000);
  if (drift_most > 0) node.drift = drift_most * (static_cast<double>(chance.below(2001)) / 1000 - 1);
  nodes_.emplace(address, std::move(node));
}

void World::start(const std::string& address) {
  auto& node = nodes_.at(address);
  node.state = node.make();
  node.alive = true;
  node.frozen = false;
  ++node.life;
  const auto life = node.life;
  step(node, Started{chance.number(), node.disk});
  at(now_ + chance.between(1, tick), [this, address, life] { tick_node(address, life); });
}

void World::kill(const std::string& address) {
  auto& node = nodes_.at(address);
  if (!node.alive) return;
  node.alive = node.frozen = false;
  ++node.life;
  const auto survives = chance.below(node.unsynced.size() + 1);
  for (std::size_t place = 0; place < survives; ++place)
    for (const auto& [name, bytes] : node.unsynced[place].second) node.disk[name] = bytes;
  node.unsynced.clear();
  node.syncing = false;
  node.inbox.clear();
  if (node.processor) node.processor->queue = {};
  links.clear(address);
  for (auto& [request, told] : std::exchange(node.told, {})) {
    const auto asker = node.askers.find(request);
    if (asker == node.askers.end()) continue;
    told.ended = true;
    told.at = now_;
    asker->second(told);
  }
  node.askers.clear();
}

void World::freeze(const std::string& address) { nodes_.at(address).frozen = nodes_.at(address).alive; }

void World::wake(const std::string& address) {
  auto& node = nodes_.at(address);
  if (!node.frozen) return;
  node.frozen = false;
  node.woken = now_;
  const auto life = node.life;
  for (auto& event : std::exchange(node.inbox, {}))
    if (node.life == life) give(address, life, std::move(event));
  if (node.processor) schedule(node);
}

void World::empty_disk(const std::string& address) {
  auto& node = nodes_.at(address);
  node.disk.clear();
  node.unsynced.clear();
}

void World::leave(const std::string& address) { give(address, nodes_.at(address).life, Leaving{}); }

void World::cut(const std::set<std::string>& left, const std::set<std::string>& right) {
  cuts_.push_back({left, right, true});
}

void World::cut_one_way(const std::set<std::string>& from, const std::set<std::string>& to) {
  cuts_.push_back({from, to, false});
}

void World::heal() { cuts_.clear(); }

bool World::blocked(const std::string& from, const std::string& to) const {
  for (const auto& cut : cuts_)
    if ((cut.from.contains(from) && cut.to.contains(to)) ||
        (cut.both && cut.from.contains(to) && cut.to.contains(from)))
      return true;
  return false;
}

void World::at(Moment when, std::function<void()> action) {
  scheduled_.push({std::max(when, now_), order_++, std::move(action)});
}

void World::run_until(Moment when) {
  while (!scheduled_.empty() && scheduled_.top().when <= when) {
    auto next = scheduled_.top();
    scheduled_.pop();
    now_ = next.when;
    next.action();
  }
  now_ = when;
}

void World::tick_node(const std::string& address, std::uint64_t life) {
  auto& node = nodes_.at(address);
  if (!node.alive || node.life != life) return;
  if (node.processor && !node.frozen) return give(address, life, Ticked{chance.number(), node.tick_took});
  if (!node.frozen) step(node, Ticked{chance.number(), node.tick_took});
  at(now_ + tick, [this, address, life] { tick_node(address, life); });
}

void World::give(const std::string& address, std::uint64_t life, Event event) {
  auto& node = nodes_.at(address);
  if (!node.alive || node.life != life) return;
  if (node.frozen) {
    node.inbox.push_back(std::move(event));
    return;
  }
  if (!node.processor) return step(node, event);
  const auto lane = std::visit([&](const auto& state) { return event_lane(state, event); }, node.state);
  auto& queue = node.processor->queue;
  if (lane == EventLane::first) queue.put_first(std::move(event));
  if (lane == EventLane::urgent) queue.put_urgent(std::move(event));
  if (lane == EventLane::later) queue.put_later(std::move(event), now_);
  schedule(node);
}

std::uint64_t World::ask(const std::string& address, RequestArrived request,
                         std::function<void(const Told&)> answered) {
  auto& node = nodes_.at(address);
  if (!node.alive) {
    Told told;
    told.ended = true;
    told.at = now_;
    answered(told);
    return 0;
  }
  request.request = node.next_request++;
  const auto number = request.request;
  node.askers[number] = std::move(answered);
  node.told[number] = {};
  give(address, node.life, std::move(request));
  return number;
}

const ControlState* World::control(const std::string& address) const {
  return std::get_if<ControlState>(&nodes_.at(address).state);
}

const DataState* World::data(const std::string& address) const {
  return std::get_if<DataState>(&nodes_.at(address).state);
}

void World::step(SimNode& node, const Event& event) {
  ++steps;
  if (stepping) stepping(node, event, local(node));
  const auto life = node.life;
  const auto begun = reduced ? processor_nanoseconds() : 0;
  auto effects = std::visit([&](auto& state) { return reduce(state, event, local(node)); }, node.state);
  if (reduced) reduced(node, processor_nanoseconds() - begun);
  for (const auto& effect : effects) {
    if (node.life != life) return;
    carry_out(node, effect);
  }
  if (stepped) stepped(node);
}

void World::tell(SimNode& node, std::uint64_t request, const std::function<void(Told&)>& change, bool ended) {
  const auto found = node.told.find(request);
  if (found == node.told.end()) return;
  change(found->second);
  if (!ended) return;
  auto told = std::move(found->second);
  told.ended = true;
  told.at = now_;
  node.told.erase(found);
  const auto asker = node.askers.find(request);
  if (asker == node.askers.end()) return;
  auto answered = std::move(asker->second);
  node.askers.erase(asker);
  answered(told);
}

void World::carry_out(SimNode& node, const Effect& effect) {
  if (const auto* item = std::get_if<SendMessage>(&effect)) send(node, *item);
  if (const auto* item = std::get_if<OpenPipe>(&effect)) open(node, *item);
  if (const auto* item = std::get_if<Persist>(&effect)) persist(node, *item);
  if (const auto* item = std::get_if<CancelPipe>(&effect))
    for (auto& [address, back_end] : back_ends) back_end.cancel(node.address, item->pipe);
  if (const auto* item = std::get_if<Answer>(&effect))
    tell(
        node, item->request,
        [&](Told& told) {
          told.status = item->status;
          told.headers = item->headers;
          told.body = item->body;
          told.whole = true;
        },
        true);
  if (const auto* item = std::get_if<AnswerHead>(&effect))
    tell(
        node, item->request,
        [&](Told& told) {
          told.status = item->status;
          told.headers = item->headers;
        },
        false);
  if (const auto* item = std::get_if<AnswerBytes>(&effect))
    tell(
        node, item->request, [&](Told& told) { told.body += item->bytes; }, false);
  if (const auto* item = std::get_if<AnswerEnd>(&effect))
    tell(
        node, item->request, [&](Told& told) { told.whole = item->whole; }, true);
  if (std::holds_alternative<Depart>(effect)) {
    const auto address = node.address;
    at(now_, [this, address] { kill(address); });
  }
}

}  // namespace weldsail::sim
