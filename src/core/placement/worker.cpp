#include "core/placement/worker.hpp"

#include "core/json.hpp"

namespace weldsail {
namespace {

constexpr Moment probes_per_bound = 4;
constexpr std::size_t status_limit = 1U << 20U;

std::optional<WorkerPhase> read_phase(const std::string& name) {
  if (name == "prefill") return WorkerPhase::prefill;
  if (name == "decode") return WorkerPhase::decode;
  if (name == "call") return WorkerPhase::call;
  return std::nullopt;
}

void take_status(WorkerView& view, Moment now, Effects& effects) {
  auto status = view.answer == 200 ? read_worker_status(view.body) : std::nullopt;
  if (!status) return;
  if (!view.status || view.status->instance != status->instance)
    note(effects, "worker.instance",
         {{"worker", view.address}, {"instance", status->instance}, {"service", status->service}});
  if (view.status && view.status->draining != status->draining)
    note(effects, "worker.draining", {{"worker", view.address}, {"draining", status->draining ? "true" : "false"}});
  view.status = std::move(status);
  view.heard = now;
  view.broken_since_heard = 0;
}

/// A status document that is too long is read no further; the worker counts as one that hasn't answered.
void refuse_status(WorkerWatch& watch, WorkerView& view, Effects& effects) {
  effects.push_back(CancelPipe{view.pipe});
  watch.pipes.erase(view.pipe);
  view.pipe = 0;
  view.body.clear();
  ++watch.too_large;
}

}  // namespace

const char* phase_name(WorkerPhase phase) {
  if (phase == WorkerPhase::prefill) return "prefill";
  return phase == WorkerPhase::decode ? "decode" : "call";
}

std::optional<WorkerStatus> read_worker_status(const std::string& bytes) {
  rapidjson::Document document;
  document.Parse<json_strict>(bytes.data(), bytes.size());
  if (document.HasParseError() || !document.IsObject()) return std::nullopt;
  WorkerStatus status;
  status.instance = json_string_at(document, "/instance");
  status.service = json_string_at(document, "/service");
  status.locality = json_string_at(document, "/locality");
  const auto phase = read_phase(json_string_at(document, "/phase"));
  if (status.instance.empty() || status.service.empty() || !phase) return std::nullopt;
  if (!plain_text(status.instance) || !plain_text(status.service) || !plain_text(status.locality)) return std::nullopt;
  status.phase = *phase;
  status.room_mb = static_cast<std::int64_t>(json_count_at(document, "/room_mb"));
  status.slots = std::max<std::uint64_t>(1, json_count_at(document, "/slots"));
  status.running = json_count_at(document, "/running");
  status.waiting = json_count_at(document, "/waiting");
  status.adapter_capacity = json_count_at(document, "/adapter_capacity");
  status.draining = json_bool_at(document, "/draining");
  if (const auto* models = rapidjson::Pointer("/models").Get(document); models != nullptr && models->IsArray())
    for (const auto& item : models->GetArray())
      status.models[json_string_at(item, "/name")] = {json_string_at(item, "/state"),
                                                      static_cast<std::int64_t>(json_count_at(item, "/weights_mb")),
                                                      json_count_at(item, "/running")};
  if (const auto* adapters = rapidjson::Pointer("/adapters").Get(document); adapters != nullptr && adapters->IsArray())
    for (const auto& item : adapters->GetArray())
      status.adapters[json_string_at(item, "/name")] = json_string_at(item, "/state");
  return status;
}

void watch_set(WorkerWatch& watch, const std::map<std::string, std::string>& services, Effects& effects) {
  for (auto item = watch.views.begin(); item != watch.views.end();) {
    const auto found = services.find(item->first);
    if (found != services.end() && found->second == item->second.service) {
      ++item;
      continue;
    }
    if (item->second.pipe != 0) {
      effects.push_back(CancelPipe{item->second.pipe});
      watch.pipes.erase(item->second.pipe);
    }
    item = watch.views.erase(item);
  }
  for (const auto& [address, service] : services) {
    auto& view = watch.views[address];
    view.address = address;
    view.service = service;
  }
}

void watch_tick(WorkerWatch& watch, PipeNumbers& numbers, Moment now, Effects& effects) {
  const auto pace = watch.bound / probes_per_bound;
  for (auto& [address, view] : watch.views) {
    if (view.pipe != 0 || (view.asked != 0 && !view.hurried && now - view.asked < pace)) continue;
    view.hurried = false;
    view.pipe = numbers.take();
    view.asked = now;
    view.body.clear();
    view.answer = 0;
    watch.pipes[view.pipe] = address;
    effects.push_back(OpenPipe{view.pipe, address, "GET", "/v1/status", {}, {}, false, now + pace * 2});
  }
}

std::optional<std::string> watch_pipe(WorkerWatch& watch, const Event& event, Effects& effects) {
  std::optional<std::string> heard;
  const auto find = [&](std::uint64_t pipe) -> WorkerView* {
    const auto found = watch.pipes.find(pipe);
    return found == watch.pipes.end() ? nullptr : &watch.views.at(found->second);
  };
  if (const auto* head = std::get_if<PipeHead>(&event))
    if (auto* view = find(head->pipe)) view->answer = head->status;
  if (const auto* bytes = std::get_if<PipeBytes>(&event))
    if (auto* view = find(bytes->pipe); view != nullptr) {
      if (view->body.size() + bytes->bytes.size() > status_limit)
        refuse_status(watch, *view, effects);
      else
        view->body += bytes->bytes;
    }
  if (const auto* ended = std::get_if<PipeEnded>(&event))
    if (auto* view = find(ended->pipe)) {
      if (!ended->sent && ended->reason != past_due_reason) view->refused = view->asked;
      if (ended->whole) take_status(*view, view->asked, effects);
      if (view->heard == view->asked && ended->whole) heard = view->address;
      watch.pipes.erase(ended->pipe);
      view->pipe = 0;
    }
  return heard;
}

void watch_broken(WorkerWatch& watch, const std::string& address) {
  const auto found = watch.views.find(address);
  if (found != watch.views.end()) ++found->second.broken_since_heard;
}

bool worker_present(const WorkerWatch& watch, const WorkerView& view, Moment now) {
  return view.status && now - view.heard < watch.bound && view.status->service == view.service;
}

bool worker_usable(const WorkerWatch& watch, const WorkerView& view, Moment now) {
  return worker_present(watch, view, now) && view.broken_since_heard == 0 && !view.status->draining;
}

}  // namespace weldsail
