#include <catch2/catch.hpp>

#include "core/data.hpp"

using namespace weldsail;

namespace {

/// A data node with a call and a begun stream at a worker, as the product's own interface carries them.
DataState node_with_open_requests() {
  auto state = make_data({});
  for (const std::uint64_t request : {1, 2}) {
    auto& carry = state.carries[request];
    carry.request = request;
    carry.route.kind = request == 1 ? RouteKind::call : RouteKind::stream;
    carry.ledger.kind = carry.route.kind;
    carry.ledger.due = carry.ledger.hold_due = 1000000;
    carry.ledger.answer_begun = request == 2;
    // Its worker has just been heard.
    carry.last_bytes = 1000000;
    ledger_begin(carry.ledger, "w1", 100 + request, 0);
    state.pipes[100 + request] = request;
  }
  return state;
}

}  // namespace

TEST_CASE("a data node whose time to leave is over gives what it still carries its final answer", "[carry]") {
  auto state = node_with_open_requests();
  reduce(state, Leaving{}, 1000);
  bool call_ended = false;
  bool stream_ended = false;
  bool departed = false;
  for (const auto& effect : reduce(state, Ticked{1}, state.leave_due)) {
    const auto* answer = std::get_if<Answer>(&effect);
    const auto* end = std::get_if<AnswerEnd>(&effect);
    if (answer != nullptr && answer->request == 1) {
      CHECK(answer->status == 502);
      CHECK(answer->body.find("unknown") != std::string::npos);
      call_ended = true;
    }
    if (end != nullptr && end->request == 2) stream_ended = true;
    if (std::holds_alternative<Depart>(effect)) departed = true;
  }
  CHECK(call_ended);
  CHECK(stream_ended);
  CHECK(departed);
  CHECK(state.carries.empty());
}
