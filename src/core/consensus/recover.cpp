#include "core/consensus/recover.hpp"

#include <algorithm>

#include "core/json.hpp"

namespace weldsail {
namespace {

/// Rounds and versions that the lost disks may have used unseen.
constexpr std::uint64_t unseen = 1000;

const char* const losses =
    "changes that only the lost disks had accepted; idempotency keys whose votes only they held (such a call may run "
    "again); the old core must never come back: wipe its disks";

std::string fault_of(const RecoverContext& context, const rapidjson::Document& body) {
  const auto& core = context.formation.core;
  if (context.formation.phase != CorePhase::formed || !core_old(core, context.member.self.disk()))
    return "this process has no disk of the core";
  if (json_string_at(body, "/cluster") != std::to_string(core.cluster())) return "cluster isn't this cluster's id";
  if (json_string_at(body, "/disk") != std::to_string(context.member.self.disk()))
    return "disk isn't this process's disk";
  std::set<std::uint64_t> live;
  for (const auto disk : core_members(core))
    if (member_disk_live(context.member, disk)) live.insert(disk);
  if (core_majority(core, live)) return "a majority of the core's disks is there; nothing needs to be recovered";
  if (!json_bool_at(body, "/accept_loss")) return std::string("accept_loss must be true; this may lose: ") + losses;
  return {};
}

void keep_newest(const RecoverContext& context) {
  for (const auto& [key, value] : context.news.values) {
    auto& copy = context.acceptor.copies[key];
    if (value.version() <= copy.version) continue;
    copy.accepted_epoch = std::max(copy.accepted_epoch, value.epoch());
    copy.version = value.version();
    copy.value = value.value();
  }
}

void raise(RecoverState& state, const RecoverContext& context) {
  const auto seat = core_seat(context.formation.core, context.member.self.disk());
  std::uint64_t highest = 0;
  for (const auto& [key, copy] : context.acceptor.copies)
    highest = std::max({highest, copy.promised, copy.accepted_epoch});
  const auto epoch = (highest / epoch_stride + unseen) * epoch_stride + seat;
  for (auto& [key, copy] : context.acceptor.copies) {
    copy.promised = copy.accepted_epoch = epoch;
    copy.version += copy.version == 0 ? 0 : unseen;
    if (wire::ConfigValue value; key == config_key && copy.version != 0 && value.ParseFromString(copy.value)) {
      value.set_version(copy.version);
      copy.value = value.SerializeAsString();
      state.config_version = copy.version;
    }
  }
  wire::Core core;
  core.set_cluster(context.formation.core.cluster());
  core.set_epoch(epoch);
  core.set_version(context.formation.core.version() + unseen);
  core.set_bound(true);
  core.set_formed(true);
  core.set_highest_seat(context.formation.core.highest_seat());
  auto* disk = core.add_disks();
  disk->set_disk(context.member.self.disk());
  disk->set_seat(seat);
  context.acceptor.copies[core_key] = {epoch, epoch, core.version(), core.SerializeAsString()};
}

void answer(RecoverState& state, const RecoverContext& context, bool kept, Effects& effects) {
  JsonText text;
  text.object().field("outcome", kept ? "accepted" : "refused").number("config_version", state.config_version);
  text.field("may_be_lost", losses).field("next", "add two or more disks with: core add ADDRESS").close();
  operate_answer(context.member, *state.asker, kept ? 200 : 503, text.text(), effects);
  state.asker.reset();
}

}  // namespace

void recover_ask(RecoverState& state, const RecoverContext& context, const Asker& asker, const wire::Operate& operation,
                 Effects& effects) {
  rapidjson::Document body;
  body.Parse<json_strict>(operation.body().data(), operation.body().size());
  if (operation.method() != "POST" || body.HasParseError() || !body.IsObject())
    return operate_refuse(context.member, asker, 400, "malformed", "refused", {}, effects);
  const auto fault = state.asker ? std::string("a recovery is under way") : fault_of(context, body);
  if (!fault.empty()) return operate_refuse(context.member, asker, 409, fault, "refused", {}, effects);
  state.asker = asker;
  state.begun = context.now;
  state.token = 0;
  state.awaited.clear();
  for (const auto disk : core_members(context.formation.core)) {
    const auto* entry = find_disk(context.member, disk);
    if (disk == context.member.self.disk() || entry == nullptr || !member_disk_live(context.member, disk)) continue;
    state.awaited.insert(disk);
    auto envelope = member_envelope(context.member, entry->node());
    envelope.mutable_copy_ask();
    effects.push_back(SendMessage{entry->address(), std::move(envelope)});
  }
  note(effects, "core.recover", {{"disk", std::to_string(context.member.self.disk())}}, true);
}

void recover_answered(RecoverState& state, const RecoverContext& context, const wire::Envelope& envelope) {
  if (!state.asker || state.token != 0 || state.awaited.erase(envelope.disk()) == 0) return;
  repair_merge(context.acceptor, context.vote, envelope.copy_answer(), context.now);
}

void recover_tick(RecoverState& state, const RecoverContext& context, Effects& effects) {
  if (!state.asker || state.token != 0) return;
  if (!state.awaited.empty() && context.now - state.begun < state.bound) return;
  keep_newest(context);
  raise(state, context);
  state.token = recover_tokens + static_cast<std::uint64_t>(context.now);
  auto records = acceptor_records(context.acceptor);
  for (auto& record : vote_records(context.vote)) records.push_back(std::move(record));
  records.emplace_back("core", context.acceptor.copies[core_key].value);
  effects.push_back(Persist{state.token, std::move(records)});
}

void recover_persisted(RecoverState& state, const RecoverContext& context, const Persisted& event, Effects& effects) {
  if (!state.asker || state.token == 0 || event.token != state.token) return;
  answer(state, context, event.kept, effects);
}

}  // namespace weldsail
