#include <algorithm>
#include <atomic>

#include "soakrun.hpp"

namespace weldsail::soak {
namespace {

constexpr std::size_t operators_count = 2;
constexpr Moment start_within = 120000;
constexpr Moment ask_within = 5000;
constexpr int address_tries = 3;

std::atomic<bool> stop_asked = false;

}  // namespace

Run::Run(const SoakPlan& plan) : plan_(plan), fleet_(plan.binaries, real_plan()), workers_(fleet_, plan.binaries) {
  const auto first_routes = std::max<std::size_t>(1, plan_.routes / 2);
  document_ = plan_.form->first_document(first_routes);
  share_.next_route = first_routes;
  share_.large_change = plan_.routes - first_routes;
}

RealPlan Run::real_plan() {
  RealPlan real;
  real.control = plan_.control;
  real.data = plan_.data;
  if (!plan_.form->numbered) real.data_options = {"--hold-ms", "300"};
  real.prepared = [this](Child& child) { prepare(child); };
  return real;
}

/// Puts the relay before the process, and a folder for the version in force to every other data process.
void Run::prepare(Child& child) {
  const int process = prepared_++;
  const auto listens = host_of(listen_hosts, process);
  relayed_ = relay_.add(child.peers, listens, process, ChannelKind::peers) &&
             relay_.add(child.callers, listens, process, ChannelKind::callers) && relayed_;
  if (plan_.form->numbered) deploy(child);
  if (!child.aside.empty()) relayed_ = relay_.add(child.aside, listens, process, ChannelKind::callers) && relayed_;
  if (!plan_.form->numbered && child.folder.empty() && process % 2 == 0) {
    child.arguments.emplace_back("--folder");
    child.arguments.push_back(fleet_.folder() + "/" + child.name);
  }
  const auto platform = std::ranges::find(child.arguments, "--platform");
  if (platform != child.arguments.end()) *std::next(platform) = list_.address();
  auto before = own_hosts(plan_.own_host, process);
  if (plan_.form->numbered) before.push_back("WELDSAIL_CONFIG=" + settings_path(child));
  child.arguments.insert(child.arguments.begin(), before.begin(), before.end());
}

/// Workers stand behind the relay, too; their process numbers follow those of the fleet.
bool Run::start_workers() {
  const auto first = plan_.control + plan_.data;
  workers_.make(plan_.workers, static_cast<int>(first), plan_.own_host);
  std::vector<WorkerList::Entry> listed;
  for (std::size_t place = 0; place < plan_.workers; ++place) {
    const auto process = static_cast<int>(first + place);
    const auto& address = workers_.children[place].callers;
    if (!relay_.add(address, host_of(listen_hosts, process), process, ChannelKind::workers)) relayed_ = false;
    workers_.start(place);
    listed.push_back({address, workers_.service(place)});
  }
  list_.tell(std::move(listed));
  return relayed_;
}

bool Run::until(const std::function<bool()>& done, Moment within) {
  return fleet_.pump(
      [&] {
        const auto now = monotonic_now();
        asker_.tick(now);
        list_.sweep(now);
        model_workers_.tick(now);
        if (callers_) callers_->tick(now);
        if (model_callers_) model_callers_->tick(now);
        if (troubles_) troubles_->tick(now);
        for (auto& item : operators_) item.tick(now);
        if (watch_) watch_->tick(now);
        return stop_asked || done();
      },
      within);
}

Reply Run::ask(std::size_t process, const std::string& path) {
  struct Asked {
    bool open = false;
    Reply reply;
  };
  const auto asked = std::make_shared<Asked>();
  until(
      [&] {
        const bool good = asked->reply.whole && asked->reply.status == 200;
        if (good || asked->open) return good;
        asked->open = true;
        asker_.ask({"GET", view_.direct(process), path, {}, {}, ask_within}, [asked](const Reply& reply) {
          asked->reply = reply;
          asked->open = false;
        });
        return false;
      },
      plan_.patience);
  return asked->reply;
}

bool Run::begin() {
  list_.tell_units([this] { return model_workers_.list_text(); });
  if (!model_workers_.start(plan_.model_workers)) return false;
  if (!list_.listen() || !start_workers() || !fleet_.start() || !relayed_) return false;
  const auto request = plan_.form->first_request(document_);
  const auto put = fleet_.ask_until_good(request.method, fleet_.controls[0].callers, request.path, request.headers,
                                         request.body, start_within);
  if (put.status != 200) return false;
  const auto calm_since = [this](std::size_t process) {
    return troubles_ ? troubles_->calm_since(process) : std::optional<Moment>(0);
  };
  if (plan_.form->numbered) write_settings(false);
  watch_.emplace(view_, asker_, ledger_, *plan_.form, calm_since, plan_.adopt_within, plan_.seed * 7 + 1);
  return until([&] { return watch_->in_force_everywhere(version_of(put)); }, start_within);
}

void Run::trouble() {
  operators_.reserve(operators_count);
  for (std::size_t place = 0; place < operators_count; ++place)
    operators_.emplace_back("operator" + std::to_string(place), view_, asker_, ledger_, share_, *plan_.form,
                            plan_.seed * 31 + place);
  const auto bytes = relay_.peer_bytes();
  troubles_.emplace(view_, relay_, ledger_, plan_.seed, plan_.workers + plan_.model_workers != 0);
  if (plan_.model_workers != 0) model_callers_.emplace(view_, asker_, ledger_, *troubles_, plan_.seed * 17 + 3);
  if (plan_.workers != 0) callers_.emplace(view_, asker_, ledger_, *troubles_, plan_.adopt_within, plan_.seed * 13 + 5);
  until([] { return false; }, plan_.trouble_length);
  troubles_->end();
  figure("trouble_peer_bytes", relay_.peer_bytes() - bytes);
}

bool Run::settle() {
  const auto begun = monotonic_now();
  for (auto& item : operators_) item.stop();
  const auto idle = [](const Operator& item) { return item.idle(); };
  if (!until([&] { return std::ranges::all_of(operators_, idle); }, plan_.patience)) {
    ledger_.breach("a change stays unclear after all trouble has ended");
    return false;
  }
  figure("clear_ms", static_cast<std::uint64_t>(monotonic_now() - begun));
  const auto newest = version_of(ask(0, "/v1/config"));
  if (newest < ledger_.newest()) ledger_.breach("the newest configuration is older than the newest acknowledged");
  const bool settled = until([&] { return watch_->in_force_everywhere(newest); }, plan_.patience);
  if (!settled) ledger_.breach("version " + std::to_string(newest) + " isn't in force: " + watch_->versions());
  figure("settled_ms", static_cast<std::uint64_t>(monotonic_now() - begun));
  return settled;
}

SoakResult Run::run() {
  if (!begin()) {
    ledger_.breach("the fleet didn't start");
  } else {
    trouble();
    if (callers_) judge_callers();
    if (model_callers_) judge_models();
    if (settle()) calm();
    judge_end();
    judge_memory();
  }
  if (stop_asked) ledger_.breach("ended by a signal");
  std::size_t unclear = 0;
  std::size_t repeated = 0;
  for (const auto& item : operators_) {
    unclear += item.unclear();
    repeated += item.repeated();
  }
  figure("acknowledged", ledger_.changes().size());
  figure("refused", ledger_.refused_count());
  figure("unclear_answers", unclear);
  figure("repeats", repeated);
  figure("reads", ledger_.reads());
  if (callers_) {
    for (const auto& [name, count] : callers_->outcomes()) figure("requests_" + name, count);
  }
  if (model_callers_) {
    for (const auto& [name, count] : model_callers_->outcomes()) figure("tries_" + name, count);
    figure("orders", model_workers_.orders());
    figure("store_loads", model_workers_.store_loads());
  }
  if (watch_) {
    figure("statuses", watch_->statuses());
    figure("probes_answered", watch_->probes_told());
    figure("late_routes_in_trouble", watch_->probes_excused());
    figure("late_versions_in_trouble", watch_->versions_excused());
    figure("configuration_bytes_sent", watch_->sum(&ProcessCounters::configuration_bytes_sent));
    figure("transfers_repeated", watch_->sum(&ProcessCounters::transfers_repeated));
    figure("invariant_violations", watch_->sum(&ProcessCounters::invariant_violations));
  }
  if (!ledger_.breaches().empty()) keep_logs();
  SoakResult result{ledger_.breaches(), figures_, ledger_.story(), !relayed_};
  if (troubles_) {
    for (const auto& [name, count] : troubles_->counts()) result.figures += " " + name + "=" + std::to_string(count);
  }
  return result;
}

SoakResult run_soak(const SoakPlan& plan) {
  auto result = Run(plan).run();
  for (int again = 1; again < address_tries && result.address_taken; ++again) result = Run(plan).run();
  return result;
}

void stop_soak() { stop_asked = true; }

bool soak_stopped() { return stop_asked; }

}  // namespace weldsail::soak
