#pragma once
#include "core/event.hpp"

namespace weldsail {

/// Name of an event's kind; a message is named by its body.
const char* event_kind(const Event& event);

}  // namespace weldsail
