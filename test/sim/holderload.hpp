#pragma once
#include "sim/placingfleet.hpp"

namespace weldsail::sim {

/// What events cost a control process, in milliseconds of its own thread.
struct EventPrices {
  double tick = 20;
  double message = 0.25;
  double kilobyte = 0.25;
  double pipe = 0.4;
};

/// What a holder with little processor time has done.
struct HolderLoad {
  Starved starved;
  /// Longest wait of a worker's answer, as an upper bound of the histogram's, in milliseconds.
  Moment answer_wait_most = 0;
  std::uint64_t store_loads = 0;
  std::uint64_t messages_dropped = 0;
  /// Share of requests that began.
  double began = 0;
  std::vector<std::string> faults;
};

/// A placement's holder to which many data nodes report more than its thread can take, while rare models take turns at
/// the workers.
HolderLoad run_holder_load(std::uint64_t seed, const EventPrices& prices);

}  // namespace weldsail::sim
