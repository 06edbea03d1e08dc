#pragma once
#include "core/placement/worker.hpp"

namespace weldsail {

/// The platform's list of workers, asked for by the duty holder only.
struct PlatformState {
  std::string address;
  Moment pace = 5000;
  Moment next_ask = 0;
  std::uint64_t pipe = 0;
  int answer = 0;
  Moment retry_after = 0;
  std::string body;
  /// Lists that were longer than what is read of one.
  std::uint64_t too_large = 0;
  std::map<std::string, std::string> services;
  bool known = false;
};

void platform_tick(PlatformState& state, PipeNumbers& numbers, Moment now, Effects& effects);
/// Takes a pipe's event; true when a new list has come in.
bool platform_pipe(PlatformState& state, const Event& event, Moment now, Effects& effects);

}  // namespace weldsail
