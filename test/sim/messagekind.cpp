#include "sim/messagekind.hpp"

#include <iterator>

namespace weldsail::sim {

std::string message_kind(wire::Envelope::BodyCase body) {
  if (body == wire::Envelope::kValueAsk) return "value_ask";
  if (body == wire::Envelope::kValuePart) return "value_part";
  if (body == wire::Envelope::kBulkPiece) return "bulk_piece";
  if (body == wire::Envelope::kBulkAcknowledged) return "bulk_acknowledged";
  static constexpr const char* names[] = {"ping",    "prepare",  "promise",     "accept",         "accepted",
                                          "check",   "checked",  "form",        "news_ask",       "news",
                                          "operate", "operated", "counter_ask", "counter_report", "claim",
                                          "claimed", "copy_ask", "copy_answer", "fleet",          "fleet_ask"};
  const auto place = static_cast<std::size_t>(body) - wire::Envelope::kPing;
  return place < std::size(names) ? names[place] : "other";
}

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
