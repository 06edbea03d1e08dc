#pragma once
#include <array>
#include <expected>
#include <optional>

#include "core/configuration/paths.hpp"
#include "core/effect.hpp"

namespace weldsail {

/// A part of a prompt, by identity, with its tokens; parts are shared between requests.
struct PromptPart {
  std::uint64_t identity = 0;
  std::uint64_t tokens = 0;
};

/// A caller's request as far as the decisions need it.
struct PathCall {
  std::string host;
  /// Identity of this try at the caller; the worker's answer must carry it.
  std::string identity;
  std::string model;
  std::string adapter;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t most_tokens = 0;
  std::vector<PromptPart> parts;
  /// Milliseconds that the caller will wait; 0 when it didn't say.
  Moment wait = 0;
  /// Last event that the caller has of a resumed stream.
  std::optional<std::uint64_t> last_event;
  /// Hashes of the keys that the caller sent (`hash_key`), each as often as it was sent.
  std::vector<std::string> key_hashes;
  /// Headers that go along to the worker; hop-by-hop ones, keys and what the system sets itself are left out.
  std::vector<Header> headers;
};

/// What goes to a worker besides the caller's own headers.
struct RunTerms {
  std::string worker_identity;
  Moment wait = 0;
  int urgency = 5;
  std::optional<std::uint64_t> last_event;
  /// The tenant that the request runs for; empty where it has none.
  std::string tenant;
};

/// What the head of a worker's answer says.
struct RunHead {
  /// The worker says that it has not run the request and never will.
  bool not_run = false;
  /// The request's identity is echoed; a refusal may leave it out.
  bool same_request = false;
  /// The worker's seal is there: a success without it is none.
  bool sealed = false;
  /// The worker's connection will close, or the worker leaves.
  bool closing = false;
  /// Running, waiting and slots, where the worker says so.
  std::optional<std::array<std::uint64_t, 3>> load;
  /// Headers that go back to the caller.
  std::vector<Header> headers;
};

/// One page of the platform's list of workers.
struct ListPage {
  std::vector<wire::WorkerEntry> workers;
  /// Path of the page that follows; empty on the last one.
  std::string next_path;
};

/// A worker's own report of itself.
struct WorkerReport {
  std::vector<wire::HeldModel> models;
  bool under_order = false;
  std::uint64_t orders_taken = 0;
  std::uint64_t waiting = 0;
  std::uint64_t running = 0;
  std::uint64_t tokens_used = 0;
  std::uint64_t token_room = 0;
};

/// An order to a worker under the holder's fence.
struct WorkerOrder {
  bool load = true;
  std::string model;
  std::string adapter;
  std::string holder;
  std::uint64_t fence = 0;
  /// The worker takes the order only after this many others.
  std::optional<std::uint64_t> taken;
};

/// How a worker took an order.
enum class OrderAnswer { under_way, held_already, busy, fenced, refused };

/// An operator's call on the configuration.
enum class ConfigCallKind { read, replace, amend };
struct ConfigCall {
  ConfigCallKind kind = ConfigCallKind::read;
  /// Revision that the change builds on.
  std::optional<std::uint64_t> base;
};

/// How the outside speaks: a table that a deployment's translator fills. No function keeps state or decides.
struct Dialect {
  /// Path that tells whether this node wants callers.
  const char* ready_path;
  ReadPathConfig (*read_config)(const std::string& document);
  /// Applies named changes to a document.
  std::expected<std::string, std::vector<Fault>> (*amend_config)(const std::string& document,
                                                                 const std::string& change);
  /// Nothing where the path is no call on the configuration.
  std::optional<ConfigCall> (*read_config_call)(const RequestArrived& event);
  /// How a caller whose key isn't known is told to bring one, as in the header `WWW-Authenticate`.
  const char* key_challenge;
  /// Nothing where the request can't be understood.
  std::optional<PathCall> (*read_call)(const RequestArrived& event);
  /// All headers of a request to a worker.
  std::vector<Header> (*run_headers)(const PathCall& call, const RunTerms& terms);
  RunHead (*read_head)(const PathCall& call, int status, const std::vector<Header>& headers);
  /// Path of the first page of the platform's list.
  const char* list_path;
  /// Nothing when the page is malformed.
  std::optional<ListPage> (*read_list)(const std::string& body);
  const char* report_path;
  std::optional<WorkerReport> (*read_report)(const std::string& body);
  const char* order_path;
  std::string (*order_body)(const WorkerOrder& order);
  /// Headers that let only the named worker take an order.
  std::vector<Header> (*order_headers)(const std::string& worker_identity);
  OrderAnswer (*read_order_answer)(int status);
};

}  // namespace weldsail
