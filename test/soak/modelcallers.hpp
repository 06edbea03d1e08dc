#pragma once
#include "asker.hpp"
#include "fleetview.hpp"
#include "ledger.hpp"
#include "troubles.hpp"

namespace weldsail::soak {

/// Callers of many models and adapters, more than the workers have places for. A caller that is refused comes back
/// twice, each time at another data process, and on connections that stay open until their process is gone. Some ask
/// for streams of up to six seconds, which a data process that is told to leave must end whole or not begin.
class ModelCallers {
 public:
  ModelCallers(FleetView fleet, Asker& asker, Ledger& ledger, const Troubles& troubles, std::uint64_t seed);
  void tick(Moment now);
  void stop() { stopped_ = true; }
  bool idle() const { return open_ == 0 && returning_.empty(); }
  /// What was asked for four times or more, over eight seconds, and how much of that was never served.
  struct Starved {
    std::size_t often = 0;
    std::vector<std::string> never;
  };
  Starved starved() const;
  const std::map<std::string, std::size_t>& outcomes() const { return outcomes_; }
  /// Routes of the configuration for these callers.
  static std::string route_text();
  /// Their tenant, and the one key that it has.
  static std::string tenant_text();

 private:
  struct Call {
    std::string model;
    std::string trial;
    std::size_t process = 0;
    std::size_t further_tries = 0;
    Moment sent = 0;
    /// Events of the stream that is asked for; none: an answer in one piece.
    std::size_t events = 0;
  };
  struct Asked {
    std::size_t count = 0;
    Moment first = 0;
    Moment last = 0;
    bool served = false;
  };
  void send(Call call);
  void answered(const Call& call, const Reply& reply);
  bool is_right(const Call& call, const Reply& reply) const;
  /// A begun stream that ends early is a breach, but for one whose process was killed or stood still.
  void judge_cut(const Call& call, const Reply& reply);
  void come_back(const Call& call, const Reply& reply);

  FleetView fleet_;
  Asker& asker_;
  Ledger& ledger_;
  const Troubles& troubles_;
  Random random_;
  std::map<std::string, Asked> asked_;
  std::multimap<Moment, Call> returning_;
  std::map<std::string, std::size_t> outcomes_;
  std::size_t serial_ = 0;
  std::size_t open_ = 0;
  Moment next_ = 0;
  bool stopped_ = false;
};

}  // namespace weldsail::soak
