#pragma once
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fleet.pb.h"

namespace weldsail {

/// The workers that a data node may use, found by identity, by service, and by the model that they hold. A change costs
/// what it changes, and a question what it answers, however many workers there are.
class WorkerIndex {
 public:
  /// Entries never change, so that copies of an index can share them.
  using Entry = std::shared_ptr<const wire::WorkerEntry>;
  /// Sorted by identity.
  using Entries = std::vector<Entry>;

  /// Adds a worker, or replaces the one with its identity.
  void put(const wire::WorkerEntry& worker);
  void remove(const std::string& identity);
  void clear();

  /// The worker with an identity; null where there is none.
  const wire::WorkerEntry* find(const std::string& identity) const;
  /// All workers of a service.
  const Entries& of_service(const std::string& service) const;
  /// The workers of a service that hold a model.
  const Entries& holders(const std::string& service, const std::string& model) const;
  /// Identities of workers with a time that passes: until they leave, or until they are at their full speed.
  const std::set<std::string>& timed() const { return timed_; }
  /// All workers by identity.
  const std::map<std::string, Entry>& all() const { return workers_; }
  std::size_t size() const { return workers_.size(); }
  std::size_t draining() const { return draining_; }

 private:
  struct Service {
    Entries all;
    std::map<std::string, Entries> holders;
  };

  std::map<std::string, Entry> workers_;
  std::map<std::string, Service> services_;
  std::set<std::string> timed_;
  std::size_t draining_ = 0;
};

}  // namespace weldsail
