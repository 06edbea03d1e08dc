#pragma once
#include "core/data.hpp"

/// Parts of the data-plane process's step.
namespace weldsail {

/// Takes what a core disk says it has accepted, until the first configuration is in force.
void data_hear_first(DataState& state, const wire::Envelope& envelope);
/// Asks all core disks again and again, until then.
void data_ask_first(DataState& state, Moment now, Effects& effects);
/// Puts the newest configuration here in force, where it may be and is on the own disk.
void data_use_config(DataState& state, Moment now, Effects& effects);

}  // namespace weldsail
