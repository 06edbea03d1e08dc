#include "core/traffic.hpp"

#include <algorithm>

#include "wire.pb.h"

namespace weldsail {

const char* message_kind_name(int kind) {
  using Envelope = wire::Envelope;
  switch (kind) {
    case Envelope::kPing: return "ping";
    case Envelope::kPrepare: return "prepare";
    case Envelope::kPromise: return "promise";
    case Envelope::kAccept: return "accept";
    case Envelope::kAccepted: return "accepted";
    case Envelope::kCheck: return "check";
    case Envelope::kChecked: return "checked";
    case Envelope::kForm: return "form";
    case Envelope::kNewsAsk: return "news_ask";
    case Envelope::kNews: return "news";
    case Envelope::kOperate: return "operate";
    case Envelope::kOperated: return "operated";
    case Envelope::kCounterAsk: return "counter_ask";
    case Envelope::kCounterReport: return "counter_report";
    case Envelope::kClaim: return "claim";
    case Envelope::kClaimed: return "claimed";
    case Envelope::kCopyAsk: return "copy_ask";
    case Envelope::kCopyAnswer: return "copy_answer";
    case Envelope::kFleet: return "fleet";
    case Envelope::kFleetAsk: return "fleet_ask";
    case Envelope::kValueAsk: return "value_ask";
    case Envelope::kValuePart: return "value_part";
    case Envelope::kBulkPiece: return "bulk_piece";
    case Envelope::kBulkAcknowledged: return "bulk_acknowledged";
    default: return "other";
  }
}

TrafficByKind traffic_since(const TrafficByKind& before, const TrafficByKind& now) {
  auto result = now;
  for (const auto& [kind, former] : before) {
    result[kind].messages -= former.messages;
    result[kind].bytes -= former.bytes;
  }
  return result;
}

std::string traffic_text(const TrafficByKind& traffic, std::size_t most) {
  constexpr std::uint64_t kilobyte = 1000;
  std::vector<std::pair<int, KindTraffic>> order(traffic.begin(), traffic.end());
  std::ranges::stable_sort(order, std::ranges::greater{}, [](const auto& item) { return item.second.bytes; });
  std::string text;
  for (const auto& [kind, counted] : order) {
    if (most-- == 0 || counted.messages == 0) break;
    if (!text.empty()) text += ' ';
    text += message_kind_name(kind);
    text += ':' + std::to_string(counted.messages) + ':' + std::to_string(counted.bytes / kilobyte);
  }
  return text;
}

}  // namespace weldsail
