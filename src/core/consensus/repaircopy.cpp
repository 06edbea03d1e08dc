#include <algorithm>

#include "core/consensus/repair.hpp"

namespace weldsail {

void repair_merge(AcceptorState& acceptor, VoteState& vote, const wire::CopyAnswer& answer, Moment now) {
  for (const auto& part : answer.copies()) {
    auto& copy = acceptor.copies[part.key()];
    copy.promised = std::max(copy.promised, part.promised());
    if (std::pair(part.accepted_epoch(), part.version()) <= std::pair(copy.accepted_epoch, copy.version)) continue;
    copy.accepted_epoch = part.accepted_epoch();
    copy.version = part.version();
    copy.value = part.value();
  }
  for (const auto& item : answer.votes()) {
    auto& mine = vote.votes[item.key()];
    mine.given = now;
    mine.claimer = mine.claimer.empty() || mine.claimer == item.claimer() ? item.claimer() : "?";
  }
}

void repair_copy(RepairState& state, const MemberState& member, const FormationState& formation, Moment now,
                 Effects& effects) {
  const auto& core = formation.core;
  const auto tag = core_tag(core);
  const bool joins = core_coming(core, member.self.disk()) && !core_old(core, member.self.disk());
  if (!joins || state.committed < tag || CoreTag{member.self.copied_epoch(), member.self.copied_version()} == tag)
    return;
  if (state.copying != tag) state.copied_from.clear();
  state.copying = tag;
  const bool being_kept = std::ranges::any_of(state.waiting, [&](const auto& item) { return item.second == tag; });
  if (being_kept || now - state.asked < state.bound / 3) return;
  state.asked = now;
  for (const auto& disk : core.disks()) {
    const auto* entry = find_disk(member, disk.disk());
    if (entry == nullptr || state.copied_from.contains(disk.disk())) continue;
    auto envelope = member_envelope(member, entry->node());
    envelope.mutable_copy_ask()->set_core_epoch(tag.first);
    envelope.mutable_copy_ask()->set_core_version(tag.second);
    effects.push_back(SendMessage{entry->address(), std::move(envelope)});
  }
}

void repair_asked(const AcceptorState& acceptor, const VoteState& vote, const MemberState& member,
                  const wire::Envelope& envelope, Effects& effects) {
  auto answer = member_envelope(member, envelope.from());
  auto* content = answer.mutable_copy_answer();
  content->set_core_epoch(envelope.copy_ask().core_epoch());
  content->set_core_version(envelope.copy_ask().core_version());
  for (const auto& [key, copy] : acceptor.copies) {
    auto* part = content->add_copies();
    part->set_key(key);
    part->set_promised(copy.promised);
    part->set_accepted_epoch(copy.accepted_epoch);
    part->set_version(copy.version);
    part->set_value(copy.value);
  }
  for (const auto& [key, item] : vote.votes) {
    auto* part = content->add_votes();
    part->set_key(key);
    part->set_claimer(item.claimer);
  }
  effects.push_back(SendMessage{envelope.address(), std::move(answer)});
}

void repair_answered(RepairState& state, AcceptorState& acceptor, VoteState& vote, const FormationState& formation,
                     const wire::Envelope& envelope, Moment now, Effects& effects) {
  const auto& answer = envelope.copy_answer();
  if (CoreTag{answer.core_epoch(), answer.core_version()} != state.copying) return;
  if (!state.copied_from.insert(envelope.disk()).second) return;
  repair_merge(acceptor, vote, answer, now);
  wire::Core old;
  *old.mutable_disks() = formation.core.disks();
  if (!core_majority(old, state.copied_from)) return;
  const auto token = repair_tokens + state.next_token++;
  auto records = acceptor_records(acceptor);
  for (auto& record : vote_records(vote)) records.push_back(std::move(record));
  state.waiting[token] = state.copying;
  effects.push_back(Persist{token, std::move(records)});
}

void repair_persisted(RepairState& state, MemberState& member, const Persisted& event) {
  const auto found = state.waiting.find(event.token);
  if (found == state.waiting.end()) return;
  if (event.kept) {
    member.self.set_copied_epoch(found->second.first);
    member.self.set_copied_version(found->second.second);
    member_announce(member);
  } else {
    state.copied_from.clear();
  }
  state.waiting.erase(found);
}

}  // namespace weldsail
