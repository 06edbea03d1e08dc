#include "tools/back.hpp"

#include "core/json.hpp"

namespace weldsail {

BackWorker::BackWorker(Loop& loop, BackPlan plan, BackStore& store) : loop_(loop), model_(std::move(plan), store) {}

Outcome<std::string> BackWorker::listen() {
  server_ = std::make_unique<Server>(loop_, ServerLimits{});
  server_->arrived.connect([this](const RequestArrived& request) {
    model_.take(request, monotonic_now());
    carry_out();
  });
  server_->gone.connect([this](std::uint64_t request) { model_.gone(request); });
  auto listening = server_->listen(model_.plan().address);
  if (listening) model_.moved(*listening);
  return listening;
}

void BackWorker::carry_out() {
  for (const auto& effect : model_.effects()) {
    if (const auto* item = std::get_if<Answer>(&effect)) server_->answer(*item);
    if (const auto* item = std::get_if<AnswerHead>(&effect)) server_->head(*item);
    if (const auto* item = std::get_if<AnswerBytes>(&effect)) server_->bytes(*item);
    if (const auto* item = std::get_if<AnswerEnd>(&effect)) server_->end(*item);
  }
}

void BackWorker::tick(Moment now) {
  server_->sweep(now);
  model_.tick(now);
  carry_out();
}

bool BackWorker::control(const std::string& action) {
  const bool dead = model_.dead();
  const bool done = model_.control(action, monotonic_now());
  carry_out();
  if (model_.dead() && !dead) server_->close();
  if (!model_.dead() && dead) return done && server_->listen(model_.plan().address);
  return done;
}

Back::Back(Loop& loop, PlatformPlan plan, std::vector<BackPlan> workers, double loads_per_s)
    : server_(loop, ServerLimits{}), plan_(std::move(plan)), store_{loads_per_s, {}} {
  for (auto& worker : workers) workers_.push_back(std::make_unique<BackWorker>(loop, std::move(worker), store_));
  server_.arrived.connect([this](const RequestArrived& request) { take(request); });
}

std::error_code Back::listen() {
  for (auto& worker : workers_)
    if (auto listening = worker->listen(); !listening) return listening.error();
  auto listening = server_.listen(plan_.address);
  if (!listening) return listening.error();
  plan_.address = *listening;
  shown_ = list_text();
  return {};
}

std::string Back::list_text() const {
  JsonText text;
  text.object().key("workers").array();
  for (const auto& worker : workers_)
    if (!worker->model().dead())
      text.object()
          .field("address", worker->model().plan().address)
          .field("service", worker->model().plan().service)
          .close();
  text.end().close();
  return text.text();
}

void Back::tick(Moment now) {
  for (auto& worker : workers_) worker->tick(now);
  auto list = list_text();
  if (lists_.empty() ? list != shown_ : list != lists_.back().second) lists_.emplace_back(now, std::move(list));
  while (!lists_.empty() && now - lists_.front().first >= plan_.lag_ms) {
    shown_ = lists_.front().second;
    lists_.pop_front();
  }
}

void Back::take(const RequestArrived& request) {
  if (request.path == "/v1/workers") {
    const auto now = monotonic_now();
    ++asks_;
    if (now - last_ask_ < plan_.pace_ms) {
      ++refused_;
      server_.answer({request.request, 429, {{"retry-after", "1"}}, "{}"});
      return;
    }
    last_ask_ = now;
    server_.answer({request.request, 200, {{"content-type", "application/json"}}, shown_});
  } else if (request.path == "/record") {
    server_.answer({request.request, 200, {{"content-type", "application/json"}}, record_text()});
  } else if (request.path == "/control") {
    rapidjson::Document body;
    body.Parse(request.body.data(), request.body.size());
    bool done = false;
    for (auto& worker : workers_)
      if (worker->model().plan().address == json_string_at(body, "/worker"))
        done = worker->control(json_string_at(body, "/action"));
    server_.answer({request.request, done ? 200 : 400, {}, "{}"});
  } else {
    server_.answer({request.request, 404, {}, "{}"});
  }
}

std::string Back::record_text() const {
  JsonText text;
  text.object().number("asks", asks_).number("asks_refused", refused_).key("pulls").array();
  for (const auto pull : store_.pulls) text.out().Int64(pull);
  text.end().key("workers").array();
  for (const auto& worker : workers_) {
    text.object()
        .field("address", worker->model().plan().address)
        .number("breaches", worker->model().breaches())
        .key("runs")
        .array();
    for (const auto& run : worker->model().runs())
      text.object()
          .field("run", run.run)
          .number("from", run.from)
          .number("pieces", run.pieces)
          .truth("finished", run.finished)
          .close();
    text.end().key("orders").array();
    for (const auto& order : worker->model().orders())
      text.object()
          .number("when", static_cast<std::uint64_t>(order.when))
          .number("epoch", order.epoch)
          .field("path", order.path)
          .field("name", order.name)
          .number("answer", static_cast<std::uint64_t>(order.answer))
          .close();
    text.end().close();
  }
  text.end().close();
  return text.text();
}

std::vector<BackPlan> read_back_plans(const rapidjson::Value& document) {
  std::vector<BackPlan> plans;
  const auto* workers = rapidjson::Pointer("/workers").Get(document);
  if (workers == nullptr || !workers->IsArray()) return plans;
  for (const auto& item : workers->GetArray()) {
    BackPlan plan;
    plan.address = json_string_at(item, "/address");
    plan.instance = json_string_at(item, "/instance", "i-" + plan.address);
    plan.service = json_string_at(item, "/service");
    plan.cell = json_string_at(item, "/cell");
    plan.locality = json_string_at(item, "/locality");
    plan.phase = json_string_at(item, "/phase");
    plan.room_mb = static_cast<std::int64_t>(json_number_at(item, "/room_mb"));
    plan.adapter_capacity = static_cast<std::uint64_t>(json_number_at(item, "/adapter_capacity"));
    plan.slots = static_cast<std::uint64_t>(json_number_at(item, "/slots", 8));
    plan.load_ms = static_cast<Moment>(json_number_at(item, "/load_ms", 1000));
    plan.piece_ms = static_cast<Moment>(json_number_at(item, "/piece_ms", 10));
    plan.prefill_tokens_per_s = json_number_at(item, "/prefill_tokens_per_s", 2000);
    plans.push_back(std::move(plan));
  }
  return plans;
}

Outcome<std::unique_ptr<Back>> read_back(Loop& loop, const std::string& bytes) {
  rapidjson::Document document;
  document.Parse(bytes.data(), bytes.size());
  if (document.HasParseError() || !document.IsObject()) return broke_down(Breakdown::malformed);
  auto plans = read_back_plans(document);
  PlatformPlan platform{json_string_at(document, "/platform/address"),
                        static_cast<Moment>(json_number_at(document, "/platform/pace_ms", 500)),
                        static_cast<Moment>(json_number_at(document, "/platform/lag_ms", 1000))};
  return std::make_unique<Back>(loop, std::move(platform), std::move(plans),
                                json_number_at(document, "/store/loads_per_s", 1));
}

}  // namespace weldsail
