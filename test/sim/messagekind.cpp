#include "sim/messagekind.hpp"

#include "core/traffic.hpp"

namespace weldsail::sim {

std::string message_kind(wire::Envelope::BodyCase body) { return message_kind_name(body); }

bool may_carry_configuration(wire::Envelope::BodyCase body) {
  switch (body) {
    case wire::Envelope::kPing:
    case wire::Envelope::kCheck:
    case wire::Envelope::kChecked:
    case wire::Envelope::kOperate:
    case wire::Envelope::kOperated:
    case wire::Envelope::kCounterAsk:
    case wire::Envelope::kCounterReport:
    case wire::Envelope::kClaim:
    case wire::Envelope::kClaimed:
    case wire::Envelope::kFleet:
    case wire::Envelope::kFleetAsk:
    case wire::Envelope::kBulkAcknowledged: return false;
    default: return true;
  }
}

}  // namespace weldsail::sim
