#include "tools/load.hpp"

#include <algorithm>
#include <cmath>

#include "core/json.hpp"

namespace weldsail {
namespace {

constexpr Moment longest_answer = 90000;
constexpr int moves_most = 5;

}  // namespace

double percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::ranges::sort(values);
  const auto place = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
  return values[std::max<std::size_t>(place, 1) - 1];
}

Load::Load(Loop& loop, LoadPlan plan) : client_(loop), plan_(std::move(plan)), random_(plan_.seed) {
  client_.told.connect([this](const Event& event) { take(event); });
}

bool Load::tick(Moment now) {
  if (begun_ == 0) begun_ = now;
  client_.sweep(now);
  const auto passed = static_cast<double>(std::min(now - begun_, plan_.length_ms)) / 1000;
  while (!plan_.streams.empty() && static_cast<double>(streams_) < passed * plan_.streams_per_s) {
    ++streams_;
    begin(false, now);
  }
  while (!plan_.calls.empty() && static_cast<double>(calls_) < passed * plan_.calls_per_s) {
    ++calls_;
    begin(true, now);
  }
  return now - begun_ < plan_.length_ms || !open_.empty();
}

void Load::begin(bool call, Moment now) {
  const auto& routes = call ? plan_.calls : plan_.streams;
  const auto chosen = random_() % routes.size();
  const auto place = call ? chosen : std::min(chosen, static_cast<std::size_t>(random_() % routes.size()));
  const auto pipe = next_++;
  auto& open = open_[pipe];
  open.call = call;
  open.begun = now;
  open.caller = "l" + std::to_string(plan_.seed) + "-" + std::to_string(pipe);
  JsonText body;
  body.object().field("caller", open.caller);
  if (!call) {
    const auto shared = routes[place] + std::string(plan_.shared_bytes, static_cast<char>('a' + place % 26));
    body.field("prompt", shared + open.caller).number("max_tokens", plan_.pieces);
  }
  body.close();
  open.path = routes[place];
  open.asked = body.text();
  send(pipe, open, now);
}

void Load::send(std::uint64_t pipe, const Open& open, Moment now) {
  client_.open({pipe,
                plan_.nodes[random_() % plan_.nodes.size()],
                "POST",
                open.path,
                {{"content-type", "application/json"}},
                open.asked,
                false,
                now + longest_answer});
}

void Load::take(const Event& event) {
  const auto find = [&](std::uint64_t pipe) { return open_.find(pipe); };
  if (const auto* head = std::get_if<PipeHead>(&event))
    if (const auto found = find(head->pipe); found != open_.end()) found->second.status = head->status;
  if (const auto* bytes = std::get_if<PipeBytes>(&event))
    if (const auto found = find(bytes->pipe); found != open_.end()) {
      auto& open = found->second;
      if (!open.first && !open.call && open.status == 200)
        figures.first_piece_ms.push_back(static_cast<double>(monotonic_now() - open.begun));
      open.first = true;
      open.body += bytes->bytes;
    }
  if (const auto* ended = std::get_if<PipeEnded>(&event))
    if (const auto found = find(ended->pipe); found != open_.end()) {
      auto open = std::move(found->second);
      open_.erase(found);
      if (!ended->sent && open.moves++ < moves_most) {
        const auto pipe = next_++;
        open_[pipe] = open;
        send(pipe, open, monotonic_now());
        return;
      }
      end(open, ended->whole);
    }
}

void Load::end(const Open& open, bool whole) {
  if (open.call && whole && open.status == 200) {
    figures.call_ms.push_back(static_cast<double>(monotonic_now() - open.begun));
    if (open.body.find("\"granted\":\"" + open.caller + "\"") == std::string::npos) ++figures.faults;
    ++figures.outcomes["whole"];
    return;
  }
  if (open.status == 200) {
    const auto last = "\"final\":true,\"pieces\":" + std::to_string(plan_.pieces);
    const bool final_seen = open.body.find(last) != std::string::npos;
    for (std::uint64_t piece = 0; final_seen && piece < plan_.pieces; ++piece)
      if (open.body.find("\"text\":\"" + open.caller + ":" + std::to_string(piece) + "\"") == std::string::npos)
        ++figures.faults;
    ++figures.outcomes[final_seen && whole ? "whole" : "broken"];
    return;
  }
  rapidjson::Document answer;
  answer.Parse(open.body.data(), open.body.size());
  const bool read = whole && !answer.HasParseError() && answer.IsObject();
  ++figures.outcomes[read ? json_string_at(answer, "/outcome", "other") : "none"];
}

}  // namespace weldsail
