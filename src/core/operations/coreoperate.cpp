#include <algorithm>
#include <charconv>

#include "core/controlparts.hpp"
#include "core/json.hpp"

namespace weldsail {
namespace {

std::uint64_t disk_of(const ControlState& state, const std::string& name) {
  std::uint64_t number = 0;
  const auto read = std::from_chars(name.data(), name.data() + name.size(), number);
  if (read.ec == std::errc() && read.ptr == name.data() + name.size()) return number;
  const wire::Member* best = nullptr;
  const auto consider = [&](const wire::Member& entry) {
    if (entry.address() != name || entry.disk() == 0) return;
    if (best == nullptr || entry.state() < best->state()) best = &entry;
  };
  consider(state.member.self);
  for (const auto& [node, view] : state.member.others) consider(view.entry);
  return best == nullptr ? 0 : best->disk();
}

void write_disks(JsonText& text, const ControlState& state,
                 const google::protobuf::RepeatedPtrField<wire::CoreDisk>& disks) {
  text.array();
  for (const auto& disk : disks) {
    const auto* entry = find_disk(state.member, disk.disk());
    text.object().field("disk", std::to_string(disk.disk())).number("seat", disk.seat());
    text.field("address", entry == nullptr ? "" : entry->address());
    text.field("state", entry == nullptr ? "unseen" : member_state_name(entry->state())).close();
  }
  text.end();
}

std::string core_text(const ControlState& state) {
  const auto& core = state.formation.core;
  JsonText text;
  text.object().field("cluster", std::to_string(core.cluster())).number("version", core.version());
  write_disks(text.key("disks"), state, core.disks());
  write_disks(text.key("next"), state, core.next());
  text.key("spares").array();
  for (const auto* entry : live_members(state.member, Program::control))
    if (entry->disk() != 0 && core_seat(core, entry->disk()) == 0) text.item(entry->address());
  text.end().close();
  return text.text();
}

}  // namespace

void control_operate_core(ControlState& state, const Asker& asker, const wire::Operate& operation, Effects& effects) {
  if (operation.method() == "GET") return operate_answer(state.member, asker, 200, core_text(state), effects);
  rapidjson::Document body;
  body.Parse<json_strict>(operation.body().data(), operation.body().size());
  CoreJob job{asker, {}, {}};
  if (!body.HasParseError() && body.IsObject()) {
    job.let_go = json_string_at(body, "/let_go");
    job.take_in = json_string_at(body, "/take_in");
  }
  if (operation.method() != "POST" || (job.let_go.empty() && job.take_in.empty()))
    return operate_refuse(state.member, asker, 400, "change_unusable", "refused", {}, effects);
  state.core_jobs.push_back(std::move(job));
}

void control_give_core(ControlState& state, Moment now, Effects& effects) {
  auto& owner = state.owners[core_key];
  if (state.core_jobs.empty() || owner.phase != OwnerPhase::holding || owner.proposal) return;
  const auto job = state.core_jobs.front();
  state.core_jobs.pop_front();
  const auto let_go = job.let_go.empty() ? 0 : disk_of(state, job.let_go);
  const auto take_in = job.take_in.empty() ? 0 : disk_of(state, job.take_in);
  std::string fault;
  if (!job.let_go.empty() && let_go == 0) fault = "let_go names no disk";
  if (!job.take_in.empty() && take_in == 0) fault = "take_in names no disk";
  if (fault.empty()) fault = repair_set(state.member, state.formation, owner, let_go, take_in, now, effects);
  if (fault.empty())
    state.core_under_way = job.asker;
  else
    operate_refuse(state.member, job.asker, 409, fault, "refused", {}, effects);
}

void control_core_done(ControlState& state, bool accepted, Effects& effects) {
  if (state.core_under_way) {
    if (accepted)
      operate_answer(state.member, *state.core_under_way, 200, R"({"outcome":"accepted"})", effects);
    else
      operate_refuse(state.member, *state.core_under_way, 504, "owner_lost", "unknown", {}, effects);
  }
  state.core_under_way.reset();
  if (accepted) return;
  for (const auto& job : state.core_jobs)
    operate_refuse(state.member, job.asker, 503, "owner_lost", "refused", {}, effects);
  state.core_jobs.clear();
}

}  // namespace weldsail
