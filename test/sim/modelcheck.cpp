#include <algorithm>

#include "core/membership/rendezvous.hpp"
#include "sim/modelworld.hpp"

namespace weldsail::sim::model {
namespace {

constexpr int status_accepted = 200;
constexpr int status_no_configuration = 404;

std::uint64_t told_version(const Answer& answer) {
  for (const auto& header : answer.headers)
    if (header.name == "weldsail-version") return std::stoull(header.value);
  return 0;
}

/// A majority counted plainly: the product's own count is what is being checked.
bool plain_majority(const google::protobuf::RepeatedPtrField<wire::CoreDisk>& disks,
                    const std::set<std::uint64_t>& counted) {
  int count = 0;
  for (const auto& disk : disks)
    if (counted.contains(disk.disk())) ++count;
  return count > disks.size() / 2;
}

std::string phase_text(const char* key, std::size_t count) {
  return std::to_string(count) + " holders of " + key + " may act at once";
}

}  // namespace

std::uint64_t Observations::newest() const {
  std::uint64_t newest = 0;
  for (const auto& change : acknowledged) newest = std::max(newest, change.version);
  return newest;
}

void ModelWorld::fail(const std::string& fault) {
  if (fault_.empty()) fault_ = fault;
}

void ModelWorld::observe_message(const wire::Envelope& envelope) {
  if (envelope.has_accept()) {
    const auto& accept = envelope.accept();
    const auto value = weldsail::digest(accept.value());
    const std::tuple slot{accept.key(), accept.epoch(), accept.version()};
    if (!observations_->proposed.contains(slot)) observe().proposed[slot] = value;
    if (observations_->proposed.at(slot) != value)
      fail("two values of " + accept.key() + " for epoch " + std::to_string(accept.epoch()) + " version " +
           std::to_string(accept.version()));
  }
  for (const auto& item : envelope.news().values()) {
    const auto value = weldsail::digest(item.value());
    const std::pair slot{item.key(), item.version()};
    if (!observations_->published.contains(slot)) observe().published[slot] = value;
    if (observations_->published.at(slot) != value)
      fail("two values of " + item.key() + " told as committed for version " + std::to_string(item.version()));
  }
}

void ModelWorld::observe_answer(const Answer& answer) {
  const auto found = observations_->open.find(answer.request);
  if (found == observations_->open.end()) return;
  const auto operation = found->second;
  observe().open.erase(answer.request);
  const auto version = told_version(answer);
  if (operation.change && answer.status == status_accepted) acknowledge(operation, version);
  if (!operation.change && (answer.status == status_accepted || answer.status == status_no_configuration))
    check_read(operation, answer, version);
}

void ModelWorld::acknowledge(const OpenOperation& operation, std::uint64_t version) {
  for (const auto& change : observations_->acknowledged) {
    if (change.base == operation.base)
      fail("two changes acknowledged on base " + std::to_string(operation.base));
    else if (change.version == version)
      fail("two changes acknowledged as version " + std::to_string(version));
  }
  observe().acknowledged.push_back({operation.identity, operation.document, operation.base, version});
}

void ModelWorld::check_read(const OpenOperation& operation, const Answer& answer, std::uint64_t version) {
  ++observe().reads_answered;
  if (version < operation.newest)
    fail("a read was answered with version " + std::to_string(version) + " while version " +
         std::to_string(operation.newest) + " was acknowledged before it");
  for (const auto& change : observations_->acknowledged)
    if (change.version == version && change.document != answer.body)
      fail("a read of version " + std::to_string(version) + " was answered with another document");
}

bool ModelWorld::disk_survives(std::uint64_t disk) const {
  return std::ranges::any_of(processes_,
                             [&](const auto& process) { return process->state.member.self.disk() == disk; });
}

const wire::Core& ModelWorld::newest_core() const {
  const auto newest = std::ranges::max_element(
      processes_, {}, [](const auto& process) { return core_tag(process->state.formation.core); });
  return (*newest)->state.formation.core;
}

void ModelWorld::check_state() {
  check_holders();
  check_quorums();
}

void ModelWorld::check_holders() {
  for (const auto* key : {config_key, core_key}) {
    const auto acting = std::ranges::count_if(processes_, [&](const auto& process) {
      return process->alive && register_may_act(process->state.owners.at(key), now_);
    });
    if (acting > 1) fail(phase_text(key, static_cast<std::size_t>(acting)));
  }
}

/// No quorum that can still form may lack an acknowledged change, in the old and the new list of a joint set.
void ModelWorld::check_quorums() {
  const auto& core = newest_core();
  for (const auto& change : observations_->acknowledged) {
    std::set<std::uint64_t> without;
    for (const auto& process : processes_)
      if (!process->synced_changes.contains(change.change)) without.insert(process->state.member.self.disk());
    if (!plain_majority(core.disks(), without)) continue;
    if (core.next_size() > 0 && !plain_majority(core.next(), without)) continue;
    fail("a majority of the core's disks lacks the acknowledged change " + change.change);
  }
}

}  // namespace weldsail::sim::model
