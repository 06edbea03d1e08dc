// Time since the script began, and record.txt.
#pragma once
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>

namespace standins {

using Clock = std::chrono::steady_clock;

/// Milliseconds since the script began.
inline std::int64_t now_ms() {
  static const auto begun = Clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begun).count();
}

inline void pause_ms(std::int64_t time) { std::this_thread::sleep_for(std::chrono::milliseconds(time)); }

/// Writes record.txt: a line for each thing that was sent, answered, run or done.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) { now_ms(); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2048];
    va_list values;
    va_start(values, format);
    vsnprintf(text, sizeof(text), format, values);
    va_end(values);
    const std::lock_guard guard(lock_);
    const auto at = now_ms();
    char stamp[32];
    snprintf(stamp, sizeof(stamp), "%4lld.%03lld ", static_cast<long long>(at / 1000), static_cast<long long>(at % 1000));
    file_ << stamp << text << "\n" << std::flush;
  }

 private:
  std::mutex lock_;
  std::ofstream file_;
};

}  // namespace standins
