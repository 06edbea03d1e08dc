#include <iostream>

#include "core/control.hpp"
#include "shell/commonflags.hpp"
#include "shell/deployment.hpp"

namespace {

struct Chosen {
  weldsail::ControlOptions control;
  weldsail::CommonChosen common;
};

std::vector<std::string> faults_of(const Chosen& chosen) {
  auto faults = weldsail::common_faults(chosen.common);
  if (!chosen.control.platform.empty())
    if (auto fault = weldsail::address_fault("--platform", chosen.control.platform); !fault.empty())
      faults.push_back(std::move(fault));
  if (chosen.control.core_size > 9 || chosen.control.core_size == 2)
    faults.emplace_back("--core-size: must be 0 (never found a core), 1 or from 3 to 9");
  if (chosen.control.core_target > 9) faults.emplace_back("--core-target: must be from 0 to 9");
  if (chosen.control.replace_after < 0) faults.emplace_back("--replace-ms: must not be negative");
  if (chosen.control.leave_within < 0) faults.emplace_back("--leave-ms: must not be negative");
  if (chosen.control.platform_pace < 100) faults.emplace_back("--platform-pace-ms: must be at least 100");
  if (chosen.control.claims_kept < weldsail::call_due_most)
    faults.emplace_back("--claims-kept-ms: must be at least 600000, the longest due of a call");
  if (chosen.common.place.limits.held < (1U << 20U)) faults.emplace_back("--held-bytes: must be at least 1048576");
  if (chosen.control.has_disk && chosen.common.place.folder.empty()) faults.emplace_back("--folder: is missing");
  return faults;
}

Chosen read_options(std::vector<std::string> arguments) {
  TCLAP::CmdLine line("wscp: the control plane of weldsail", ' ', "0.1.0");
  weldsail::CommonFlags flags(line);
  TCLAP::SwitchArg diskless("", "diskless", "run without a disk: never a voter", line);
  TCLAP::ValueArg<std::uint32_t> core_size("", "core-size", "disks that form a new core", false, 3, "count", line);
  TCLAP::SwitchArg found("", "found-with-seeds", "the seeds, and they alone, form a new core", line);
  TCLAP::ValueArg<std::uint32_t> target("", "core-target", "disks that the core grows to, 0 for no growth", false, 0,
                                        "count", line);
  TCLAP::ValueArg<std::int64_t> replace("", "replace-ms", "absence after which a spare takes a disk's place", false, 0,
                                        "ms", line);
  TCLAP::ValueArg<std::int64_t> leave("", "leave-ms", "longest time to go on voting after SIGTERM", false, 10000, "ms",
                                      line);
  TCLAP::ValueArg<std::string> platform("", "platform", "the platform's address", false, "", "ip:port", line);
  TCLAP::ValueArg<std::int64_t> pace("", "platform-pace-ms", "least time between asks", false, 5000, "ms", line);
  TCLAP::ValueArg<std::int64_t> kept("", "claims-kept-ms", "how long an idempotency key is refused", false,
                                     weldsail::vote_kept, "ms", line);
  TCLAP::ValueArg<std::size_t> held("", "held-bytes", "most bytes of operators' requests in hand", false, 64U << 20U,
                                    "bytes", line);
  line.parse(arguments);
  Chosen chosen;
  chosen.common = weldsail::common_chosen(flags);
  chosen.control.member = chosen.common.member;
  chosen.control.core_size = core_size.getValue();
  if (found.getValue()) chosen.control.founders = chosen.control.member.seeds;
  chosen.control.core_target = target.getValue();
  chosen.control.replace_after = replace.getValue();
  chosen.control.leave_within = leave.getValue();
  chosen.control.has_disk = !diskless.getValue();
  chosen.control.platform = platform.getValue();
  chosen.control.platform_pace = pace.getValue();
  chosen.control.claims_kept = kept.getValue();
  if (!chosen.control.has_disk) chosen.common.place.folder.clear();
  chosen.common.place.limits.body = 16U << 20U;
  chosen.common.place.limits.held = held.getValue();
  return chosen;
}

}  // namespace

int main(int count, char** arguments) {
  auto with_file = weldsail::options_with_file(count, arguments);
  if (!with_file) {
    std::cerr << "wscp: --options: " << with_file.error().message() << "\n";
    return weldsail::exit_options;
  }
  const auto deployment = weldsail::deployment_options(weldsail::Program::control);
  if (!deployment) {
    for (const auto& fault : deployment.error()) std::cerr << "wscp: " << fault << "\n";
    return weldsail::exit_options;
  }
  weldsail::options_add(*with_file, deployment->flags);
  auto chosen = read_options(std::move(*with_file));
  chosen.control.dialect = deployment->dialect;
  chosen.control.limits = deployment->limits;
  const auto faults = faults_of(chosen);
  for (const auto& fault : faults) std::cerr << "wscp: " << fault << "\n";
  if (!faults.empty()) return weldsail::exit_options;
  weldsail::run_node(chosen.common, weldsail::make_control(chosen.control));
}
