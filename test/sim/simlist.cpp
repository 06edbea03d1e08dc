#include "sim/simworkers.hpp"

namespace weldsail::sim {
namespace {

constexpr Moment shown_pace = 50;

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

}  // namespace

std::string StandIns::models_text(const StandInWorker& worker) const {
  std::string text;
  for (const auto& [model, adapters] : worker.held) {
    std::string names;
    for (const auto& adapter : adapters) names += (names.empty() ? "" : ",") + quoted(adapter);
    text +=
        (text.empty() ? "" : ",") + (R"({"label":)" + quoted(model)) + R"(,"revision":1,"adapters":[)" + names + "]}";
  }
  return text;
}

std::string StandIns::unit_text(const StandInWorker& worker) const {
  return R"({"plant":)" + quoted(plan_.service) + R"(,"address":)" + quoted(worker.address) + R"(,"zone":)" +
         quoted(worker.locality) + R"(,"revision":"v1","capacity":64,"condition":)" +
         quoted(worker.draining ? "draining" : "ready") + R"(,"warmup_ms":0,"phase":"both","models":[)" +
         models_text(worker) + R"(],"ident":)" + quoted(worker.identity) + "}";
}

void StandIns::show() {
  std::vector<std::string> units;
  for (const auto& worker : workers_)
    if (worker.alive) units.push_back(unit_text(worker));
  world_.at(world_.now() + plan_.list_lag, [this, units] { shown_ = units; });
  if (world_.now() <= 1) shown_ = units;
  world_.at(world_.now() + shown_pace, [this] { show(); });
}

void StandIns::answer_list(const std::string& node, std::uint64_t life, const OpenPipe& pipe) {
  ++lists;
  if (list_down) return;
  if (world_.chance.happens(plan_.lists_failed)) return answer(node, life, pipe.pipe, 429, "");
  const auto mark = pipe.path.find("page_token=");
  const auto first = mark == std::string::npos ? 0 : static_cast<std::size_t>(std::stoul(pipe.path.substr(mark + 11)));
  std::string text;
  for (std::size_t place = first; place < std::min(first + plan_.list_page, shown_.size()); ++place)
    text += (text.empty() ? "" : ",") + shown_[place];
  const bool more = first + plan_.list_page < shown_.size();
  answer(node, life, pipe.pipe, 200,
         R"({"units":[)" + text + R"(],"next_token":)" +
             (more ? quoted(std::to_string(first + plan_.list_page)) : "null") + "}");
}

void StandIns::answer(const std::string& node, std::uint64_t life, std::uint64_t pipe, int status, std::string body) {
  world_.at(world_.now() + 1, [this, node, life, pipe, status, body = std::move(body)] {
    world_.give(node, life, PipeHead{pipe, status, {}});
    if (!body.empty()) world_.give(node, life, PipeBytes{pipe, body});
    world_.give(node, life, PipeEnded{pipe, true, true, ""});
  });
}

}  // namespace weldsail::sim
