#include "core/membership/rendezvous.hpp"
#include "sim/modelworld.hpp"

namespace weldsail::sim::model {
namespace {

void add_records(Digest& digest, const std::vector<std::pair<std::string, std::string>>& records) {
  digest.add(records.size());
  for (const auto& [name, bytes] : records) {
    digest.add(name);
    digest.add(bytes);
  }
}

void add_member(Digest& digest, const MemberState& member) {
  digest.add(member.self.SerializeAsString());
  digest.add(member.leaving ? 1 : 0);
  digest.add(member.core_tag.first);
  digest.add(member.core_tag.second);
  for (const auto& [node, view] : member.others) digest.add(view.entry.SerializeAsString());
}

void add_acceptor(Digest& digest, const AcceptorState& acceptor) {
  for (const auto& [key, copy] : acceptor.copies) {
    digest.add(key);
    digest.add(copy.promised);
    digest.add(copy.accepted_epoch);
    digest.add(copy.version);
    digest.add(copy.value);
  }
  digest.add(acceptor.waiting.size());
  for (const auto& [token, answer] : acceptor.waiting) digest.add(answer.SerializeAsString());
  for (const auto& [key, moment] : acceptor.granted_at) digest.add(static_cast<std::uint64_t>(moment));
  digest.add(static_cast<std::uint64_t>(acceptor.known_since));
}

void add_proposal(Digest& digest, const Proposal& proposal) {
  digest.add(proposal.version);
  digest.add(proposal.value);
  for (const auto disk : proposal.granted) digest.add(disk);
  digest.add(static_cast<std::uint64_t>(proposal.sent));
}

void add_owner(Digest& digest, const RegisterState& owner) {
  digest.add(static_cast<std::uint64_t>(owner.phase));
  for (const auto number : {owner.epoch, owner.seen_epoch, owner.version, owner.best_epoch}) digest.add(number);
  digest.add(owner.value);
  digest.add(owner.promised.size());
  for (const auto disk : owner.promised) digest.add(disk);
  digest.add(owner.proposal ? 1 : 0);
  if (owner.proposal) add_proposal(digest, *owner.proposal);
  for (const auto moment : {owner.since, owner.confirmed, owner.acts_from, owner.former_until, owner.round_sent})
    digest.add(static_cast<std::uint64_t>(moment));
  for (const auto& [disk, moment] : owner.checked) {
    digest.add(disk);
    digest.add(static_cast<std::uint64_t>(moment));
  }
}

void add_repair(Digest& digest, const RepairState& repair) {
  for (const auto& tag : {repair.committed, repair.copying}) {
    digest.add(tag.first);
    digest.add(tag.second);
  }
  digest.add(repair.copied_from.size());
  for (const auto disk : repair.copied_from) digest.add(disk);
  digest.add(repair.waiting.size());
  digest.add(static_cast<std::uint64_t>(repair.asked));
  for (const auto& [disk, moment] : repair.missing_since) digest.add(disk);
}

void add_jobs(Digest& digest, const std::deque<ConfigJob>& jobs) {
  digest.add(jobs.size());
  for (const auto& job : jobs) {
    digest.add(job.asker.request);
    digest.add(static_cast<std::uint64_t>(job.arrived));
  }
}

void add_news(Digest& digest, const NewsState& news) {
  for (const auto& [key, value] : news.values) digest.add(value.SerializeAsString());
  for (const auto& [node, ask] : news.waiting) digest.add(node);
}

}  // namespace

void Digest::add(std::uint64_t number) { value_ = mix(value_ * 31 + mix(number + 1)); }

void Digest::add(std::string_view bytes) { add(weldsail::digest(bytes) ^ bytes.size()); }

std::uint64_t digest_process(const Process& process) {
  Digest digest;
  const auto& state = process.state;
  digest.add(process.alive ? process.life : 0);
  for (const auto& [name, bytes] : process.disk) {
    digest.add(name);
    digest.add(bytes);
  }
  digest.add(process.unsynced.size());
  for (const auto& persist : process.unsynced) add_records(digest, persist.records);
  add_member(digest, state.member);
  digest.add(state.formation.core.SerializeAsString());
  add_acceptor(digest, state.acceptor);
  for (const auto* key : {config_key, core_key}) add_owner(digest, state.owners.at(key));
  add_repair(digest, state.repair);
  add_jobs(digest, state.config_duty.changes);
  add_jobs(digest, state.config_duty.reads);
  digest.add(state.config_duty.under_way ? state.config_duty.under_way->asker.request : 0);
  add_news(digest, state.news);
  digest.add(static_cast<std::uint64_t>(state.leave_due));
  return digest.value();
}

std::uint64_t Observations::digest() const {
  Digest digest;
  for (const auto& [slot, value] : proposed) digest.add(value + std::get<1>(slot) + std::get<2>(slot));
  for (const auto& [slot, value] : published) digest.add(value + slot.second);
  for (const auto& change : acknowledged) {
    digest.add(change.change);
    digest.add(change.version);
  }
  for (const auto& [request, operation] : open) {
    digest.add(request);
    digest.add(operation.newest);
  }
  digest.add(next_request);
  return digest.value();
}

std::uint64_t ModelWorld::digest() const {
  Digest digest;
  for (const auto& process : processes_) digest.add(process->digest);
  for (const auto& message : network_) digest.add(message->identity);
  for (std::size_t kind = 0; kind < action_kinds; ++kind)
    if (plan_->budgets[kind] != 0) digest.add(used_[kind]);
  for (const auto& [from, to] : cuts_) digest.add(from * action_kinds + to);
  digest.add(observations_->digest());
  digest.add(static_cast<std::uint64_t>(now_));
  return digest.value();
}

}  // namespace weldsail::sim::model
