#include "modelworkers.hpp"

#include <algorithm>

#include "core/operations/operate.hpp"

namespace weldsail::soak {
namespace {

constexpr std::size_t model_places = 2;
constexpr std::size_t adapter_places = 4;
constexpr std::size_t slots = 8;
constexpr std::size_t queue = 24;
constexpr std::size_t localities = 3;
constexpr Moment store_time = 500;
constexpr Moment disk_time = 150;
constexpr Moment adapter_time = 10;
constexpr Moment run_time = 150;
constexpr const char* plant = "generators";

std::string header_of(const RequestArrived& request, const std::string& name) {
  return header_value(request.headers, name);
}

std::size_t adapter_count(const std::map<std::string, std::set<std::string>>& held) {
  std::size_t count = 0;
  for (const auto& [model, names] : held) count += names.size();
  return count;
}

}  // namespace

std::string ModelWorkers::plant_text() {
  std::string text =
      std::string(R"({"label":")") + plant +
      R"(","probe":"/probe","conn_limit":400,"runtime":{"capacity":8,"cache_tokens":100000,"stride":1,)" +
      R"("weights_mb":100000,"adapter_capacity":4,"loads_per_s":8,"models":[)";
  for (std::size_t number = 0; number < models; ++number)
    text += std::string(number == 0 ? "" : ",") + R"({"label":")" + model_name(number) +
            R"(","weights_mb":45000,"load_s":0.5,"adapters":)" + std::to_string(number == 0 ? adapters : 0) +
            R"(,"adapter_mb":10})";
  return text + "]}}";
}

bool ModelWorkers::start(std::size_t workers) {
  for (std::size_t place = 0; place < workers; ++place) {
    auto& worker = *workers_.emplace_back(std::make_unique<Worker>());
    worker.identity = "generator-" + std::to_string(place);
    worker.server = std::make_unique<Server>(loop_, ServerLimits{});
    worker.server->arrived.connect([this, &worker](const RequestArrived& request) { take(worker, request); });
    worker.server->gone.connect([&worker](std::uint64_t request) {
      std::erase_if(worker.running, [&](const Running& item) { return item.request == request; });
    });
    const auto listening = worker.server->listen("127.0.0.1:0");
    if (!listening) return false;
    worker.address = *listening;
    for (std::size_t model = 0; model < model_places; ++model) {
      const auto name = model_name((place * model_places + model) % models);
      worker.held[name];
      worker.disk.insert(name);
    }
  }
  return true;
}

void ModelWorkers::tick(Moment now) {
  for (auto& worker : workers_) {
    worker->server->sweep(now);
    if (worker->order && now >= worker->order->ends) end_order(*worker);
    // Giving may tell that a caller is gone, which takes its item out.
    std::vector<std::uint64_t> due;
    for (const auto& item : worker->running)
      if (now >= item.due) due.push_back(item.request);
    for (const auto request : due) {
      const auto found = std::ranges::find(worker->running, request, &Running::request);
      if (found == worker->running.end()) continue;
      auto item = *found;
      const bool last = give(*worker, item);
      std::erase_if(worker->running, [&](Running& other) {
        if (other.request == request) other = item;
        return last && other.request == request;
      });
    }
  }
}

bool ModelWorkers::give(Worker& worker, Running& item) {
  const std::vector<Header> head{{"x-trial-id", item.trial}, {"x-server-seal", "seal"}};
  if (item.events == 0) {
    worker.server->answer({item.request, 200, head, "answer to " + item.trial});
    return true;
  }
  if (item.given == 0) worker.server->head({item.request, 200, head});
  ++item.given;
  const bool last = item.given == item.events;
  const auto text = last ? "end of " + item.trial : std::string("more");
  worker.server->bytes({item.request, "id: " + std::to_string(item.given) + "\ndata: " + text + "\n\n"});
  if (last) worker.server->end({item.request, true});
  item.due += event_pause;
  return last;
}

void ModelWorkers::take(Worker& worker, const RequestArrived& request) {
  if (request.path == "/probe") return worker.server->answer({request.request, 200, {{"x-unit", worker.identity}}, {}});
  if (header_of(request, "x-expect-unit") != worker.identity)
    return worker.server->answer({request.request, 421, {{"x-not-run", "1"}}, {}});
  if (request.path == "/api/report") return worker.server->answer({request.request, 200, {}, report_text(worker)});
  if (request.path == "/api/order") return take_order(worker, request);
  take_run(worker, request);
}

