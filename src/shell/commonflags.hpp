#pragma once
#include <tclap/CmdLine.h>

#include "core/membership/member.hpp"
#include "shell/node.hpp"
#include "shell/options.hpp"
#include "shell/process.hpp"

namespace weldsail {

inline constexpr int exit_options = 2;
inline constexpr int exit_start = 3;

/// The flags that both daemons have.
struct CommonFlags {
  explicit CommonFlags(TCLAP::CmdLine& line)
      : options("", "options", "JSON file with options by flag name", false, "", "file", line),
        peers("", "peers", "address for weldsail's own processes", true, "", "ip:port", line),
        callers("", "callers", "address for callers and operators", true, "", "ip:port", line),
        locality("", "locality", "zone of this machine", true, "", "name", line),
        seeds("", "seeds", "peer addresses of three other processes", true, "", "list", line),
        folder("", "folder", "data folder on this machine's disk", false, "", "path", line),
        bound("", "bound-ms", "time within which a breakdown is acted on", false, 3000, "ms", line),
        metrics("", "metrics-port", "port where only the process's figures are told; 0 for none", false, 0, "port",
                line),
        log_file("", "log-file", "log here, not on standard error", false, "", "path", line),
        log_level("", "log-level", "debug, info, warn or error", false, "info", "level", line) {}
  TCLAP::ValueArg<std::string> options;
  TCLAP::ValueArg<std::string> peers;
  TCLAP::ValueArg<std::string> callers;
  TCLAP::ValueArg<std::string> locality;
  TCLAP::ValueArg<std::string> seeds;
  TCLAP::ValueArg<std::string> folder;
  TCLAP::ValueArg<std::int64_t> bound;
  TCLAP::ValueArg<std::uint32_t> metrics;
  TCLAP::ValueArg<std::string> log_file;
  TCLAP::ValueArg<std::string> log_level;
};

/// What the common flags say.
struct CommonChosen {
  MemberOptions member;
  Place place;
  std::string log_file;
  std::string log_level;
};

CommonChosen common_chosen(CommonFlags& flags);
/// All that is wrong with the common flags.
std::vector<std::string> common_faults(const CommonChosen& chosen);

/// Runs a node from its start to its end; the exit status.
template <typename State>
int run_to_end(const Place& place, State state) {
  Node<State> node(place, std::move(state));
  if (const auto cause = node.start()) {
    log_note({"process.refused", {{"cause", cause.message()}}, true});
    return exit_start;
  }
  node.run();
  return 0;
}

/// Starts a program's node, runs it and leaves with its exit status.
template <typename State>
[[noreturn]] void run_node(const CommonChosen& chosen, State state) {
  keep_memory_small();
  log_open(chosen.log_file, chosen.log_level);
  const int status = run_to_end(chosen.place, std::move(state));
  log_close();
  leave(status);
}

}  // namespace weldsail
