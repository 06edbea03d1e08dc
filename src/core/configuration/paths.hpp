#pragma once
#include <optional>
#include <string>
#include <vector>

#include "core/configuration/config.hpp"
#include "core/configuration/tenants.hpp"

namespace weldsail {

/// What a request of a route may do: a stream or call that may run again, or one that runs once.
enum class PathMode { stream, repeatable, once };

/// A service that a route's requests go to, and its part of them.
struct ServiceShare {
  std::string service;
  double weight = 1;
};

/// One route by host and path prefix.
struct PathRoute {
  std::string name;
  std::string host;
  std::string prefix;
  PathMode mode = PathMode::once;
  /// A stream that may be picked up at another worker.
  bool resumable = false;
  /// Requests name a model.
  bool by_model = false;
  /// Where the configuration has tenants, requests must carry a tenant's key.
  bool needs_key = true;
  /// Longest time that a request is held or run, in milliseconds.
  Moment due = 30000;
  /// Time in which an answer (of a stream: its first event) earns its full worth.
  Moment aim = 1000;
  /// Longest pause between events for the same.
  Moment gap_aim = 0;
  /// 0 goes first.
  int urgency = 5;
  /// Most workers that one request may be sent to.
  std::size_t tries = 1;
  std::vector<ServiceShare> shares;
};

/// A model as its service's configuration describes it.
struct PathModel {
  std::int64_t weights_mb = 0;
  Moment load_time = 0;
  std::uint64_t adapters = 0;
  double adapter_mb = 0;
};

/// A back-end service; one without models answers plain calls.
struct PathService {
  std::string name;
  std::string probe;
  /// Connections that one worker accepts from all callers together.
  std::size_t pipe_limit = 100;
  /// Requests that one worker runs at once; 0 where the workers say so themselves.
  std::size_t slots = 0;
  /// Tokens that fit into a worker's memory of prompts and runs.
  std::uint64_t token_room = 0;
  /// Tokens in one event of a stream.
  std::uint64_t tokens_per_event = 1;
  std::map<std::string, PathModel> models;
  std::int64_t room_mb = 0;
  std::uint64_t adapter_places = 0;
  /// Loads that the store allows a second, over all workers.
  double loads_per_s = 0;
};

/// Bounds on what a caller may send.
struct CallerLimits {
  std::size_t header_bytes = 16384;
  std::size_t body_bytes = 4U << 20U;
  Moment header_time = 3000;
  Moment idle_time = 15000;
};

/// A configuration of routes by host and path, read and checked.
struct PathConfig {
  /// The operator's number of it, which rises in uneven steps.
  std::uint64_t revision = 0;
  std::vector<PathRoute> routes;
  std::map<std::string, PathService> services;
  /// Nothing where requests need no key on any route.
  std::optional<std::vector<Tenant>> tenants;
  CallerLimits limits;
};

/// A configuration and all that is wrong with it; it may be used only without faults.
struct ReadPathConfig {
  PathConfig config;
  std::vector<Fault> faults;
};

/// Finds routes by host and longest prefix.
class PathIndex {
 public:
  PathIndex() = default;
  explicit PathIndex(const PathConfig& config);
  /// Place in the configuration's routes of the longest prefix that begins the path, or nothing.
  std::optional<std::size_t> find(const std::string& host, const std::string& path) const;

 private:
  std::map<std::string, std::map<std::string, std::size_t>> hosts_;
};

/// Faults that any configuration of routes may have: unknown services, doubled places, weights, dues, tenants.
void check_paths(const PathConfig& config, std::vector<Fault>& faults);

}  // namespace weldsail
