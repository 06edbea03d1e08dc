#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "core/operations/operate.hpp"
#include "shell/options.hpp"
#include "wsctl/runbook.hpp"

namespace {

constexpr const char* usage_text =
    "config get | config put FILE | config check FILE | config change FILE | config history |\n"
    "  config move-tenant TENANT FROM-CELL TO-CELL [SERVICE=SERVICE ...] | config outcome CHANGE | core show | core "
    "replace OLD NEW | core add NEW | core remove OLD |\n"
    "  core recover CLUSTER DISK [accept-loss] |\n"
    "  runbook list | runbook show NAME | runbook run NAME |\n"
    "  members | workers | placements | holds | status | metrics | losses [ADDRESS ...] | explain MODEL | drain NAME | "
    "undrain NAME\n"
    "  OLD and NEW are disks, by number or by the address of their process; NAME is worker:ADDRESS, node:ADDRESS or "
    "locality:NAME";

}  // namespace

int main(int count, char** arguments) {
  TCLAP::CmdLine line("wsctl: operates weldsail through any of its nodes", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> node("", "node", "callers' address of any node", true, "", "ip:port", line);
  TCLAP::SwitchArg json("", "json", "print the answer as it came", line);
  TCLAP::ValueArg<std::string> base("", "base", "version that a change is built on; the newest when left out", false,
                                    "", "version", line);
  TCLAP::ValueArg<std::string> change("", "change", "id of the change, to send it again safely", false, "", "id", line);
  TCLAP::ValueArg<std::int64_t> within("", "within-ms", "longest wait for an answer", false, 10000, "ms", line);
  TCLAP::ValueArg<std::string> folder("", "runbooks", "folder of the runbooks", false, "runbooks", "path", line);
  TCLAP::MultiArg<std::string> set("", "set", "an input of a runbook", false, "name=value", line);
  TCLAP::ValueArg<std::size_t> from("", "from", "first step of a runbook to run", false, 1, "number", line);
  TCLAP::SwitchArg dry("", "dry-run", "check a runbook and say what it would do", line);
  TCLAP::SwitchArg yes("", "yes", "take every confirmation of a runbook as given", line);
  TCLAP::UnlabeledMultiArg<std::string> words("command", usage_text, true, "command", line);
  line.parse(count, arguments);
  if (auto fault = weldsail::address_fault("--node", node.getValue()); !fault.empty()) {
    std::cerr << "wsctl: " << fault << "\n";
    return weldsail::exit_usage;
  }
  const weldsail::CommandOptions options{node.getValue(),   json.getValue(),   base.getValue(),
                                         change.getValue(), within.getValue(), words.getValue()};
  weldsail::RunbookOptions book{options, folder.getValue(), {}, dry.getValue(), yes.getValue(), from.getValue()};
  for (const auto& item : set.getValue()) {
    const auto sign = item.find('=');
    if (sign == std::string::npos || sign == 0) {
      std::cerr << "wsctl: --set: '" << item << "' is no name=value\n";
      return weldsail::exit_usage;
    }
    book.inputs[item.substr(0, sign)] = item.substr(sign + 1);
  }
  const bool runbook = options.words.front() == "runbook";
  const auto result = runbook ? weldsail::run_runbook(book) : weldsail::run_command(options);
  std::cout << result.text;
  std::cerr << result.trouble;
  return result.code;
}
