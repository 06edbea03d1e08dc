#pragma once
#include "asker.hpp"
#include "fleetview.hpp"
#include "ledger.hpp"
#include "troubles.hpp"

namespace weldsail::soak {

/// Callers of the data processes: streams of every model, calls, and calls that share a key. Each answer is judged.
class Callers {
 public:
  Callers(FleetView fleet, Asker& asker, Ledger& ledger, const Troubles& troubles, Moment startup, std::uint64_t seed);
  void tick(Moment now);
  /// Sends nothing any more.
  void stop() { stopped_ = true; }
  bool idle() const { return open_ == 0; }
  /// True when a request of every route that was sent after the moment was answered whole.
  bool served_since(Moment moment) const;
  /// Judges what the workers say that they have run.
  void judge_runs(const std::map<std::string, std::size_t>& runs);
  const std::map<std::string, std::size_t>& outcomes() const { return outcomes_; }

 private:
  struct Call {
    std::string caller;
    /// Calls with one key are one group, of which one may run.
    std::string group;
    std::size_t route = 0;
    std::size_t process = 0;
    std::size_t pieces = 0;
    Moment sent = 0;
  };
  enum class Outcome { whole, not_run, unknown };
  void send(Call call, const std::string& key);
  void answered(const Call& call, const Reply& reply);
  void judge_broken(const Call& call, const Reply& reply, Moment now);
  void judge_leaving(const Call& call, const Reply& reply);
  void judge_success(const Call& call, const Reply& reply);
  void judge_refusal(const Call& call, const Reply& reply);
  void broken(const Call& call, const std::string& how);

  FleetView fleet_;
  Asker& asker_;
  Ledger& ledger_;
  const Troubles& troubles_;
  Moment startup_;
  Random random_;
  std::map<std::string, Call> calls_;
  std::map<std::string, Outcome> heard_;
  std::map<std::string, std::size_t> outcomes_;
  /// When the newest request of each route that was answered whole had been sent.
  std::vector<Moment> served_;
  std::size_t serial_ = 0;
  std::size_t open_ = 0;
  Moment next_ = 0;
  bool stopped_ = false;
};

}  // namespace weldsail::soak
