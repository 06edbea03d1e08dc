#pragma once
#include "core/control.hpp"

namespace weldsail {

/// Prefix of the records of learned values.
inline const std::string control_learned = "learned/";

/// Reads the newest learned configuration.
void control_use_document(ControlState& state);
/// Reads from the committed placement which control nodes an operator has drained.
void control_use_drains(ControlState& state, const std::vector<std::string>& drained);
/// Takes a committed value.
void control_learn(ControlState& state, const wire::RegisterValue& value, Moment now, Effects& effects);
/// Answers an operator's request, or carries it to the owner.
void control_operate(ControlState& state, const Asker& asker, const wire::Operate& operation, Moment now,
                     Effects& effects);
/// A core that this disk has accepted counts here at once.
void control_take_core(ControlState& state, Effects& effects);
/// Answers what the core's set is, or takes a change of it.
void control_operate_core(ControlState& state, const Asker& asker, const wire::Operate& operation, Effects& effects);
/// Begins the next change of the core's set that an operator has asked for.
void control_give_core(ControlState& state, Moment now, Effects& effects);
/// Answers the one who asked for the change of the core's set.
void control_core_done(ControlState& state, bool accepted, Effects& effects);
/// What a recovery of the core works on.
RecoverContext control_recovery(ControlState& state, Moment now);
/// What the placing duty works on; only where a dialect is set.
PlacingContext control_placing(ControlState& state, Moment now);
/// What relaying works on; only where a dialect is set.
RelayContext control_relay(ControlState& state, Moment now);
/// Takes another process's message.
void control_message(ControlState& state, const wire::Envelope& envelope, Moment now, Effects& effects);
/// Tells the parts what has become of a key.
void control_signal(ControlState& state, RegisterState& owner, RegisterSignal what, Moment now, Effects& effects);

}  // namespace weldsail
