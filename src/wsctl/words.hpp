#pragma once
#include <optional>

#include "wsctl/command.hpp"

namespace weldsail {

/// The request that a command's words ask for.
struct Wanted {
  std::string method;
  std::string path;
  std::string body;
  bool change = false;
  bool exact = false;
  std::string base;
};

/// Reads a command's words, and the files and the configuration that it needs.
std::optional<Wanted> read_words(const CommandOptions& options, std::string& trouble);

}  // namespace weldsail
