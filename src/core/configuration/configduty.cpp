#include "core/configuration/configduty.hpp"

#include <algorithm>
#include <charconv>

#include "core/configuration/config.hpp"
#include "core/configuration/configanswers.hpp"
#include "core/configuration/pathduty.hpp"
#include "core/json.hpp"
#include "core/membership/rendezvous.hpp"

namespace weldsail {
namespace {

/// Most changes that the history lists.
constexpr std::size_t history_limit = 256;
/// An owner that no majority confirms says so after this part of the bound; its forwarders wait a little longer.
constexpr Moment answers_per_bound = 4;

std::optional<std::uint64_t> read_base(const std::string& base) {
  std::uint64_t number = 0;
  const auto read = std::from_chars(base.data(), base.data() + base.size(), number);
  if (read.ec != std::errc() || read.ptr != base.data() + base.size()) return std::nullopt;
  return number;
}

bool changes_path(const wire::Operate& operation) {
  return (operation.method() == "PUT" && operation.path() == config_path) ||
         (operation.method() == "POST" && operation.path() == "/v1/config/change");
}

/// The number that changes are built on: the operator's own where documents have one, else the register's version.
std::uint64_t current_number(const ConfigDutyState& state) {
  return state.dialect != nullptr ? state.revision : state.current.version();
}

void propose(ConfigDutyState& state, const MemberState& member, const wire::Core& core, RegisterState& owner,
             ConfigJob job, const std::string& document, Moment now, Effects& effects) {
  const auto& operation = job.operation;
  auto next = state.current;
  next.set_version(owner.version + 1);
  next.set_document(document);
  const auto number = state.dialect != nullptr ? state.dialect->read_config(document).config.revision : next.version();
  taken_add(*next.mutable_taken(), {job.fingerprint, current_number(state), number}, state.remembered);
  auto* change = next.add_history();
  change->set_id(operation.change());
  change->set_version(next.version());
  change->set_digest(std::to_string(digest(document)));
  change->set_bytes(document.size());
  const auto listed = static_cast<int>(std::min(history_limit, state.remembered));
  if (next.history_size() > listed) next.mutable_history()->DeleteSubrange(0, next.history_size() - listed);
  note(effects, "config.propose", {{"version", std::to_string(next.version())}, {"change", operation.change()}});
  register_propose(owner, member, core, next.SerializeAsString(), now, effects);
  state.under_way = std::move(job);
}

/// True if an order with the identity of a listed change can be that change. Only an amendment's identity holds its
/// base; a whole configuration is another change where it builds on the number that the listed one brought, or a later.
bool may_be_listed(const ConfigDutyState& state, const ConfigJob& job, const wire::Change& listed) {
  const auto base = read_base(job.operation.base());
  if (!base) return false;
  if (state.dialect == nullptr) return *base < listed.version();
  if (job.operation.method() == "POST") return true;
  return *base < state.dialect->read_config(job.operation.body()).config.revision;
}

/// Version of a change that was taken before: the same content on the same base. What a former release took is known by
/// its identity alone.
std::optional<std::uint64_t> taken_version(const ConfigDutyState& state, const ConfigJob& job) {
  const auto& value = state.current;
  const auto* listed = listed_change(value, job.operation.change());
  if (const auto recorded = taken_find(value.taken(), job.fingerprint)) {
    if (read_base(job.operation.base()) != recorded->base) return std::nullopt;
    return listed != nullptr ? listed->version() : value.version() - recorded->later;
  }
  const auto covered = taken_complete(value.taken(), current_number(state)) ? taken_count(value.taken()) : 0;
  if (listed == nullptr || listed->version() + covered > value.version()) return std::nullopt;
  return may_be_listed(state, job, *listed) ? std::optional(listed->version()) : std::nullopt;
}

/// True when a change may be one that was taken longer ago than is remembered.
bool may_be_forgotten(const ConfigDutyState& state, const ConfigJob& job) {
  const auto base = read_base(job.operation.base());
  const auto number = current_number(state);
  const bool all_listed = static_cast<std::uint64_t>(state.current.history_size()) == state.current.version();
  if (!base || all_listed) return false;
  return *base < (taken_complete(state.current.taken(), number) ? state.current.taken().first_base() : number);
}

/// True once a majority has confirmed this owner in a round that began after the job came: only then are its content's
/// repeats, refusals and reads known not to be stale. A proposal needs no such proof, as it needs a majority itself.
bool confirmed_since(const RegisterState& owner, const ConfigJob& job) { return owner.confirmed > job.arrived; }

/// False while the answer waits for that.
bool begin_paths(ConfigDutyState& state, const MemberState& member, const wire::Core& core, RegisterState& owner,
                 const ConfigJob& job, Moment now, Effects& effects) {
  const auto decision = path_change(*state.dialect, state.current.document(), state.revision, job.operation);
  if (decision.status == 200) {
    propose(state, member, core, owner, job, decision.document, now, effects);
    return true;
  }
  if (!confirmed_since(owner, job)) return false;
  operate_answer(member, job.asker, decision.status, operate_faults(decision.faults, job.operation.change()), effects);
  return true;
}

/// False while the change has to wait.
bool begin_change(ConfigDutyState& state, const MemberState& member, const wire::Core& core, RegisterState& owner,
                  const ConfigJob& job, Moment now, Effects& effects) {
  const auto& operation = job.operation;
  const bool confirmed = confirmed_since(owner, job);
  if (const auto version = taken_version(state, job)) {
    if (!confirmed) return false;
    operate_answer(member, job.asker, 200, accepted_text(operation.change(), *version), effects,
                   std::to_string(*version));
    return true;
  }
  if (may_be_forgotten(state, job)) {
    operate_refuse(member, job.asker, 504, "change_forgotten", "unknown", operation.change(), effects);
    return true;
  }
  if (state.dialect != nullptr) return begin_paths(state, member, core, owner, job, now, effects);
  const auto base = read_base(operation.base());
  if (!base) {
    if (!confirmed) return false;
    operate_refuse(member, job.asker, 400, "base_missing", "refused", operation.change(), effects);
    return true;
  }
  if (*base != state.current.version() || listed_change(state.current, operation.change()) != nullptr) {
    if (!confirmed) return false;
    operate_answer(member, job.asker, 409, conflict_text(operation.change(), state.current.version()), effects,
                   std::to_string(state.current.version()));
    return true;
  }
  auto document = operation.body();
  if (operation.method() == "POST") {
    auto changed = change_config(state.current.document(), operation.body());
    if (!changed) {
      if (!confirmed) return false;
      operate_answer(member, job.asker, 422, operate_faults(changed.error(), operation.change()), effects);
      return true;
    }
    document = std::move(*changed);
  }
  const auto read = read_config(document);
  if (!read.faults.empty()) {
    if (!confirmed) return false;
    operate_answer(member, job.asker, 422, operate_faults(read.faults, operation.change()), effects);
    return true;
  }
  propose(state, member, core, owner, job, document, now, effects);
  return true;
}

/// Tells whoever asked for what no majority has confirmed in time; none of it has been proposed here.
void refuse_late(std::deque<ConfigJob>& jobs, const MemberState& member, Moment latest, Effects& effects) {
  while (!jobs.empty() && jobs.front().arrived <= latest) {
    operate_refuse(member, jobs.front().asker, 503, "unconfirmed", operate_unheard(jobs.front().operation),
                   jobs.front().operation.change(), effects);
    jobs.pop_front();
  }
}

void answer_late(ConfigDutyState& state, const MemberState& member, Moment now, Effects& effects) {
  const auto latest = now - state.bound / answers_per_bound;
  refuse_late(state.changes, member, latest, effects);
  refuse_late(state.reads, member, latest, effects);
  auto& job = state.under_way;
  if (!job || job->answered || job->arrived > latest) return;
  operate_refuse(member, job->asker, 504, "unconfirmed", "unknown", job->operation.change(), effects);
  job->answered = true;
}

}  // namespace

void config_held(ConfigDutyState& state, const RegisterState& owner) {
  state.current.Clear();
  state.current.ParseFromString(owner.value);
  const bool numbered = state.dialect != nullptr && state.current.version() != 0;
  state.revision = numbered ? state.dialect->read_config(state.current.document()).config.revision : 0;
}

void config_take(ConfigDutyState& state, ConfigJob job) {
  if (changes_path(job.operation)) job.fingerprint = change_fingerprint(job.operation, state.dialect != nullptr);
  (changes_path(job.operation) ? state.changes : state.reads).push_back(std::move(job));
}

void config_tick(ConfigDutyState& state, const MemberState& member, const wire::Core& core, RegisterState& owner,
                 Moment now, Effects& effects) {
  if (owner.phase != OwnerPhase::holding) return;
  while (!state.changes.empty() && !owner.proposal) {
    auto& job = state.changes.front();
    if (job.unconfirmed && !confirmed_since(owner, job)) break;
    job.unconfirmed = !begin_change(state, member, core, owner, job, now, effects);
    if (job.unconfirmed) break;
    state.changes.pop_front();
  }
  while (!state.reads.empty() && confirmed_since(owner, state.reads.front())) {
    answer_config_read(state.current, member, state.reads.front(), effects);
    state.reads.pop_front();
  }
  answer_late(state, member, now, effects);
}

void config_committed(ConfigDutyState& state, const MemberState& member, const RegisterState& owner, Effects& effects) {
  config_held(state, owner);
  note(effects, "config.accepted", {{"version", std::to_string(state.current.version())}});
  if (!state.under_way) return;
  const auto* change = listed_change(state.current, state.under_way->operation.change());
  if (change != nullptr && !state.under_way->answered)
    operate_answer(member, state.under_way->asker, 200, accepted_text(change->id(), change->version()), effects,
                   std::to_string(change->version()));
  state.under_way.reset();
}

void config_lost(ConfigDutyState& state, const MemberState& member, Effects& effects) {
  if (state.under_way && !state.under_way->answered)
    operate_refuse(member, state.under_way->asker, 504, "owner_lost", "unknown", state.under_way->operation.change(),
                   effects);
  state.under_way.reset();
  for (const auto& job : state.changes)
    operate_refuse(member, job.asker, 503, "owner_lost", operate_unheard(job.operation), job.operation.change(),
                   effects);
  for (const auto& job : state.reads) operate_refuse(member, job.asker, 503, "owner_lost", "refused", {}, effects);
  state.changes.clear();
  state.reads.clear();
}

}  // namespace weldsail
