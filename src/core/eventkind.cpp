#include "core/eventkind.hpp"

#include <array>

namespace weldsail {
namespace {

/// In the order of the alternatives of `Event`.
constexpr std::array names = {"started",    "tick",       "message",   "request", "request_gone",     "pipe_head",
                              "pipe_bytes", "pipe_ended", "persisted", "leaving", "settings_changed", "figures"};
static_assert(names.size() == std::variant_size_v<Event>);

}  // namespace

const char* event_kind(const Event& event) {
  if (const auto* message = std::get_if<MessageArrived>(&event))
    return message_kind_name(message->envelope.body_case());
  return names[event.index()];
}

}  // namespace weldsail
