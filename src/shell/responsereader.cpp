#include "shell/responsereader.hpp"

#include <algorithm>

namespace weldsail {
namespace {

constexpr int switching_protocols = 101;
constexpr int first_final_status = 200;

}  // namespace

ReadState ResponseReader::broken(const char* reason) {
  reason_ = reason;
  return ReadState::broken;
}

ReadState ResponseReader::take(std::string_view& bytes) {
  if (!in_body_)
    if (const auto state = take_heads(bytes); state != ReadState::whole) return state;
  return take_rest(bytes);
}

ReadState ResponseReader::take_heads(std::string_view& bytes) {
  while (!in_body_) {
    const auto scan = scanner_.scan(bytes);
    if (scan == HeadScan::malformed) return broken("malformed head");
    if (scan == HeadScan::incomplete) return ReadState::more;
    auto head = read_response_head(bytes.substr(0, scanner_.size()), head_request_);
    if (!head) return broken("malformed head");
    bytes.remove_prefix(scanner_.size());
    scanner_ = {};
    if (head->status < first_final_status && head->status != switching_protocols) continue;
    in_body_ = true;
    framing_ = head->framing;
    left_ = head->length;
    head_ = std::move(head);
  }
  return head_->status == switching_protocols ? broken("switched protocols") : ReadState::whole;
}

ReadState ResponseReader::take_rest(std::string_view& bytes) {
  if (framing_ == BodyFraming::none) return ReadState::whole;
  if (framing_ == BodyFraming::chunks) {
    const auto state = chunks_.take(bytes, body_);
    return state == ReadState::broken ? broken("malformed chunk") : state;
  }
  // Without a length nothing but the close ends the body, and a close may also be a cut: such a body is never whole.
  const bool told = framing_ == BodyFraming::length;
  const auto count = told ? std::min<std::uint64_t>(left_, bytes.size()) : bytes.size();
  body_.append(bytes, 0, count);
  bytes.remove_prefix(count);
  if (told) left_ -= count;
  return told && left_ == 0 ? ReadState::whole : ReadState::more;
}

}  // namespace weldsail
