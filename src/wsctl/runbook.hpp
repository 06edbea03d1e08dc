#pragma once
#include <rapidjson/document.h>

#include <map>

#include "wsctl/command.hpp"

namespace weldsail {

inline constexpr int exit_unconfirmed = 6;

/// What the operator asked of the runbooks.
struct RunbookOptions {
  CommandOptions command;
  std::string folder = "runbooks";
  std::map<std::string, std::string> inputs;
  bool dry_run = false;
  bool yes = false;
  std::size_t from = 1;
};

/// Values by name for the marks in a runbook's steps.
using Inputs = std::map<std::string, std::string>;
/// A step's list as command words.
std::vector<std::string> runbook_words(const rapidjson::Value& list);
/// All that is wrong with a runbook and its inputs, found before the first step; defaults are filled in.
std::vector<std::string> runbook_faults(const rapidjson::Document& book, Inputs& inputs);
/// Runs `runbook list | show NAME | run NAME`.
CommandResult run_runbook(const RunbookOptions& options);

}  // namespace weldsail
