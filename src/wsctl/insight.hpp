#pragma once
#include "wsctl/command.hpp"

namespace weldsail {

/// True for commands that put several answers together.
bool is_insight(const std::vector<std::string>& words);
/// `losses [ADDRESS ...]`: requests that weren't served in time, by route, outcome and cause, from the metrics of the
/// node and of further ones. `explain MODEL`: what is asked of a model, its holders, and what it waits for.
CommandResult run_insight(const CommandOptions& options);

/// Text of the losses in pages of metrics.
std::string losses_text(const std::vector<std::string>& pages);
/// Text on one model from the documents of holds, placements and workers; empty where no unit has that name.
std::string explain_text(const std::string& model, const std::string& holds, const std::string& placements,
                         const std::string& workers);

}  // namespace weldsail
