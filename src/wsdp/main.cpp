#include <iostream>

#include "core/data.hpp"
#include "shell/commonflags.hpp"
#include "shell/deployment.hpp"

namespace {

struct Chosen {
  weldsail::DataOptions data;
  weldsail::CommonChosen common;
};

std::vector<std::string> faults_of(const Chosen& chosen) {
  auto faults = weldsail::common_faults(chosen.common);
  if (chosen.data.backlog_limit < 1 || chosen.data.backlog_limit > 65536)
    faults.emplace_back("--backlog: must be from 1 to 65536");
  if (chosen.data.body_limit < 1024 || chosen.data.body_limit > (64U << 20U))
    faults.emplace_back("--body-limit: must be from 1024 to 67108864");
  if (chosen.data.held_limit < 2 * chosen.data.body_limit)
    faults.emplace_back("--held-bytes: must be at least twice --body-limit");
  if (chosen.common.place.limits.pipes < 16) faults.emplace_back("--pipes: must be at least 16");
  if (chosen.common.place.limits.idle < 100) faults.emplace_back("--idle-ms: must be at least 100");
  if (chosen.common.place.limits.transfer < 100) faults.emplace_back("--transfer-ms: must be at least 100");
  if (chosen.data.hold_limit < 100) faults.emplace_back("--hold-ms: must be at least 100");
  if (!chosen.common.place.aside.empty())
    if (auto fault = weldsail::address_fault("--aside", chosen.common.place.aside); !fault.empty())
      faults.push_back(std::move(fault));
  if (chosen.data.leave_limit < 0) faults.emplace_back("--leave-ms: must not be negative");
  return faults;
}

Chosen read_options(std::vector<std::string> arguments) {
  TCLAP::CmdLine line("wsdp: the data plane of weldsail", ' ', "0.1.0");
  weldsail::CommonFlags flags(line);
  TCLAP::ValueArg<std::size_t> backlog("", "backlog", "held requests for each model", false, 256, "count", line);
  TCLAP::ValueArg<std::size_t> body_limit("", "body-limit", "largest request body", false, 1U << 20U, "bytes", line);
  TCLAP::ValueArg<std::size_t> held("", "held-bytes", "most bytes of requests in hand", false, 64U << 20U, "bytes",
                                    line);
  TCLAP::ValueArg<std::size_t> pipes("", "pipes", "most open pipes of callers", false, 4096, "count", line);
  TCLAP::ValueArg<std::int64_t> idle("", "idle-ms", "longest time without a request on a pipe", false, 60000, "ms",
                                     line);
  TCLAP::ValueArg<std::int64_t> transfer("", "transfer-ms", "longest time for a request to come in whole", false, 30000,
                                         "ms", line);
  TCLAP::ValueArg<std::int64_t> hold("", "hold-ms", "longest hold while a model comes up", false, 60000, "ms", line);
  TCLAP::ValueArg<std::int64_t> leave("", "leave-ms", "time to finish work after SIGTERM", false, 10000, "ms", line);
  TCLAP::ValueArg<std::string> aside("", "aside", "a second address for callers", false, "", "ip:port", line);
  line.parse(arguments);
  Chosen chosen;
  chosen.common = weldsail::common_chosen(flags);
  chosen.data.member = chosen.common.member;
  chosen.data.backlog_limit = backlog.getValue();
  chosen.data.body_limit = body_limit.getValue();
  chosen.data.held_limit = held.getValue();
  chosen.data.hold_limit = hold.getValue();
  chosen.data.leave_limit = leave.getValue();
  chosen.common.place.aside = aside.getValue();
  chosen.common.place.limits.body = std::max<std::size_t>(body_limit.getValue(), 16U << 20U);
  chosen.common.place.limits.held = held.getValue();
  chosen.common.place.limits.pipes = pipes.getValue();
  chosen.common.place.limits.idle = idle.getValue();
  chosen.common.place.limits.transfer = transfer.getValue();
  return chosen;
}

}  // namespace

int main(int count, char** arguments) {
  auto with_file = weldsail::options_with_file(count, arguments);
  if (!with_file) {
    std::cerr << "wsdp: --options: " << with_file.error().message() << "\n";
    return weldsail::exit_options;
  }
  const auto deployment = weldsail::deployment_options(weldsail::Program::data);
  if (!deployment) {
    for (const auto& fault : deployment.error()) std::cerr << "wsdp: " << fault << "\n";
    return weldsail::exit_options;
  }
  weldsail::options_add(*with_file, deployment->flags);
  auto chosen = read_options(std::move(*with_file));
  chosen.data.dialect = deployment->dialect;
  chosen.data.limits = deployment->limits;
  const auto faults = faults_of(chosen);
  for (const auto& fault : faults) std::cerr << "wsdp: " << fault << "\n";
  if (!faults.empty()) return weldsail::exit_options;
  weldsail::run_node(chosen.common, weldsail::make_data(chosen.data));
}
