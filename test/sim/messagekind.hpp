#pragma once
#include <string>

#include "core/event.hpp"

namespace weldsail::sim {

/// Name of a message's kind, as tables of traffic show it.
std::string message_kind(wire::Envelope::BodyCase body);

/// True for the kinds that may carry a configuration or a part of it. Kinds that aren't known to carry anything else
/// count, so that a new kind can't evade the count.
bool may_carry_configuration(wire::Envelope::BodyCase body);

}  // namespace weldsail::sim
