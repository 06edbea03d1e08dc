#pragma once
#include <optional>

#include "core/event.hpp"

namespace weldsail {

/// The pipe that an event tells of; nothing for events of other kinds.
inline std::optional<std::uint64_t> event_pipe(const Event& event) {
  if (const auto* head = std::get_if<PipeHead>(&event)) return head->pipe;
  if (const auto* bytes = std::get_if<PipeBytes>(&event)) return bytes->pipe;
  if (const auto* ended = std::get_if<PipeEnded>(&event)) return ended->pipe;
  return std::nullopt;
}

}  // namespace weldsail
