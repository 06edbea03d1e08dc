#include "core/json.hpp"
#include "core/placement/placing.hpp"

namespace weldsail {

std::string placing_workers_text(const PlacingState& state) {
  JsonText text;
  text.object().key("workers").array();
  for (const auto& [identity, book] : state.command.books) {
    text.object().field("address", book.entry.address()).field("service", book.entry.service());
    text.field("locality", book.entry.locality()).field("instance", identity).field("phase", "both");
    text.truth("draining", book.entry.draining()).truth("present", book.failures == 0);
    text.truth("under_order", book.order.has_value()).number("running", book.running);
    text.key("models").object();
    for (const auto& [model, adapters] : book.held) {
      text.key(model.c_str()).array();
      for (const auto& adapter : adapters) text.item(adapter);
      text.end();
    }
    text.close().close();
  }
  text.end().close();
  return text.text();
}

std::string placing_text(const PlacingState& state) {
  JsonText text;
  text.object().number("decision", state.committed.decision()).number("term", state.committed.term());
  text.key("placements").array();
  for (const auto& [unit, count] : state.plan.counts) {
    text.object().field("unit", unit).number("count", count.count());
    text.truth("pending", count.pending()).truth("retiring", count.retiring()).truth("cooling", count.cooling());
    const auto clocks = state.clocks.find(unit);
    if (clocks != state.clocks.end()) text.field("reason", clocks->second.reason);
    text.key("workers").array();
    for (const auto& identity : planned_holders(state.plan, unit)) text.item(state.plan.workers.at(identity).address);
    text.end().close();
  }
  text.end().key("drained").array();
  for (const auto& name : state.committed.drained()) text.item(name);
  text.end().close();
  return text.text();
}

std::string placing_holds_text(const PlacingState& state, Moment now) {
  JsonText text;
  text.object().key("holds").array();
  for (const auto& unit : state.wants.active) {
    const auto& want = state.wants.units.at(unit);
    const auto oldest = want.demand.waiting > 0 ? wants_oldest(want, now) : 0;
    text.object().field("unit", unit).number("waiting", want.demand.waiting).number("running", want.demand.running);
    text.number("oldest_ms", static_cast<std::uint64_t>(oldest)).close();
  }
  text.end().close();
  return text.text();
}

}  // namespace weldsail
