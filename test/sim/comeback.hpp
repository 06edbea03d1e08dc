#pragma once
#include "sim/world.hpp"

namespace weldsail::sim {

/// Tells a process to end and starts it again the given time after it has ended, however long it takes to end (a core
/// process votes on until the core can do without it). Nothing is started where something else started it meanwhile.
void leave_and_return(World& world, const std::string& address, Moment away);

}  // namespace weldsail::sim
