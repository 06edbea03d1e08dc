#include "shell/node.hpp"

#include <google/protobuf/stubs/logging.h>

#include <utility>

#include "core/eventkind.hpp"
#include "core/eventlane.hpp"
#include "core/json.hpp"
#include "core/tickpace.hpp"

namespace weldsail {
namespace {

constexpr int aside_door = 1;
/// Milliseconds of work that may wait before the loop looks for urgent events again.
constexpr Moment turn_most = 4;
/// Milliseconds of urgent work before a process that does so looks at its connections again.
constexpr Moment urgent_turn_most = 50;
/// Milliseconds in which a departing process still answers who asks on an open connection.
constexpr Moment farewell = 200;
/// Longest step of the loop in that time.
constexpr int write_pause = 10;
constexpr std::string_view read_kind = "read";
constexpr std::string_view write_kind = "write";

/// What a process that has departed answers: nothing was run, which callers of the product's own interface hear in its
/// words.
template <typename State>
Answer departed_answer(const State& state, std::uint64_t request) {
  Answer answer{request, 503, {{"retry-after", "0.1"}}, {}, true};
  if (!std::is_same_v<State, DataState> || state.options.dialect != nullptr) return answer;
  JsonText text;
  text.object().field("code", "leaving").field("outcome", "not_run").close();
  answer.headers.push_back({"content-type", "application/json"});
  answer.body = text.text();
  return answer;
}

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
/// Clang needs it up to 16.
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

template <typename State>
Node<State>::Node(const Place& place, State state)
    : place_(place),
      state_(std::move(state)),
      messenger_(loop_),
      callers_(loop_, place.limits),
      client_(loop_),
      interrupts_(loop_) {}

template <typename State>
std::error_code Node<State>::start() {
  google::protobuf::SetLogHandler(nullptr);
  Started started{random_number(), {}};
  if (!place_.folder.empty()) {
    disk_.emplace(loop_, place_.folder);
    auto records = disk_->start();
    if (!records) return records.error();
    started.records = std::move(*records);
    disk_->persisted.connect([this](const Persisted& event) { put(event); });
  }
  if (const auto listening = messenger_.listen(place_.peers); !listening) return listening.error();
  if (const auto listening = callers_.listen(place_.callers); !listening) return listening.error();
  if (!place_.aside.empty())
    if (const auto listening = callers_.listen(place_.aside, aside_door); !listening) return listening.error();
  if (!place_.metrics.empty())
    // The process does without: the port is nobody's by right, and nothing else depends on it.
    if (const auto listening = callers_.listen(place_.metrics, metrics_door); !listening)
      log_note({"metrics.unavailable", {{"address", place_.metrics}, {"cause", listening.error().message()}}, true});
  messenger_.arrived.connect([this](wire::Envelope& envelope) { put(MessageArrived{std::move(envelope)}); });
  callers_.arrived.connect([this](const RequestArrived& request) { put(request); });
  callers_.gone.connect([this](std::uint64_t request) { put(RequestGone{request}); });
  client_.told.connect([this](const Event& event) { put(event); });
  interrupts_.raised.connect([this] { put(Leaving{}); });
  interrupts_.hung_up.connect([this] { put(SettingsChanged{}); });
  log_note({"process.start", {{"peers", place_.peers}, {"callers", place_.callers}, {"folder", place_.folder}}, false});
  take(started);
  return {};
}

template <typename State>
void Node<State>::run() {
  while (!departed_) {
    const bool rested = take_turn();
    {
      const Stopwatch watch(costs_, write_kind);
      messenger_.flush();
      loop_.settle();
    }
    const int pause = beat();
    if (!rested)
      step(0);
    else if (!queue_.has_urgent())
      step(queue_.has_later() ? 0 : pause);
  }
  messenger_.flush();
  callers_.close();
  write_out();
  messenger_.close();
  log_note({"process.end", {}, false});
}

template <typename State>
void Node<State>::step(int milliseconds) {
  if (milliseconds > 0) return loop_.step(milliseconds);
  const Stopwatch watch(costs_, read_kind);
  loop_.step(0);
}

template <typename State>
void Node<State>::write_out() {
  callers_.close_after_answers();
  callers_.close_resting();
  const auto begun = monotonic_now();
  const auto busy = [this] { return callers_.writing() || callers_.receiving(); };
  for (auto now = begun; now < begun + farewell || (busy() && now < begun + write_time_); now = monotonic_now()) {
    loop_.step(write_pause);
    // Who still asks on an open pipe hears that nothing was run, and that the pipe ends.
    for (const auto& event : queue_.take_all_urgent())
      if (const auto* request = std::get_if<RequestArrived>(&event))
        callers_.answer(departed_answer(state_, request->request));
  }
}

template <typename State>
void Node<State>::put(Event event) {
  switch (event_lane(state_, event)) {
    case EventLane::first: return queue_.put_first(std::move(event));
    case EventLane::urgent: return queue_.put_urgent(std::move(event));
    case EventLane::later: return queue_.put_later(std::move(event), monotonic_now());
  }
}

template <typename State>
bool Node<State>::take_turn() {
  const auto begun = monotonic_now();
  const bool looks_between = looks_between_urgent(state_);
  do {
    while (!departed_ && queue_.has_urgent()) {
      take(queue_.take_urgent());
      if (looks_between && queue_.has_urgent() && monotonic_now() - begun >= urgent_turn_most) return false;
    }
    if (departed_ || !queue_.has_later()) continue;
    if (const auto event = queue_.take_later(monotonic_now())) take(*event);
  } while (!departed_ && (queue_.has_urgent() || (queue_.has_later() && monotonic_now() - begun < turn_most)));
  return true;
}

template <typename State>
int Node<State>::beat() {
  const auto now = monotonic_now();
  if (now < next_tick_) return static_cast<int>(next_tick_ - now);
  next_tick_ = now + place_.tick;
  client_.sweep(now);
  messenger_.sweep(now);
  callers_.sweep(now);
  note_late(now);
  put(Ticked{random_number(), tick_took_});
  return 0;
}

template <typename State>
void Node<State>::take(const Event& event) {
  const auto* request = std::get_if<RequestArrived>(&event);
  if (request != nullptr && request->path == metrics_path) reduce(state_, observe(), monotonic_now());
  const auto begun = monotonic_now();
  const Stopwatch watch(costs_, event_kind(event));
  auto effects = reduce(state_, event, begun);
  for (auto& effect : effects) carry_out(effect);
  if (!std::holds_alternative<Ticked>(event)) return;
  tick_took_ = monotonic_now() - begun;
  if (paces_ticks(state_)) next_tick_ = std::max(next_tick_, begun + tick_pause(place_.tick, tick_took_));
}

template <typename State>
void Node<State>::send(const SendMessage& effect) {
  if (effect.address == place_.peers) {
    put(MessageArrived{effect.envelope});
    return;
  }
  messenger_.send(effect.address, effect.envelope);
}

template <typename State>
void Node<State>::carry_out(Effect& effect) {
  std::visit(Overloaded{
                 [this](const SendMessage& item) { send(item); },
                 [this](const OpenPipe& item) { client_.open(item); },
                 [this](const CancelPipe& item) { client_.cancel(item.pipe); },
                 [this](const Answer& item) { callers_.answer(item); },
                 [this](const AnswerHead& item) { callers_.head(item); },
                 [this](const AnswerBytes& item) { callers_.bytes(item); },
                 [this](const AnswerEnd& item) { callers_.end(item); },
                 [this](const CloseAfterAnswers&) { callers_.close_after_answers(); },
                 [this](const CloseResting&) { callers_.close_resting(); },
                 [this](const Persist& item) {
                   if (disk_) disk_->persist(item);
                 },
                 [](const Note& item) { log_note(item); },
                 [this](const Depart& item) {
                   departed_ = true;
                   write_time_ = item.write_time;
                 },
             },
             effect);
}

template class Node<ControlState>;
template class Node<DataState>;

}  // namespace weldsail