void ModelWorkers::take_order(Worker& worker, const RequestArrived& request) {
  ++orders_;
  rapidjson::Document body;
  body.Parse(request.body.data(), request.body.size());
  if (body.HasParseError() || !body.IsObject()) return worker.server->answer({request.request, 400, {}, {}});
  const auto* expected = rapidjson::Pointer("/expected").Get(body);
  Order order{json_string_at(body, "/operation") == "load", json_string_at(body, "/model"),
              json_string_at(body, "/adapter"), 0};
  const auto status = begin_order(worker, std::move(order),
                                  expected != nullptr ? std::optional(json_count_at(body, "/expected")) : std::nullopt);
  worker.server->answer({request.request, status, {}, {}});
}

int ModelWorkers::begin_order(Worker& worker, Order order, std::optional<std::uint64_t> expected) {
  if (worker.order || (expected && *expected != worker.sequence)) return 409;
  const auto model = worker.held.find(order.model);
  const bool there = model != worker.held.end() && (order.adapter.empty() || model->second.contains(order.adapter));
  if (there == order.load) return 200;
  if (!order.adapter.empty() && model == worker.held.end()) return 400;
  if (order.load && !has_room(worker, order)) ++over_limit_;
  const bool weights = order.load && order.adapter.empty();
  const bool from_store = weights && !worker.disk.contains(order.model);
  if (from_store) ++store_loads_;
  order.ends = monotonic_now() + (weights ? (from_store ? store_time : disk_time) : adapter_time);
  ++worker.sequence;
  worker.order = std::move(order);
  return 202;
}

bool ModelWorkers::has_room(const Worker& worker, const Order& order) const {
  if (order.adapter.empty()) return worker.held.size() < model_places;
  return adapter_count(worker.held) < adapter_places;
}

void ModelWorkers::end_order(Worker& worker) const {
  const auto order = *worker.order;
  worker.order.reset();
  if (order.load) {
    worker.disk.insert(order.model);
    auto& names = worker.held[order.model];
    if (!order.adapter.empty()) names.insert(order.adapter);
  } else if (order.adapter.empty()) {
    worker.held.erase(order.model);
  } else if (const auto model = worker.held.find(order.model); model != worker.held.end()) {
    model->second.erase(order.adapter);
  }
}

void ModelWorkers::take_run(Worker& worker, const RequestArrived& request) {
  if (!header_of(request, "x-key").empty() || header_of(request, "x-tenant") != tenant) ++wrong_tenants_;
  const auto trial = header_of(request, "x-trial-id");
  const auto asked = header_of(request, "x-model");
  const auto slash = asked.find('/');
  const auto model = worker.held.find(asked.substr(0, slash));
  const auto turn_away = [&](int status) {
    worker.server->answer({request.request, status, {{"x-trial-id", trial}, {"x-not-run", "1"}}, {}});
  };
  const bool there =
      model != worker.held.end() && (slash == std::string::npos || model->second.contains(asked.substr(slash + 1)));
  if (!there) return turn_away(421);
  if (worker.running.size() >= slots + queue) return turn_away(503);
  // Those beyond the slots wait for a place, one run time for each turn.
  const auto turns = static_cast<Moment>(1 + worker.running.size() / slots);
  const auto tokens = header_of(request, "x-tokens");
  const bool streams = request.path.starts_with(stream_prefix);
  const auto events = streams ? std::strtoull(tokens.substr(tokens.find(',') + 1).c_str(), nullptr, 10) : 0;
  worker.running.push_back({request.request, trial, monotonic_now() + turns * run_time, events, 0});
}

void ModelWorkers::write_models(const Worker& worker, JsonText& text) const {
  text.key("models").array();
  for (const auto& [model, names] : worker.held) {
    text.object().field("label", model).number("revision", std::uint64_t{1}).key("adapters").array();
    for (const auto& name : names) text.item(name);
    text.end().close();
  }
  text.end();
}

std::string ModelWorkers::report_text(const Worker& worker) const {
  JsonText text;
  text.object().field("phase", "both").truth("saturated", worker.order.has_value());
  text.number("sequence", worker.sequence).number("queued", std::uint64_t{0}).number("active", worker.running.size());
  write_models(worker, text);
  text.close();
  return text.text();
}

std::string ModelWorkers::list_text() const {
  JsonText text;
  text.object().key("units").array();
  for (std::size_t place = 0; place < workers_.size(); ++place) {
    const auto& worker = *workers_[place];
    text.object().field("ident", worker.identity).field("plant", plant).field("address", worker.address);
    text.field("zone", "z" + std::to_string(place % localities)).number("capacity", slots);
    text.field("condition", "ready").field("phase", "both");
    write_models(worker, text);
    text.close();
  }
  text.end().close();
  return text.text();
}

}  // namespace weldsail::soak
