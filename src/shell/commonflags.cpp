#include "shell/commonflags.hpp"

namespace weldsail {

CommonChosen common_chosen(CommonFlags& flags) {
  CommonChosen chosen;
  chosen.member.address = chosen.place.peers = flags.peers.getValue();
  chosen.member.callers = chosen.place.callers = flags.callers.getValue();
  chosen.member.locality = flags.locality.getValue();
  chosen.member.seeds = options_list(flags.seeds.getValue());
  chosen.member.bound = flags.bound.getValue();
  chosen.place.folder = flags.folder.getValue();
  if (const auto port = flags.metrics.getValue(); port != 0)
    chosen.place.metrics = chosen.place.callers.substr(0, chosen.place.callers.rfind(':')) + ":" + std::to_string(port);
  chosen.log_file = flags.log_file.getValue();
  chosen.log_level = flags.log_level.getValue();
  return chosen;
}

std::vector<std::string> common_faults(const CommonChosen& chosen) {
  std::vector<std::string> faults;
  const auto check = [&](const std::string& name, const std::string& address) {
    if (auto fault = address_fault(name, address); !fault.empty()) faults.push_back(std::move(fault));
  };
  check("--peers", chosen.place.peers);
  check("--callers", chosen.place.callers);
  for (const auto& seed : chosen.member.seeds) check("--seeds", seed);
  if (!chosen.place.metrics.empty()) check("--metrics-port", chosen.place.metrics);
  if (chosen.member.locality.empty()) faults.emplace_back("--locality: is missing");
  if (chosen.member.bound < 300 || chosen.member.bound > 60000)
    faults.emplace_back("--bound-ms: must be from 300 to 60000");
  return faults;
}

}  // namespace weldsail
