#pragma once
#include "sim/scenarios.hpp"

namespace weldsail::sim {

/// Steps of a change of the core's set, in their order.
enum class ChangeStep { proposed, committed, copying, filled, letting_go, ended };
/// What happens to a core disk first: the change that follows is what the second loss meets.
enum class FirstLoss { killed, told_to_leave, emptied };
/// What is lost when the step is reached.
enum class SecondLoss { core_holder, voter, joining, emptied, told_to_leave, all_power };

/// One case: machines of the core, losses that it must bear at once, and the two losses.
struct SecondLossCase {
  std::size_t machines = 3;
  std::uint32_t tolerated = 1;
  ChangeStep step = ChangeStep::proposed;
  FirstLoss first = FirstLoss::killed;
  SecondLoss second = SecondLoss::core_holder;
};

/// Longest time from the second loss until a change is acknowledged again, in milliseconds.
inline constexpr Moment takes_changes_within = 12000;
/// Longest time from the second loss until the core bears all tolerated losses again, in milliseconds.
inline constexpr Moment full_within = 20000;

/// The case that a seed stands for: 216 seeds in a row cover each step, second loss and size.
SecondLossCase second_loss_case(std::uint64_t seed);
/// Name of a case for messages.
std::string second_loss_name(const SecondLossCase& chosen);
ScenarioResult run_second_loss_case(std::uint64_t seed, const SecondLossCase& chosen);

}  // namespace weldsail::sim
