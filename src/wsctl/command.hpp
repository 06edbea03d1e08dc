#pragma once
#include <string>
#include <vector>

#include "core/event.hpp"

namespace weldsail {

inline constexpr int exit_done = 0;
inline constexpr int exit_usage = 2;
inline constexpr int exit_refused = 3;
inline constexpr int exit_unknown = 4;
inline constexpr int exit_unreachable = 5;

/// What the operator asked for.
struct CommandOptions {
  std::string node;
  bool json = false;
  std::string base;
  std::string change;
  Moment within = 10000;
  std::vector<std::string> words;
};

/// What a command has to say.
struct CommandResult {
  int code = exit_done;
  std::string text;
  std::string trouble;
};

/// What is wrong with a command's words, or nothing; files aren't looked at.
std::string command_fault(const std::vector<std::string>& words);
/// Runs one command against the node.
CommandResult run_command(const CommandOptions& options);

}  // namespace weldsail
