#pragma once
#include "core/event.hpp"

namespace weldsail {

/// Bounds that a deployment sets; times in milliseconds. Constants elsewhere are ratios to these.
struct Limits {
  /// Calm for this long, a machine counts as in touch.
  Moment contact = 3000;
  Moment acknowledge = 4000;
  /// After its start a new or emptied machine counts as lost for this long.
  Moment catch_up = 4000;
  /// Longest time that a leaving worker may still be sent work.
  Moment drain = 3000;
  /// From the request to leave until the process is ended.
  Moment grace = 8000;
  /// A request that comes later than this after the request to leave is owed its whole answer.
  Moment owed_after = 3000;
  /// Longest time until an acknowledged configuration is in force.
  Moment adopt = 2000;
  double budget_ratio = 0.2;
  Moment budget_window = 10000;
  double budget_margin = 10;
  Moment recovery = 12000;
  /// Longest time for an event of a stream to pass through.
  Moment transit = 120;
  /// Two holders never order one worker within this time.
  Moment lease = 3000;
  /// Loads from the store are counted over this window.
  Moment ceiling_window = 5000;
  double ceiling_overshoot = 1.1;
  /// Address of the platform's list, calls a second that all nodes may make, and how late it is.
  std::string list_address;
  double list_rate = 10;
  Moment list_delay = 1000;
  /// Core machines that may be lost at once.
  std::uint32_t lost_machines = 1;
  /// True only at the very first start of the whole system.
  bool first_start = false;
};

}  // namespace weldsail
