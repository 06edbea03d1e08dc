#pragma once
#include "core/placement/command.hpp"

namespace weldsail {

/// Takes the end of an order's pipe: the order is under way, refused, or in doubt.
void command_order_answered(CommandState& state, WorkerBook& book, const PipeEnded& ended,
                            const CommandContext& context, Effects& effects);
/// Takes the end of a report's pipe: what the worker holds, and how its order ended.
void command_reported(CommandState& state, WorkerBook& book, const CommandContext& context, Effects& effects);

}  // namespace weldsail
