#include "core/bulk/topic.hpp"

namespace weldsail {
namespace {

/// Copies for a repair and those for a recovery answer asks of different cores: neither makes the other needless.
std::string copies_topic(const wire::CopyAnswer& answer) {
  return "copies " + std::to_string(answer.core_epoch()) + "." + std::to_string(answer.core_version());
}

std::string accept_topic(const std::string& key) { return "accept " + key; }

}  // namespace

std::string operate_topic(std::uint64_t request) { return "operate " + std::to_string(request); }

BulkPriority message_priority(const wire::Envelope& envelope) {
  switch (envelope.body_case()) {
    case wire::Envelope::kAccept:
    case wire::Envelope::kPromise:
    case wire::Envelope::kCopyAnswer:
    case wire::Envelope::kOperate: return BulkPriority::urgent;
    default: return BulkPriority::ordinary;
  }
}

MessageTopic message_topic(const wire::Envelope& envelope) {
  switch (envelope.body_case()) {
    // Whoever takes it refuses accepts of lower epochs from then on.
    case wire::Envelope::kPrepare: return {accept_topic(envelope.prepare().key()), false, envelope.prepare().epoch()};
    case wire::Envelope::kAccept:
      return {accept_topic(envelope.accept().key()), !envelope.accept().has_delta(), envelope.accept().epoch()};
    case wire::Envelope::kPromise: return {"promise " + envelope.promise().key(), true, envelope.promise().epoch()};
    case wire::Envelope::kCopyAnswer: return {copies_topic(envelope.copy_answer()), true};
    case wire::Envelope::kFleet: return {"fleet", envelope.fleet().base() == 0 && !envelope.fleet().same()};
    case wire::Envelope::kOperate: return {operate_topic(envelope.operate().request()), false};
    default: return {};
  }
}

}  // namespace weldsail
