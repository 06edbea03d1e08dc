#include <algorithm>

#include "core/control.hpp"
#include "core/json.hpp"

namespace weldsail {
namespace {

std::string workers_text(const ControlState& state, Moment now) {
  JsonText text;
  text.object().key("workers").array();
  for (const auto& record : state.steward.committed.workers()) {
    const auto found = state.steward.watch.views.find(record.address());
    const bool seen = found != state.steward.watch.views.end() && found->second.status;
    const bool present = seen && worker_present(state.steward.watch, found->second, now);
    text.object().field("address", record.address()).field("service", record.service());
    text.field("locality", record.locality()).field("phase", record.phase()).truth("present", present);
    text.truth("draining", (seen && found->second.status->draining) || worker_drained(state.steward.committed, record));
    if (seen) {
      text.field("instance", found->second.status->instance).number("running", found->second.status->running);
      text.key("models").object();
      for (const auto& [model, held] : found->second.status->models) text.field(model.c_str(), held.state);
      text.close().key("adapters").array();
      for (const auto& [adapter, phase] : found->second.status->adapters) text.item(adapter);
      text.end();
    }
    text.close();
  }
  text.end().close();
  return text.text();
}

std::string placements_text(const ControlState& state, Moment now) {
  const auto& committed = state.steward.committed;
  JsonText text;
  text.object().number("decision", committed.decision()).number("term", committed.term()).key("placements").array();
  for (const auto& unit : committed.units()) {
    const auto ready = ready_count(committed, state.steward.watch, unit.unit(), now);
    text.object().field("unit", unit.unit()).number("prefill", unit.vector().prefill());
    text.number("decode", unit.vector().decode());
    text.number("prefill_ready", static_cast<std::uint64_t>(ready.prefill));
    text.number("decode_ready", static_cast<std::uint64_t>(ready.decode));
    text.truth("pending", unit.pending()).truth("retiring", unit.retiring()).truth("cooling", unit.cooling());
    const auto clocks = state.steward.clocks.find(unit.unit());
    if (clocks != state.steward.clocks.end()) text.field("reason", clocks->second.reason);
    text.key("workers").array();
    for (const auto& record : committed.workers())
      if (holds_unit(record, unit.unit())) text.item(record.address());
    text.end().close();
  }
  text.end().key("drained").array();
  for (const auto& name : committed.drained()) text.item(name);
  text.end().close();
  return text.text();
}

std::string holds_text(const ControlState& state, Moment now) {
  JsonText text;
  text.object().key("holds").array();
  if (state.document) {
    const auto demand = demand_by_unit(state.steward.demand, state.member, config_units(*state.document), now);
    for (const auto& [unit, item] : demand) {
      if (item.waiting == 0 && item.running == 0) continue;
      text.object().field("unit", unit).number("waiting", item.waiting).number("running", item.running);
      text.number("oldest_ms", static_cast<std::uint64_t>(item.oldest)).close();
    }
  }
  text.end().close();
  return text.text();
}

}  // namespace

std::string control_status_text(const ControlState& state, Moment now) {
  static constexpr const char* cores[] = {"diskless", "blank", "bound", "formed"};
  JsonText text;
  text.object().field("program", "wscp").field("node", std::to_string(state.member.self.node()));
  text.field("core", cores[static_cast<int>(state.formation.phase)]);
  text.field("cluster", std::to_string(state.formation.core.cluster()));
  text.number("core_version", state.formation.core.version()).key("core_disks").array();
  for (const auto& disk : state.formation.core.disks()) text.item(std::to_string(disk.disk()));
  text.end().key("core_next").array();
  for (const auto& disk : state.formation.core.next()) text.item(std::to_string(disk.disk()));
  text.end().number("config_version", state.document_version).key("holds").object();
  for (const auto& [key, owner] : state.owners)
    if (owner.phase == OwnerPhase::holding) text.truth(key.c_str(), register_may_act(owner, now));
  text.close().key("owners").object();
  for (const auto* key : {config_key, placement_key, core_key})
    if (const auto* holder = duty_holder(state.member, key)) text.field(key, holder->address());
  text.close();
  text.key("doubtful_pulls").array();
  for (const auto& [address, doubt] : state.steward.orders.pulls.doubts) text.item(address);
  text.end().number("unsynced", state.acceptor.waiting.size() + state.vote.waiting.size());
  text.number("votes", state.vote.votes.size())
      .truth("drained", state.duty.drained.contains(state.member.self.address()));
  text.number("in_hand", state.operate.forwarded.size());
  write_delivery(state.news, state.bulk, text);
  text.number("orders_sent", state.steward.orders.sent + state.placing.command.sent)
      .truth("relay", state.relay.active)
      .number("lists_read", state.relay.lists_read)
      .truth("leaving", state.departure.deadline.has_value())
      .close();
  return text.text();
}

void control_operate_placement(ControlState& state, const Asker& asker, const wire::Operate& operation, Moment now,
                               Effects& effects) {
  const bool both = state.options.dialect != nullptr;
  if (operation.path() == "/v1/workers")
    operate_answer(state.member, asker, 200, both ? placing_workers_text(state.placing) : workers_text(state, now),
                   effects);
  else if (operation.path() == "/v1/placements")
    operate_answer(state.member, asker, 200, both ? placing_text(state.placing) : placements_text(state, now), effects);
  else if (operation.path() == "/v1/holds")
    operate_answer(state.member, asker, 200, both ? placing_holds_text(state.placing, now) : holds_text(state, now),
                   effects);
  else if (operation.path() == "/v1/drain" && operation.method() == "POST") {
    rapidjson::Document body;
    body.Parse<json_strict>(operation.body().data(), operation.body().size());
    const auto name = body.HasParseError() ? std::string() : json_string_at(body, "/name");
    const bool known = name.starts_with("worker:") || name.starts_with("node:") || name.starts_with("locality:");
    if (!known)
      operate_refuse(state.member, asker, 400, "name_unusable", "refused", {}, effects);
    else
      state.drains.push_back({asker, name, json_bool_at(body, "/drained", true)});
  } else {
    operate_refuse(state.member, asker, 404, "no_such_path", "refused", {}, effects);
  }
}

}  // namespace weldsail
