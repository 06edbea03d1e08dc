#pragma once
#include <deque>
#include <functional>
#include <memory>

#include "sim/world.hpp"
#include "unit/pathbench.hpp"

namespace weldsail::unit {

/// Data nodes that carry requests for one model to the same workers, millisecond by millisecond. Callers give a request
/// up after some silence, and come back once after a refusal. It holds counts of requests only.
class Fronts {
 public:
  static constexpr std::size_t default_nodes = 60;
  static constexpr std::uint64_t slots = 32;
  static constexpr std::size_t queue_most = 96;
  static constexpr Moment default_run_time = 1500;
  static constexpr Moment transit = 2;
  static constexpr std::uint64_t events = 5;
  static constexpr Moment tick_pace = 50;
  static constexpr Moment aim = 400;
  /// Silence after which a caller gives up.
  static constexpr Moment patience = 2400;
  /// Requests a second that keep all slots of one worker busy.
  static constexpr double worker_rate = 1000.0 * static_cast<double>(slots) / static_cast<double>(default_run_time);

  /// How many data nodes there are, how long a request runs, and whether workers tell their load.
  struct Form {
    std::size_t nodes = default_nodes;
    Moment run_time = default_run_time;
    bool tells_load = true;
    /// The same for the rate of requests as for its time.
    double rate() const { return 1000.0 * static_cast<double>(slots) / static_cast<double>(run_time); }
  };

  explicit Fronts(std::size_t workers) : Fronts(workers, Form{}) {}
  Fronts(std::size_t workers, const Form& form) : form_(form), nodes(form.nodes), run_time(form.run_time) {
    for (std::size_t node = 0; node < nodes; ++node) add_front(node);
    for (std::size_t place = 0; place < workers; ++place) add_worker();
  }
  Fronts(const Fronts&) = delete;
  Fronts& operator=(const Fronts&) = delete;

  /// One more holder of the model, of which all nodes hear at once.
  void add_worker() {
    const auto identity = "w" + std::to_string(100 + workers_.size());
    auto entry = PathBench::worker(identity, "chat");
    entry.set_slots(slots);
    workers_[identity].entry = std::move(entry);
    std::vector<wire::WorkerEntry> entries;
    for (const auto& [name, worker] : workers_) entries.push_back(worker.entry);
    for (auto& front : fronts_) front->tell(entries, 10 + workers_.size());
  }
  /// Lets requests come at this rate for some time.
  void ask(double per_s, Moment lasts) {
    double due = 0;
    for (const auto until = now_ + lasts; now_ < until; advance())
      for (due += per_s / 1000; due >= 1; due -= 1) {
        ++asked;
        arrive(false);
      }
  }
  /// Lets what is under way end.
  void finish() {
    for (const auto until = now_ + 5 * patience; now_ < until;) advance();
  }

  /// Requests that callers began with; one that was refused comes back once.
  std::size_t asked = 0;
  /// Requests that came to a worker without a free slot while another one had some.
  std::size_t misplaced = 0;
  /// Requests whose answer began within the aim after they came, for the first time or again.
  std::size_t in_time = 0;
  std::size_t in_time_again = 0;
  std::size_t answered = 0;
  std::size_t refused = 0;
  std::size_t given_up = 0;

 private:
  Form form_;
  std::size_t nodes;
  Moment run_time;
  /// One try at a worker.
  struct Run {
    std::size_t front;
    std::uint64_t pipe;
    std::string trial;
    bool operator==(const Run& other) const { return front == other.front && pipe == other.pipe; }
  };
  struct Worker {
    wire::WorkerEntry entry;
    std::vector<Run> running;
    std::deque<Run> waiting;
    bool full() const { return running.size() >= slots; }
  };
  /// A caller's request that has no answer yet.
  struct Caller {
    Moment came;
    bool again;
  };

  void add_front(std::size_t node) {
    fronts_.push_back(std::make_unique<PathBench>());
    auto& member = fronts_.back()->state.member;
    member.self.set_node(1 + node);
    member.self.set_program(static_cast<std::uint32_t>(Program::data));
    for (std::size_t other = 1; other < nodes; ++other) {
      auto& entry = member.others[1000 + other].entry;
      entry.set_program(static_cast<std::uint32_t>(Program::data));
      entry.set_state(static_cast<std::uint32_t>(MemberPhase::alive));
    }
  }

  /// Lets one node do something and takes what follows from it.
  template <typename Action>
  void with_front(std::size_t number, Action action) {
    auto& front = *fronts_[number];
    front.now = start + now_;
    front.effects.clear();
    action(front);
    for (const auto& effect : std::exchange(front.effects, {})) take(number, effect);
  }

  void advance() {
    ++now_;
    while (!later_.empty() && later_.begin()->first <= now_) {
      const auto action = std::move(later_.begin()->second);
      later_.erase(later_.begin());
      action();
    }
    if (now_ % tick_pace != 0) return;
    for (std::size_t front = 0; front < nodes; ++front)
      with_front(front, [](PathBench& bench) { path_tick(bench.state, bench.now, bench.effects); });
  }

