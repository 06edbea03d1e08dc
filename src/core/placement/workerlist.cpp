#include "core/placement/workerlist.hpp"

#include <algorithm>
#include <charconv>

#include "core/json.hpp"

namespace weldsail {
namespace {

constexpr std::size_t list_limit = 8U << 20U;

bool take_list(PlatformState& state, Effects& effects) {
  rapidjson::Document document;
  document.Parse<json_strict>(state.body.data(), state.body.size());
  const auto* workers = document.HasParseError() ? nullptr : rapidjson::Pointer("/workers").Get(document);
  if (workers == nullptr || !workers->IsArray()) {
    note(effects, "platform.malformed", {{"bytes", std::to_string(state.body.size())}}, true);
    return false;
  }
  std::map<std::string, std::string> services;
  for (const auto& item : workers->GetArray()) {
    const auto address = json_string_at(item, "/address");
    const auto service = json_string_at(item, "/service");
    if (!address.empty() && !service.empty() && plain_text(address) && plain_text(service)) services[address] = service;
  }
  state.services = std::move(services);
  state.known = true;
  return true;
}

/// A list that is too long is read no further; the last one stays in use.
bool refuse(PlatformState& state, Effects& effects) {
  effects.push_back(CancelPipe{state.pipe});
  state.pipe = 0;
  state.body.clear();
  ++state.too_large;
  note(effects, "platform.too_large", {{"limit", std::to_string(list_limit)}}, true);
  return false;
}

}  // namespace

void platform_tick(PlatformState& state, PipeNumbers& numbers, Moment now, Effects& effects) {
  if (state.address.empty() || state.pipe != 0 || now < state.next_ask) return;
  state.pipe = numbers.take();
  state.answer = 0;
  state.retry_after = 0;
  state.body.clear();
  state.next_ask = now + state.pace;
  effects.push_back(OpenPipe{state.pipe, state.address, "GET", "/v1/workers", {}, {}, false, now + state.pace});
}

bool platform_pipe(PlatformState& state, const Event& event, Moment now, Effects& effects) {
  if (const auto* head = std::get_if<PipeHead>(&event); head != nullptr && head->pipe == state.pipe) {
    state.answer = head->status;
    for (const auto& header : head->headers)
      if (header.name == "retry-after") {
        Moment seconds = 0;
        std::from_chars(header.value.data(), header.value.data() + header.value.size(), seconds);
        state.retry_after = std::clamp<Moment>(seconds, 0, 3600) * 1000;
      }
  }
  if (const auto* bytes = std::get_if<PipeBytes>(&event); bytes != nullptr && bytes->pipe == state.pipe) {
    if (state.body.size() + bytes->bytes.size() > list_limit) return refuse(state, effects);
    state.body += bytes->bytes;
  }
  const auto* ended = std::get_if<PipeEnded>(&event);
  if (ended == nullptr || ended->pipe != state.pipe || state.pipe == 0) return false;
  state.pipe = 0;
  if (ended->whole && state.answer == 200) return take_list(state, effects);
  if (state.answer == 429) state.next_ask = std::max(state.next_ask, now + std::max(state.retry_after, state.pace));
  note(effects, "platform.unanswered", {{"status", std::to_string(state.answer)}, {"reason", ended->reason}});
  return false;
}

}  // namespace weldsail
