// What the rule LOST says of each request of case 1.
#pragma once
#include "../common/standins.hpp"

namespace standins {

constexpr std::int64_t second = 1000;

/// What is known of one request.
struct Try {
  std::int64_t sent = 0;
  int front = 0;
  std::int64_t term = -1;
  std::int64_t ended = 0;
  int status = 0;
  bool whole = false;
  std::string at_worker;
};

/// 1 where an answer was lost, 0 where none was, 2 where too few requests were served to tell.
inline int judge(const std::map<std::string, Try>& tries, Record& record) {
  int lost = 0, excused = 0, whole = 0, refused = 0, late_taken = 0;
  for (const auto& [trial, item] : tries) {
    if (item.sent == 0) continue;
    if (item.whole && item.status == 200) ++whole;
    if (item.whole && item.status == 503) ++refused;
    if (item.term >= 0 && item.sent > item.term + 3000 && item.status == 200) ++late_taken;
    if (item.whole || item.at_worker.empty()) continue;
    const bool broke_off = item.at_worker.find("past its deadline") != std::string::npos;
    const bool planned = item.term >= 0 && item.ended <= item.term + 9 * second;
    const bool due = item.ended >= item.sent + 12 * second;
    if (broke_off || due || !planned) continue;
    // The worker is still at work when the machine cuts the answer; that excuses requests sent until 3 s after SIGTERM.
    const bool in_last_sixth = item.ended >= item.term + 8 * second * 5 / 6;
    if (in_last_sixth && item.sent <= item.term + 3 * second) {
      ++excused;
      continue;
    }
    ++lost;
    record.line("LOST %s: sent %lld ms after SIGTERM, cut %lld ms after it", trial.c_str(),
                 static_cast<long long>(item.sent - item.term), static_cast<long long>(item.ended - item.term));
  }
  record.line("%d whole, %d refused, %d taken later than 3 s after SIGTERM, %d cut with excuse, %d lost", whole, refused,
               late_taken, excused, lost);
  printf("%d whole, %d refused, %d taken later than 3 s after SIGTERM, %d cut with excuse, %d lost\n", whole, refused,
         late_taken, excused, lost);
  if (whole < 100) return 2;
  return lost > 0 ? 1 : 0;
}

}  // namespace standins
