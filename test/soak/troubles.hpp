#pragma once
#include <list>

#include "fleetview.hpp"
#include "ledger.hpp"
#include "relay.hpp"

namespace weldsail::soak {

/// Random trouble by seed: up to three kinds at once, each on processes or links of its own choice.
class Troubles {
 public:
  Troubles(FleetView fleet, Relay& relay, Ledger& ledger, std::uint64_t seed);
  void tick(Moment now);
  /// Ends all trouble and begins none any more.
  void end();
  /// Since when the process and its own links are free of trouble; nothing while they aren't.
  std::optional<Moment> calm_since(std::size_t process) const;
  const std::map<std::string, std::size_t>& counts() const { return counts_; }

 private:
  enum class Kind { kill, pause, cut, one_way, stall, throttle, operators_throttle, lost_answers };
  struct Trouble {
    Kind kind;
    std::size_t process;
    /// The other end, where a trouble concerns the links of two processes.
    std::size_t other;
    int rule = 0;
    Moment until = 0;
  };
  void begin(Moment now);
  void finish(const Trouble& trouble);
  bool troubled(std::size_t process) const;
  LinkRule rule_of(Trouble& trouble);

  FleetView fleet_;
  Relay& relay_;
  Ledger& ledger_;
  Random random_;
  std::list<Trouble> under_way_;
  std::map<std::string, std::size_t> counts_;
  std::vector<Moment> calm_since_;
  Moment next_ = 0;
  bool ended_ = false;
};

}  // namespace weldsail::soak
