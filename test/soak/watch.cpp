#include "watch.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>

#include "core/json.hpp"

namespace weldsail::soak {
namespace {

constexpr Moment look_pause = 250;
constexpr Moment read_pause = 200;
constexpr Moment probe_pause = 40;
constexpr Moment status_within = 3000;
constexpr Moment read_within = 6000;
constexpr Moment probe_within = 1500;
/// Only the routes of the newest changes may be unknown to a late process.
constexpr std::size_t routes_probed = 8;
/// A refusal by an older document needs a proof that is no older than this, whatever troubles the process.
constexpr Moment refusal_most = 3000;

std::optional<std::uint64_t> counter_of(const rapidjson::Value& status, const char* pointer) {
  const auto* found = rapidjson::Pointer(pointer).Get(status);
  if (found == nullptr || !found->IsUint64()) return std::nullopt;
  return found->GetUint64();
}

std::uint64_t resident_bytes(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  std::uint64_t whole = 0;
  std::uint64_t resident = 0;
  file >> whole >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace

Watch::Watch(FleetView fleet, Asker& asker, Ledger& ledger, const DocumentForm& form, CalmSince calm_since,
             Moment adopt_within, std::uint64_t seed)
    : fleet_(fleet),
      asker_(asker),
      ledger_(ledger),
      form_(form),
      calm_since_(std::move(calm_since)),
      adopt_within_(adopt_within),
      random_(seed),
      views_(fleet.size()) {}

void Watch::tick(Moment now) {
  if (now >= next_look_) {
    next_look_ = now + look_pause;
    for (std::size_t process = 0; process < views_.size(); ++process) look(process);
  }
  if (now >= next_read_) read_configuration(now);
  if (now >= next_probe_) probe_route(now);
}

void Watch::look(std::size_t process) {
  auto& child = fleet_.child(process);
  auto& view = views_[process];
  if (view.pid != child.pid) {
    view.pid = child.pid;
    view.in_force = 0;
    view.asking = false;
    view.counters = {};
  }
  if (child.pid == 0 || child.leaving) return;
  int status = 0;
  if (waitpid(child.pid, &status, WNOHANG) == child.pid) {
    child.pid = 0;
    const auto how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                         : "status " + std::to_string(WEXITSTATUS(status));
    return ledger_.breach(child.name + " ended by itself with " + how);
  }
  view.memory_most = std::max(view.memory_most, resident_bytes(child.pid));
  if (!view.asking) ask_status(process);
}

void Watch::ask_status(std::size_t process) {
  auto& view = views_[process];
  view.asking = true;
  asker_.ask({"GET", fleet_.direct(process), "/v1/status", {}, {}, status_within},
             [this, process, pid = view.pid, sent = monotonic_now()](const Reply& reply) {
               take_status(process, pid, sent, reply);
             });
}

void Watch::take_status(std::size_t process, int pid, Moment sent, const Reply& reply) {
  auto& view = views_[process];
  if (view.pid != pid) return;
  view.asking = false;
  rapidjson::Document status;
  status.Parse(reply.body.data(), reply.body.size());
  if (!reply.whole || reply.status != 200 || !status.IsObject()) return;
  ++statuses_;
  ++view.statuses;
  const auto version = json_count_at(status, "/config_version");
  const auto tell = [&](const char* what, std::uint64_t before) {
    ledger_.breach(std::string(what) + ": " + fleet_.child(process).name + " has version " + std::to_string(version) +
                   " in force after " + std::to_string(before));
  };
  if (version < view.in_force) tell("went back", view.in_force);
  if (view.in_force == 0 && version != 0 && version < view.highest) tell("came back older", view.highest);
  if (!fleet_.is_control(process)) judge_version(process, version, sent);
  view.in_force = version;
  view.highest = std::max(view.highest, version);
  view.counters = {counter_of(status, "/configuration_bytes_sent"), counter_of(status, "/transfers_repeated"),
                   counter_of(status, "/invariant_violations")};
  if (view.counters.invariant_violations.value_or(0) != 0)
    ledger_.breach(fleet_.child(process).name + " counts " + std::to_string(*view.counters.invariant_violations) +
                   " violated invariants");
}

void Watch::read_configuration(Moment now) {
  next_read_ = now + read_pause;
  const auto process = pick(random_, fleet_.size());
  const std::string path = fleet_.is_control(process) ? form_.read_path : "/v1/config";
  asker_.ask({"GET", fleet_.operators(process), path, {}, {}, read_within},
             [this, now, name = fleet_.child(process).name](const Reply& reply) {
               if (reply.whole && reply.status == 200) ledger_.read(name, version_of(reply), reply.body, now);
             });
}

void Watch::probe_route(Moment now) {
  next_probe_ = now + probe_pause;
  const auto routes = ledger_.newest_routes(now - adopt_within_, routes_probed);
  if (routes.empty()) return;
  const auto number = routes[pick(random_, routes.size())];
  const auto process = fleet_.controls() + pick(random_, fleet_.size() - fleet_.controls());
  ++probes_;
  auto question = form_.probe(number);
  question.address = fleet_.child(process).callers;
  question.within = probe_within;
  asker_.ask(question, [this, process, number, now](const Reply& reply) {
    if (!reply.whole || reply.status == 0) return;
    ++probes_told_;
    if (reply.status == 404 || reply.status == 401) judge_refusal(process, reply.status, number, now);
  });
}

/// A data process that has been free of trouble for the bound has every change in force that was acknowledged by then.
void Watch::judge_version(std::size_t process, std::uint64_t version, Moment sent) {
  const auto least = ledger_.newest_until(sent - adopt_within_);
  if (version >= least) return;
  const auto calm = calm_since_(process);
  if (!calm || *calm + adopt_within_ > sent) {
    ++versions_excused_;
    return;
  }
  ledger_.breach("late: " + fleet_.child(process).name + " has version " + std::to_string(version) + " in force, " +
                 std::to_string(least) + " was acknowledged " +
                 std::to_string(sent - ledger_.changes().at(least).first_heard) + " ms before it was asked");
}

void Watch::judge_refusal(std::size_t process, int status, std::size_t route, Moment sent) {
  const auto calm = calm_since_(process);
  const bool may_be_late = !calm || *calm + adopt_within_ > sent;
  if (may_be_late && sent - ledger_.route_since(route) <= refusal_most) {
    ++probes_excused_;
    return;
  }
  ledger_.breach(fleet_.child(process).name + " answered " + std::to_string(status) + " for route " +
                 std::to_string(route) + ", acknowledged " + std::to_string(sent - ledger_.route_since(route)) +
                 " ms before it was asked for");
}

bool Watch::in_force_everywhere(std::uint64_t version) const {
  return std::ranges::all_of(views_,
                             [&](const ProcessView& view) { return view.pid != 0 && view.in_force == version; });
}

std::size_t Watch::statuses_each() const {
  return std::ranges::min_element(views_, {}, &ProcessView::statuses)->statuses;
}

std::string Watch::versions() const {
  std::string text;
  for (std::size_t process = 0; process < views_.size(); ++process)
    text += (text.empty() ? "" : " ") + fleet_.child(process).name + "=" + std::to_string(views_[process].in_force);
  return text;
}

std::uint64_t Watch::memory_most(bool control) const {
  std::uint64_t most = 0;
  for (std::size_t process = 0; process < views_.size(); ++process)
    if (fleet_.is_control(process) == control) most = std::max(most, views_[process].memory_most);
  return most;
}

std::optional<std::uint64_t> Watch::sum(std::optional<std::uint64_t> ProcessCounters::*counter) const {
  std::uint64_t total = 0;
  for (const auto& view : views_) {
    if (!(view.counters.*counter)) return std::nullopt;
    total += *(view.counters.*counter);
  }
  return total;
}

}  // namespace weldsail::soak
