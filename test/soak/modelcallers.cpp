#include "modelcallers.hpp"

#include <algorithm>
#include <cstdlib>

#include "core/operations/operate.hpp"
#include "modelworkers.hpp"

namespace weldsail::soak {
namespace {

constexpr Moment pause = 40;
constexpr std::size_t further_tries = 2;
/// One in so many names an adapter of model 0.
constexpr std::size_t adapter_share = 2;
constexpr const char* due_ms = "3000";
constexpr Moment answer_within = 8000;
/// One call in so many asks for a stream of one of the first models.
constexpr std::size_t stream_share = 8;
constexpr std::size_t stream_models = 4;
constexpr std::size_t least_events = 5;
constexpr std::size_t most_events = 150;
constexpr const char* stream_due_ms = "20000";
constexpr Moment stream_within = 25000;
constexpr Moment back_after = 400;
constexpr std::size_t often_tries = 4;
constexpr Moment often_span = 8000;
constexpr const char* host = "generators.example";
constexpr const char* key = "key-of-the-generators";

Moment retry_after(const Reply& reply) {
  const auto value = header_value(reply.headers, "retry-after");
  return value.empty() ? back_after : static_cast<Moment>(std::strtod(value.c_str(), nullptr) * 1000);
}

}  // namespace

std::string ModelCallers::route_text() {
  return std::string(R"({"label":"generate","host":")") + host +
         R"(","path_prefix":"/generate/","plant":"generators","mode":"idempotent","deadline_ms":5000,)" +
         R"("setpoint_ms":500,"trials":2,"pinned":true},{"label":"talk","host":")" + host + R"(","path_prefix":")" +
         ModelWorkers::stream_prefix + R"(","plant":"generators","mode":"stream","deadline_ms":20000,)" +
         R"("setpoint_ms":500,"gap_setpoint_ms":300,"trials":2,"pinned":true})";
}

std::string ModelCallers::tenant_text() {
  return std::string(R"({"label":")") + ModelWorkers::tenant + R"(","credentials":[")" + key + R"("]})";
}

ModelCallers::ModelCallers(FleetView fleet, Asker& asker, Ledger& ledger, const Troubles& troubles, std::uint64_t seed)
    : fleet_(fleet), asker_(asker), ledger_(ledger), troubles_(troubles), random_(seed) {}

void ModelCallers::tick(Moment now) {
  while (!returning_.empty() && returning_.begin()->first <= now) {
    auto call = returning_.begin()->second;
    returning_.erase(returning_.begin());
    if (!stopped_) send(std::move(call));
  }
  if (stopped_ || now < next_) return;
  next_ = now + pause;
  Call call;
  call.model = ModelWorkers::model_name(1 + pick(random_, ModelWorkers::models - 1));
  if (pick(random_, adapter_share) == 0)
    call.model = ModelWorkers::model_name(0) + "/a" + std::to_string(1 + pick(random_, ModelWorkers::adapters));
  if (pick(random_, stream_share) == 0) {
    call.model = ModelWorkers::model_name(1 + pick(random_, stream_models));
    call.events = least_events + pick(random_, most_events - least_events + 1);
  }
  call.further_tries = further_tries;
  send(std::move(call));
}

void ModelCallers::send(Call call) {
  call.process = fleet_.controls() + pick(random_, fleet_.size() - fleet_.controls());
  call.sent = monotonic_now();
  call.trial = "trial-" + std::to_string(++serial_);
  auto& asked = asked_[call.model];
  if (asked.count++ == 0) asked.first = call.sent;
  asked.last = call.sent;
  ++open_;
  const bool streams = call.events != 0;
  asker_.ask({"POST",
              fleet_.child(call.process).callers,
              streams ? std::string(ModelWorkers::stream_prefix) + "x" : "/generate/x",
              {{"host", host},
               {"x-trial-id", call.trial},
               {"x-deadline-ms", streams ? stream_due_ms : due_ms},
               {"x-model", call.model},
               {"x-key", key},
               {"x-tenant", "somebody-else"},
               {"x-tokens", "20," + std::to_string(streams ? call.events : 4)}},
              "{}",
              streams ? stream_within : answer_within},
             [this, call](const Reply& reply) { answered(call, reply); });
}

void ModelCallers::answered(const Call& call, const Reply& reply) {
  --open_;
  const std::string kind = call.events != 0 ? "stream_" : "";
  ++outcomes_[kind + (reply.whole ? std::to_string(reply.status) : "broken_off")];
  judge_cut(call, reply);
  if (reply.whole && reply.status == 200) {
    if (is_right(call, reply))
      asked_[call.model].served = true;
    else
      ledger_.breach("request " + call.trial + " was answered with another's answer: " + reply.body);
    return;
  }
  come_back(call, reply);
}

bool ModelCallers::is_right(const Call& call, const Reply& reply) const {
  if (call.events == 0) return reply.body == "answer to " + call.trial;
  const auto last = "id: " + std::to_string(call.events) + "\ndata: end of " + call.trial + "\n\n";
  return reply.body.ends_with(last);
}

void ModelCallers::judge_cut(const Call& call, const Reply& reply) {
  if (call.events == 0 || reply.whole || reply.status != 200) return;
  if (troubles_.callers_disturbed_since(call.process, call.sent)) return;
  const auto told = troubles_.left_since(call.process, call.sent);
  const auto now = monotonic_now();
  ledger_.breach("stream " + call.trial + " of " + std::to_string(call.events) + " events was cut at " +
                 fleet_.child(call.process).name + " " + std::to_string(now - call.sent) + " ms after it was sent" +
                 (told ? ", " + std::to_string(now - *told) + " ms after the process was told to leave" : ""));
}

void ModelCallers::come_back(const Call& call, const Reply& reply) {
  if (call.further_tries == 0 || stopped_) return;
  auto again = call;
  --again.further_tries;
  returning_.emplace(monotonic_now() + retry_after(reply), std::move(again));
}

ModelCallers::Starved ModelCallers::starved() const {
  Starved result;
  for (const auto& [model, asked] : asked_) {
    if (asked.count < often_tries || asked.last - asked.first < often_span) continue;
    ++result.often;
    if (!asked.served) result.never.push_back(model);
  }
  return result;
}

}  // namespace weldsail::soak
