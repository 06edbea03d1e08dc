#include "sim/simback.hpp"

#include "core/json.hpp"

namespace weldsail::sim {
namespace {

constexpr Moment worker_tick = 10;
constexpr Moment platform_pace = 2000;

}  // namespace

SimBacks::SimBacks(World& world, std::vector<BackPlan> plans, std::string platform, double loads_per_s)
    : world_(world), store_{loads_per_s, {}}, platform_(std::move(platform)) {
  for (auto& plan : plans) {
    const auto address = plan.address;
    workers_.emplace(address, Worker{BackModel(std::move(plan), store_), {}, 1});
    world_.back_ends[address] = {
        [this, address](const std::string& node, std::uint64_t life, const OpenPipe& pipe) {
          open(address, node, life, pipe);
        },
        [this, address](const std::string& node, std::uint64_t pipe) { cancel(address, node, pipe); },
        [this, address] { return !workers_.at(address).model.dead(); }};
  }
  world_.back_ends[platform_] = {
      [this](const std::string& node, std::uint64_t life, const OpenPipe& pipe) { answer_platform(node, life, pipe); },
      [](const std::string&, std::uint64_t) {}, [] { return true; }};
  shown_ = list_text();
  tick();
}

std::vector<std::string> SimBacks::addresses() const {
  std::vector<std::string> result;
  for (const auto& [address, worker] : workers_) result.push_back(address);
  return result;
}

void SimBacks::control(const std::string& worker, const std::string& action) {
  auto& target = workers_.at(worker);
  target.model.control(action, world_.now());
  flush(worker);
  if (action == "kill" || action.starts_with("service:"))
    for (const auto& [request, asked] : std::exchange(target.asked, {}))
      world_.give(asked.node, asked.life, PipeEnded{asked.pipe, false, true, "reset"});
  world_.at(world_.now() + list_lag, [this, list = list_text()] { shown_ = list; });
}

void SimBacks::open(const std::string& address, const std::string& node, std::uint64_t life, const OpenPipe& pipe) {
  auto& worker = workers_.at(address);
  if (worker.model.dead()) {
    world_.give(node, life, PipeEnded{pipe.pipe, false, true, "reset"});
    return;
  }
  const auto request = worker.next++;
  worker.asked[request] = {node, life, pipe.pipe, world_.now()};
  worker.model.take({request, pipe.method, pipe.path, pipe.headers, pipe.body}, world_.now());
  flush(address);
}

void SimBacks::cancel(const std::string& address, const std::string& node, std::uint64_t pipe) {
  auto& worker = workers_.at(address);
  std::erase_if(worker.asked, [&](const auto& item) {
    if (item.second.node != node || item.second.pipe != pipe) return false;
    if (!worker.model.frozen()) worker.model.gone(item.first);
    return true;
  });
}

void SimBacks::deliver(const std::string& address, std::uint64_t request, Event event, bool last) {
  auto& worker = workers_.at(address);
  const auto found = worker.asked.find(request);
  if (found == worker.asked.end()) return;
  auto& asked = found->second;
  asked.last = std::max(asked.last, world_.now() + world_.chance.between(0, world_.delay_most));
  world_.at(asked.last, [this, address, node = asked.node, life = asked.life, event = std::move(event)] {
    if (!world_.blocked(address, node)) world_.give(node, life, event);
  });
  if (last) worker.asked.erase(found);
}

void SimBacks::flush(const std::string& address) {
  auto& worker = workers_.at(address);
  for (auto& effect : worker.model.effects()) {
    const auto pipe_of = [&](std::uint64_t request) {
      const auto found = worker.asked.find(request);
      return found == worker.asked.end() ? 0 : found->second.pipe;
    };
    if (const auto* item = std::get_if<Answer>(&effect)) {
      const auto pipe = pipe_of(item->request);
      deliver(address, item->request, PipeHead{pipe, item->status, item->headers}, false);
      deliver(address, item->request, PipeBytes{pipe, item->body}, false);
      deliver(address, item->request, PipeEnded{pipe, true, true, {}}, true);
    }
    if (const auto* item = std::get_if<AnswerHead>(&effect))
      deliver(address, item->request, PipeHead{pipe_of(item->request), item->status, item->headers}, false);
    if (const auto* item = std::get_if<AnswerBytes>(&effect))
      deliver(address, item->request, PipeBytes{pipe_of(item->request), item->bytes}, false);
    if (const auto* item = std::get_if<AnswerEnd>(&effect))
      deliver(address, item->request, PipeEnded{pipe_of(item->request), item->whole, true, "ended"}, true);
  }
}

void SimBacks::tick() {
  for (auto& [address, worker] : workers_) {
    worker.model.tick(world_.now());
    flush(address);
  }
  world_.at(world_.now() + worker_tick, [this] { tick(); });
}

std::string SimBacks::list_text() const {
  JsonText text;
  text.object().key("workers").array();
  for (const auto& [address, worker] : workers_)
    if (!worker.model.dead())
      text.object().field("address", address).field("service", worker.model.plan().service).close();
  text.end().close();
  return text.text();
}

void SimBacks::answer_platform(const std::string& node, std::uint64_t life, const OpenPipe& pipe) {
  const bool fast = world_.now() - last_ask_ < platform_pace;
  if (fast)
    ++asked_too_fast_;
  else
    last_ask_ = world_.now();
  const std::vector<Header> headers{{"retry-after", "2"}};
  world_.give(node, life, PipeHead{pipe.pipe, fast ? 429 : 200, headers});
  world_.give(node, life, PipeBytes{pipe.pipe, fast ? "{}" : shown_});
  world_.give(node, life, PipeEnded{pipe.pipe, true, true, {}});
}

}  // namespace weldsail::sim