  void arrive(bool again) {
    const auto front = static_cast<std::size_t>(chance_.below(nodes));
    RequestArrived event;
    event.request = ++requests_;
    event.method = "POST";
    event.path = event.target = "/chat/x";
    event.authority = "h";
    const auto number = std::to_string(event.request);
    event.headers = {{"x-trial-id", "t" + number},
                     {"x-deadline-ms", "10000"},
                     {"x-model", "m1"},
                     {"x-tokens", "600,250"},
                     {"x-prompt-prefix", "a" + std::to_string(chance_.below(3)) + ":120,b" + number + ":400"}};
    callers_[event.request] = {now_, again};
    with_front(front, [&](PathBench& bench) { path_take(bench.state, event, bench.now, bench.effects); });
    after(patience, [this, front, request = event.request] {
      if (callers_.erase(request) == 0) return;
      ++given_up;
      with_front(front, [&](PathBench& bench) { path_gone(bench.state, request, bench.now, bench.effects); });
    });
  }

  void take(std::size_t front, const Effect& effect) {
    if (const auto* open = std::get_if<OpenPipe>(&effect); open != nullptr && !value_of(*open, "x-expect-unit").empty())
      after(transit, [this, identity = value_of(*open, "x-expect-unit"),
                      run = Run{front, open->pipe, value_of(*open, "x-trial-id")}] { take_run(identity, run); });
    if (const auto* cancel = std::get_if<CancelPipe>(&effect))
      after(transit, [this, run = Run{front, cancel->pipe, {}}] { cut(run); });
    if (const auto* head = std::get_if<AnswerHead>(&effect)) answer_begins(head->request);
    if (const auto* answer = std::get_if<Answer>(&effect)) refuse(*answer);
    if (const auto* end = std::get_if<AnswerEnd>(&effect)) answered += end->whole ? 1 : 0;
  }

  void answer_begins(std::uint64_t request) {
    const auto caller = callers_.find(request);
    if (caller == callers_.end()) return;
    const bool timely = now_ - caller->second.came <= aim;
    (caller->second.again ? in_time_again : in_time) += timely ? 1 : 0;
    callers_.erase(caller);
  }

  void refuse(const Answer& answer) {
    const auto caller = callers_.extract(answer.request);
    if (caller.empty() || answer.status != 503) return;
    ++refused;
    if (caller.mapped().again) return;
    const auto wait = std::stod(header_value(answer.headers, "retry-after"));
    after(static_cast<Moment>(1000 * wait), [this] { arrive(true); });
  }

  void take_run(const std::string& identity, const Run& run) {
    auto& worker = workers_.at(identity);
    if (!worker.full()) return begin(worker, run);
    misplaced += std::ranges::all_of(workers_, [](const auto& item) { return item.second.full(); }) ? 0 : 1;
    if (worker.waiting.size() < queue_most) return worker.waiting.push_back(run);
    tell(run, PipeHead{run.pipe, 503, {{"x-trial-id", run.trial}, {"x-not-run", "1"}}});
    tell(run, PipeEnded{run.pipe, true, true, {}});
  }

  void begin(Worker& worker, const Run& run) {
    worker.running.push_back(run);
    const auto load = std::to_string(worker.running.size()) + "," + std::to_string(worker.waiting.size()) + "," +
                      std::to_string(slots);
    after(transit, [this, run, load] {
      std::vector<Header> headers{{"x-trial-id", run.trial}, {"x-server-seal", "s"}};
      if (form_.tells_load) headers.push_back({"x-unit-load", load});
      tell(run, PipeHead{run.pipe, 200, headers});
    });
    for (std::uint64_t event = 0; event < events; ++event)
      after(transit + static_cast<Moment>(event) * run_time / static_cast<Moment>(events), [this, run, event] {
        tell(run, PipeBytes{run.pipe, "id: " + std::to_string(event + 1) + "\ndata: a\n\n"});
      });
    after(run_time, [this, &worker, run] {
      if (std::erase(worker.running, run) == 0) return;
      after(transit, [this, run] { tell(run, PipeEnded{run.pipe, true, true, {}}); });
      begin_next(worker);
    });
  }

  void begin_next(Worker& worker) {
    if (worker.waiting.empty() || worker.full()) return;
    const auto run = worker.waiting.front();
    worker.waiting.pop_front();
    begin(worker, run);
  }

  void cut(const Run& run) {
    for (auto& [identity, worker] : workers_) {
      std::erase(worker.waiting, run);
      if (std::erase(worker.running, run) != 0) begin_next(worker);
    }
  }

  void tell(const Run& run, const Event& event) {
    with_front(run.front, [&](PathBench& bench) { path_pipe(bench.state, event, bench.now, bench.effects); });
  }

  void after(Moment delay, std::function<void()> action) { later_.emplace(now_ + delay, std::move(action)); }

  static constexpr Moment start = 10000;
  Moment now_ = 0;
  std::uint64_t requests_ = 0;
  sim::Chance chance_{7};
  std::vector<std::unique_ptr<PathBench>> fronts_;
  std::map<std::string, Worker> workers_;
  std::map<std::uint64_t, Caller> callers_;
  std::multimap<Moment, std::function<void()>> later_;
};

}  // namespace weldsail::unit
