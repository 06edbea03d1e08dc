#include "core/placement/workerindex.hpp"

#include <algorithm>

namespace weldsail {
namespace {

const std::string& identity_of(const WorkerIndex::Entry& entry) { return entry->identity(); }

void insert(WorkerIndex::Entries& entries, const WorkerIndex::Entry& entry) {
  const auto place = std::ranges::lower_bound(entries, entry->identity(), {}, identity_of);
  // An entry may name one model twice.
  if (place == entries.end() || *place != entry) entries.insert(place, entry);
}

void erase(WorkerIndex::Entries& entries, const std::string& identity) {
  const auto place = std::ranges::lower_bound(entries, identity, {}, identity_of);
  if (place != entries.end() && (*place)->identity() == identity) entries.erase(place);
}

}  // namespace

void WorkerIndex::put(const wire::WorkerEntry& worker) {
  remove(worker.identity());
  const auto entry = std::make_shared<const wire::WorkerEntry>(worker);
  workers_.emplace(worker.identity(), entry);
  auto& service = services_[worker.service()];
  insert(service.all, entry);
  for (const auto& model : worker.models()) insert(service.holders[model.name()], entry);
  if (worker.remaining_ms() > 0 || worker.warm_ms() > 0) timed_.insert(worker.identity());
  if (worker.draining()) ++draining_;
}

void WorkerIndex::remove(const std::string& identity) {
  const auto found = workers_.find(identity);
  if (found == workers_.end()) return;
  const auto entry = found->second;
  workers_.erase(found);
  const auto service = services_.find(entry->service());
  erase(service->second.all, entry->identity());
  for (const auto& model : entry->models()) {
    const auto holders = service->second.holders.find(model.name());
    if (holders == service->second.holders.end()) continue;
    erase(holders->second, entry->identity());
    if (holders->second.empty()) service->second.holders.erase(holders);
  }
  if (service->second.all.empty()) services_.erase(service);
  timed_.erase(entry->identity());
  if (entry->draining()) --draining_;
}

void WorkerIndex::clear() { *this = {}; }

const wire::WorkerEntry* WorkerIndex::find(const std::string& identity) const {
  const auto found = workers_.find(identity);
  return found == workers_.end() ? nullptr : found->second.get();
}

const WorkerIndex::Entries& WorkerIndex::of_service(const std::string& service) const {
  static const Entries none;
  const auto found = services_.find(service);
  return found == services_.end() ? none : found->second.all;
}

const WorkerIndex::Entries& WorkerIndex::holders(const std::string& service, const std::string& model) const {
  static const Entries none;
  const auto found = services_.find(service);
  if (found == services_.end()) return none;
  const auto holders = found->second.holders.find(model);
  return holders == found->second.holders.end() ? none : holders->second;
}

}  // namespace weldsail
