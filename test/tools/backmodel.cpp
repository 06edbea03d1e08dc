#include "tools/backmodel.hpp"

#include <algorithm>

#include "core/forwarding/prefix.hpp"
#include "core/json.hpp"
#include "core/operations/operate.hpp"

namespace weldsail {
namespace {

constexpr Moment late_after = 3000;

}  // namespace

void BackModel::cut_all() {
  for (const auto& [request, active] : std::exchange(active_, {})) effects_.push_back(AnswerEnd{request, false});
}

bool BackModel::control(const std::string& action, Moment now) {
  static const std::string takes_over = "service:";
  if (action == takes_over) return plan_.service == first_service_ || control(takes_over + first_service_, now);
  if (action == "kill" || action.starts_with(takes_over)) {
    cut_all();
    models_.clear();
    adapters_.clear();
    highest_order_ = {};
    dead_ = action == "kill";
    frozen_ = draining_ = false;
    frozen_requests_.clear();
    taken_over_at_ = now;
    plan_.instance += "." + std::to_string(++births_);
    if (!dead_) plan_.service = action.substr(takes_over.size());
  } else if (action == "revive") {
    dead_ = false;
  } else if (action == "freeze") {
    frozen_ = true;
  } else if (action == "wake") {
    frozen_ = false;
    drained_at_ = now;
    for (const auto& [request, arrived] : std::exchange(frozen_requests_, {})) take(request, arrived, now);
  } else if (action == "drain" || action == "undrain") {
    draining_ = action == "drain";
    drained_at_ = now;
  } else if (action == "cut") {
    cut_all();
  } else if (action == "refuse_unload" || action == "obey_unload") {
    refuse_unload_ = action == "refuse_unload";
  } else if (action == "empty") {
    models_.clear();
    adapters_.clear();
  } else {
    return false;
  }
  return true;
}

void BackModel::refuse(std::uint64_t request, int status, const std::string& code) {
  JsonText text;
  text.object().field("code", code).close();
  effects_.push_back(
      Answer{request, status, {{"content-type", "application/json"}, {"weldsail-not-run", "1"}}, text.text()});
}

void BackModel::take(const RequestArrived& request, Moment arrived, Moment now) {
  if (dead_) {
    effects_.push_back(Answer{request.request, 500, {}, {}});
    return;
  }
  if (frozen_) {
    frozen_requests_.emplace_back(request, arrived);
    return;
  }
  if (request.path == "/v1/status")
    effects_.push_back(Answer{request.request, 200, {{"content-type", "application/json"}}, status_text(now)});
  else if (request.path == "/v1/run")
    take_run(request, now);
  else if (request.method == "POST")
    take_order(request, arrived, now);
  else
    refuse(request.request, 404, "no_such_path");
}

void BackModel::take_run(const RequestArrived& request, Moment now) {
  const auto number = request.request;
  if (draining_ && now - drained_at_ > late_after) ++late_asks_;
  if (header_value(request.headers, "weldsail-service") != plan_.service && now - taken_over_at_ > late_after)
    ++late_asks_;
  if (header_value(request.headers, "weldsail-instance") != plan_.instance ||
      header_value(request.headers, "weldsail-service") != plan_.service)
    return refuse(number, 409, "of_another_worker");
  if (draining_) return refuse(number, 503, "draining");
  rapidjson::Document body;
  body.Parse(request.body.data(), request.body.size());
  const auto caller = body.IsObject() ? json_string_at(body, "/caller") : std::string();
  const auto run = header_value(request.headers, "weldsail-run");
  if (plan_.phase == "call") {
    runs_.push_back({run, caller, plan_.service, {}, now, 0, 0, false, draining_});
    active_[number] = {runs_.size() - 1, 0, 1, now + plan_.piece_ms, {}, true, false, 0};
    return;
  }
  const auto model = header_value(request.headers, "weldsail-model");
  const auto held = models_.find(model);
  if (held == models_.end() || now < held->second.second) return refuse(number, 409, "model_not_held");
  const auto adapter = header_value(request.headers, "weldsail-adapter");
  const auto fitted = adapters_.find(adapter);
  if (!adapter.empty() && (fitted == adapters_.end() || now < fitted->second))
    return refuse(number, 409, "adapter_not_held");
  const auto resume = header_value(request.headers, "weldsail-resume");
  const auto from = resume.empty() ? 0 : std::stoull(resume);
  runs_.push_back({run, caller, plan_.service, model, now, from, from, false, draining_});
  const auto until = static_cast<std::uint64_t>(json_number_at(body, "/max_tokens", 16));
  const auto tokens = json_string_at(body, "/prompt").size() / bytes_per_token;
  Active active{runs_.size() - 1, from, until, 0, model, false, true, tokens};
  active_[number] = active;
  effects_.push_back(AnswerHead{number, 200, {{"content-type", "text/event-stream"}}});
}

void BackModel::take_order(const RequestArrived& request, Moment arrived, Moment now) {
  rapidjson::Document body;
  body.Parse(request.body.data(), request.body.size());
  const auto epoch = body.HasParseError() ? 0 : static_cast<std::uint64_t>(json_number_at(body, "/epoch"));
  const auto name = body.HasParseError() ? std::string() : json_string_at(body, "/name");
  const auto serial = body.HasParseError() ? 0 : static_cast<std::uint64_t>(json_number_at(body, "/serial"));
  int status = 409;
  const bool newer = std::pair(epoch, serial) > highest_order_;
  if (newer && request.path == "/v1/fence") {
    highest_order_ = {epoch, serial};
    status = 200;
  } else if (newer && json_string_at(body, "/instance") == plan_.instance && !name.empty()) {
    highest_order_ = {epoch, serial};
    status = obey(request.path, name, json_string_at(body, "/model"),
                  static_cast<std::int64_t>(json_number_at(body, "/weights_mb")), now);
  }
  orders_.push_back({now, arrived, epoch, request.path, name, status});
  effects_.push_back(Answer{request.request, status, {{"content-type", "application/json"}}, "{}"});
}

int BackModel::obey(const std::string& path, const std::string& name, const std::string& model, std::int64_t weights,
                    Moment now) {
  if (path == "/v1/models/load") {
    std::int64_t taken = weights;
    for (const auto& [held, state] : models_) taken += state.first;
    if (models_.contains(name)) return 200;
    if (taken > plan_.room_mb) ++breaches_;
    if (taken > plan_.room_mb) return 507;
    store_.pulls.push_back(now);
    models_[name] = {weights, now + plan_.load_ms};
    return 200;
  }
  if (path == "/v1/models/unload") {
    if (refuse_unload_) return 500;
    models_.erase(name);
    return 200;
  }
  if (path == "/v1/adapters/load") {
    if (adapters_.contains(name)) return 200;
    if (!models_.contains(model)) return 409;
    if (adapters_.size() >= plan_.adapter_capacity) ++breaches_;
    if (adapters_.size() >= plan_.adapter_capacity) return 507;
    store_.pulls.push_back(now);
    adapters_[name] = now + plan_.load_ms / 4;
    return 200;
  }
  if (path != "/v1/adapters/unload") return 404;
  adapters_.erase(name);
  return 200;
}

void BackModel::advance(std::uint64_t request, Active& active, Moment now) {
  auto& record = runs_[active.record];
  if (active.call) {
    if (now < active.at) return;
    record.finished = true;
    JsonText text;
    text.object().field("run", record.run).field("granted", record.caller).close();
    effects_.push_back(Answer{request, 200, {{"content-type", "application/json"}}, text.text()});
    active.at = -1;
    return;
  }
  while (active.next < active.until && now >= active.at) {
    JsonText text;
    text.object()
        .field("run", record.run)
        .number("piece", active.next)
        .field("text", record.caller + ":" + std::to_string(active.next));
    text.close();
    effects_.push_back(AnswerBytes{request, "data: " + text.text() + "\n\n"});
    record.pieces = ++active.next;
    active.at += plan_.piece_ms;
  }
  if (active.next < active.until) return;
  JsonText text;
  text.object().field("run", record.run).truth("final", true).number("pieces", active.next).close();
  record.finished = true;
  effects_.push_back(AnswerBytes{request, "data: " + text.text() + "\n\n"});
  effects_.push_back(AnswerEnd{request, true});
  active.at = -1;
}

void BackModel::tick(Moment now) {
  if (dead_ || frozen_) return;
  std::uint64_t running = 0;
  for (const auto& [request, active] : active_)
    if (!active.queued) ++running;
  std::vector<std::uint64_t> requests;
  for (const auto& [request, active] : active_) requests.push_back(request);
  for (const auto request : requests) {
    const auto found = active_.find(request);
    if (found == active_.end()) continue;
    auto& active = found->second;
    if (active.queued) {
      if (running >= plan_.slots) continue;
      ++running;
      active.queued = false;
      active.at =
          now + static_cast<Moment>(static_cast<double>(active.prompt_tokens) / plan_.prefill_tokens_per_s * 1000);
    }
    advance(request, active, now);
    if (active.at < 0) active_.erase(request);
  }
}

std::string BackModel::status_text(Moment now) const {
  std::uint64_t waiting = 0;
  for (const auto& [request, active] : active_)
    if (active.queued) ++waiting;
  JsonText text;
  text.object().field("instance", plan_.instance).field("service", plan_.service).field("cell", plan_.cell);
  text.field("locality", plan_.locality).field("phase", plan_.phase);
  text.number("room_mb", static_cast<std::uint64_t>(plan_.room_mb)).number("slots", plan_.slots);
  text.number("adapter_capacity", plan_.adapter_capacity).number("running", active_.size() - waiting);
  text.number("waiting", waiting).truth("draining", draining_).key("models").array();
  for (const auto& [name, state] : models_) {
    const auto runs = std::ranges::count_if(active_, [&](const auto& item) { return item.second.model == name; });
    text.object().field("name", name).number("weights_mb", static_cast<std::uint64_t>(state.first));
    text.field("state", now < state.second ? "loading" : "ready").number("running", static_cast<std::uint64_t>(runs));
    text.close();
  }
  text.end().key("adapters").array();
  for (const auto& [name, ready] : adapters_)
    text.object().field("name", name).field("state", now < ready ? "loading" : "ready").close();
  text.end().close();
  return text.text();
}

}  // namespace weldsail
