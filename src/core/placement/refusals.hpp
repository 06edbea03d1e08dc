#pragma once
#include <map>

#include "core/event.hpp"

namespace weldsail {

/// What was refused isn't ordered again before a pause is over, which doubles with each further refusal.
struct OrderRefusal {
  Moment until = 0;
  Moment pause = 0;
};

/// Refusals by the name of what was refused.
using Refusals = std::map<std::string, OrderRefusal>;

/// Notes a refusal; the pause is between the two times.
void refusals_add(Refusals& refusals, const std::string& name, Moment least, Moment most, Moment now);
/// True while the pause after the last refusal isn't over.
bool refusals_active(const Refusals& refusals, const std::string& name, Moment now);

}  // namespace weldsail
