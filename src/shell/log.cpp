#include "shell/log.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

namespace weldsail {
namespace {

std::string quoted(const std::string& value) {
  if (!value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos) return value;
  std::string text = "\"";
  for (const char letter : value) {
    if (letter == '"' || letter == '\\') text += '\\';
    text += letter == '\n' || letter == '\r' ? ' ' : letter;
  }
  return text + "\"";
}

}  // namespace

void log_open(const std::string& path, const std::string& level) {
  // Loaded, the library starts four threads for appenders of a kind that isn't used here; it can do with one. Ending
  // its initializer would end them all, but waits for that.
  static log4cplus::Initializer* const kept = new log4cplus::Initializer;
  if (kept != nullptr) log4cplus::setThreadPoolSize(1);
  log4cplus::SharedAppenderPtr appender;
  if (path.empty())
    appender = new log4cplus::ConsoleAppender(true, true);
  else
    appender = new log4cplus::FileAppender(path, std::ios_base::app);
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("time=%d{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n"));
  auto root = log4cplus::Logger::getRoot();
  root.addAppender(appender);
  std::string name = level;
  for (char& letter : name) letter = static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
  root.setLogLevel(log4cplus::getLogLevelManager().fromString(name));
}

void log_note(const Note& note) {
  std::string line = "event=" + note.event;
  for (const auto& [key, value] : note.fields) line += " " + key + "=" + quoted(value);
  auto root = log4cplus::Logger::getRoot();
  if (note.grave)
    LOG4CPLUS_ERROR(root, line);
  else
    LOG4CPLUS_INFO(root, line);
}

void log_close() { log4cplus::Logger::shutdown(); }

}  // namespace weldsail
