#pragma once
#include <string>

#include "core/effect.hpp"

namespace weldsail {

/// Opens the log: a file, or standard error when the path is empty. Levels: debug, info, warn, error.
void log_open(const std::string& path, const std::string& level);
/// Writes one line of key=value pairs.
void log_note(const Note& note);
/// Flushes and closes the log.
void log_close();

}  // namespace weldsail
