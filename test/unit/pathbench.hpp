#pragma once
#include <catch2/catch.hpp>

#include "core/forwarding/paths/path.hpp"
#include "platform/dialect.hpp"

namespace weldsail::unit {

/// One data node's forwarding of requests by host and path, driven event by event; the last effects are kept.
struct PathBench {
  DataState state;
  Effects effects;
  Moment now = 10000;
  std::uint64_t next_request = 1;

  PathBench() : state(make_data(options())) {
    state.document.emplace();
    configure(2);
    tell({worker("w1", "chat"), worker("w2", "chat"), worker("w3", "seat")}, 1);
  }

  static DataOptions options() {
    DataOptions options;
    options.member.locality = "z1";
    options.dialect = &platform_dialect();
    return options;
  }

  /// Takes a configuration, proved to be the newest: `extra` are more routes, `more` are more members of the document.
  void configure(std::uint64_t revision, const std::string& extra = {}, const std::string& more = {}) {
    const std::string routes =
        R"([{"label":"a","host":"h","path_prefix":"/chat/","mode":"stream","deadline_ms":12000,"setpoint_ms":400,"precedence":1,"plant":"chat","trials":2,"pinned":true,"continue":true,"gap_setpoint_ms":300},)"
        R"({"label":"b","host":"h","path_prefix":"/note/","mode":"stream","deadline_ms":20000,"setpoint_ms":3000,"precedence":0,"plant":"chat","trials":2,"pinned":true,"continue":false,"gap_setpoint_ms":300},)"
        R"({"label":"c","host":"h","path_prefix":"/seat/","mode":"idempotent","deadline_ms":1500,"setpoint_ms":100,"precedence":2,"plant":"seat","trials":2})" +
        extra + "]";
    const std::string plants =
        R"([{"label":"chat","probe":"/p","conn_limit":300,"runtime":{"capacity":64,"cache_tokens":100000,"stride":6,"models":[{"label":"m1","weights_mb":70000,"load_s":2,"adapters":2,"adapter_mb":50}],"weights_mb":220000,"adapter_capacity":8,"loads_per_s":4}},{"label":"seat","probe":"/p","conn_limit":100}])";
    path_configure(state,
                   R"({"revision":)" + std::to_string(revision) + R"(,"route_table":)" + routes + R"(,"plants":)" +
                       plants + more + "}",
                   now, effects);
    prove();
    REQUIRE(state.path.config);
    REQUIRE(state.path.config->revision == revision);
  }

  /// As though a source had just proved that the configuration in force is the newest.
  void prove() { state.current_as_of = now; }

  static wire::WorkerEntry worker(const std::string& identity, const std::string& service, bool draining = false) {
    wire::WorkerEntry entry;
    entry.set_identity(identity);
    entry.set_service(service);
    entry.set_address(identity + ":80");
    entry.set_locality("z1");
    entry.set_slots(64);
    entry.set_draining(draining);
    if (service == "chat") entry.add_models()->set_name("m1");
    return entry;
  }

  void tell(const std::vector<wire::WorkerEntry>& workers, std::uint64_t version) {
    wire::Envelope envelope;
    envelope.mutable_fleet()->set_term(1);
    envelope.mutable_fleet()->set_version(version);
    for (const auto& entry : workers) *envelope.mutable_fleet()->add_workers() = entry;
    path_fleet(state, envelope, now, effects);
  }

  std::uint64_t ask(const std::string& path, bool model = true, const std::vector<Header>& more = {}) {
    RequestArrived event;
    event.request = next_request++;
    event.method = "POST";
    event.path = event.target = path;
    event.authority = "h";
    event.headers = {{"x-trial-id", "t" + std::to_string(event.request)}, {"x-deadline-ms", "10000"}};
    if (model) event.headers.push_back({"x-model", "m1"});
    event.headers.insert(event.headers.end(), more.begin(), more.end());
    effects.clear();
    path_take(state, event, now, effects);
    return event.request;
  }

  /// As though the model had given enough answers of one length to expect the next one's.
  void answers_seen(Moment first, Moment rest) {
    constexpr int enough = 8;
    for (int count = 0; count < enough; ++count)
      state.path.units[path_unit("chat", "m1")].lengths.streams.add({first, rest, 0});
  }

  template <typename Kind>
  std::vector<Kind> all() const {
    std::vector<Kind> found;
    for (const auto& effect : effects)
      if (const auto* item = std::get_if<Kind>(&effect)) found.push_back(*item);
    return found;
  }

  template <typename Kind>
  Kind only() const {
    const auto found = all<Kind>();
    REQUIRE(found.size() == 1);
    return found.front();
  }

  void happen(const Event& event) {
    effects.clear();
    path_pipe(state, event, now, effects);
  }

  void head(const OpenPipe& pipe, int status, const std::string& trial, std::vector<Header> more = {}) {
    more.push_back({"x-trial-id", trial});
    if (status == 200) more.push_back({"x-server-seal", "seal-" + std::to_string(pipe.pipe)});
    happen(PipeHead{pipe.pipe, status, std::move(more)});
  }
};

/// Value of a header that a worker was sent.
inline std::string value_of(const OpenPipe& pipe, const std::string& name) { return header_value(pipe.headers, name); }

}  // namespace weldsail::unit
