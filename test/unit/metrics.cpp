#include "core/operations/metrics.hpp"

#include "core/configuration/fetch.hpp"
#include "unit/metricsreader.hpp"
#include "unit/pathbench.hpp"

using namespace weldsail;
using namespace weldsail::unit;

namespace {

RequestArrived request_for(const std::string& path, int door = 0, const std::string& method = "GET") {
  RequestArrived event;
  event.request = 77;
  event.method = method;
  event.path = event.target = path;
  event.door = door;
  return event;
}

/// The answer to a request that is answered at once.
template <typename State>
Answer answer_of(State& state, const RequestArrived& event, Moment now) {
  for (const auto& effect : reduce(state, event, now))
    if (const auto* answer = std::get_if<Answer>(&effect); answer != nullptr && answer->request == event.request)
      return *answer;
  FAIL("no answer");
  return {};
}

TransportObserved some_traffic() {
  TransportObserved observed;
  auto& figures = observed.figures;
  count_message(figures.sent, wire::Envelope::kNews, 700);
  count_message(figures.sent, wire::Envelope::kNews, 300);
  count_message(figures.received, wire::Envelope::kValuePart, 16500);
  // Bodies of later releases share a name.
  count_message(figures.received, 9000, 5);
  count_message(figures.received, 0, 7);
  figures.messages_dropped = 3;
  figures.links = 4;
  figures.queued_bytes = 5000;
  figures.longest_queue_bytes = 4000;
  figures.caller_connections = 6;
  figures.waiting_events = 2;
  return observed;
}

void check_traffic(const MetricsReader& figures) {
  CHECK(figures.at("weldsail_messages_sent_total", {{"kind", "news"}}) == 2);
  CHECK(figures.at("weldsail_message_bytes_sent_total", {{"kind", "news"}}) == 1000);
  CHECK(figures.at("weldsail_message_bytes_received_total", {{"kind", "value_part"}}) == 16500);
  CHECK(figures.at("weldsail_messages_received_total", {{"kind", "other"}}) == 2);
  CHECK(figures.at("weldsail_message_bytes_received_total", {{"kind", "other"}}) == 12);
  CHECK(figures.at("weldsail_messages_dropped_total") == 3);
  CHECK(figures.at("weldsail_message_links") == 4);
  CHECK(figures.at("weldsail_message_queue_bytes") == 5000);
  CHECK(figures.at("weldsail_message_queue_longest_bytes") == 4000);
  CHECK(figures.at("weldsail_caller_connections") == 6);
  CHECK(figures.at("weldsail_events_waiting") == 2);
}

wire::RegisterValue config_value(std::uint64_t version) {
  wire::RegisterValue value;
  value.set_key(config_key);
  value.set_epoch(4097);
  value.set_version(version);
  return value;
}

/// Makes a node know that versions 9 and 12 are committed, which it doesn't have.
void put_behind(NewsState& news, Moment since) {
  for (const std::uint64_t version : {9, 12}) {
    wire::Known known;
    known.set_key(config_key);
    known.set_version(version);
    fetch_missing(news, known, since);
    since += 100;
  }
  news.delivery.fetches[config_key].size = 40000;
  news.delivery.fetches[config_key].received = std::string(16384, 'x');
  news.delivery.counters = {1, 2, 3, 4, 5, 6, 7};
}

void check_behind(const MetricsReader& figures, double seconds) {
  CHECK(figures.at("weldsail_configuration_known_version") == 12);
  CHECK(figures.at("weldsail_configuration_behind") == 1);
  CHECK(figures.at("weldsail_configuration_behind_seconds") == Approx(seconds));
  CHECK(figures.at("weldsail_fetches_open") == 1);
  CHECK(figures.at("weldsail_fetch_received_bytes", {{"key", "config"}}) == 16384);
  CHECK(figures.at("weldsail_fetch_size_bytes", {{"key", "config"}}) == 40000);
  CHECK(figures.at("weldsail_configuration_bytes_sent_total") == 1);
  CHECK(figures.at("weldsail_configuration_bytes_received_total") == 2);
  CHECK(figures.at("weldsail_fetches_total") == 3);
  CHECK(figures.at("weldsail_parts_repeated_total") == 4);
  CHECK(figures.at("weldsail_fetches_restarted_total") == 5);
  CHECK(figures.at("weldsail_invariant_violations_total") == 6);
  CHECK(figures.at("weldsail_source_pauses_total") == 7);
}

}  // namespace

TEST_CASE("a data node's metrics are its state's", "[metrics]") {
  PathBench bench;
  bench.state.member.options.address = "10.0.0.1:1";
  reduce(bench.state, Started{1, {}}, bench.now);
  bench.state.document_version = 8;
  bench.state.news.values[config_key] = config_value(8);
  put_behind(bench.state.news, 9000);
  bench.ask("/chat/a");
  bench.ask("/none/a");
  bench.now = 10500;
  bench.state.totals.breakdowns["cut"] = 4;
  bench.state.path.outcomes["past_due"] = 2;
  bench.state.totals.finished = 11;
  bench.state.news.current_as_of = 10000;
  reduce(bench.state, some_traffic(), bench.now);
  const auto answer = answer_of(bench.state, request_for("/v1/metrics", 1), bench.now);
  CHECK(answer.status == 200);
  CHECK(header_value(answer.headers, "content-type") == "text/plain; version=0.0.4; charset=utf-8");
  const MetricsReader figures(answer.body);
  CHECK(answer.body == data_metrics_text(bench.state, bench.now));
  check_traffic(figures);
  check_behind(figures, 1.5);
  CHECK(figures.at("weldsail_configuration_version") == 8);
  CHECK(figures.at("weldsail_configuration_revision") == 2);
  CHECK(figures.at("weldsail_configuration_proof_age_seconds") == Approx(0.5));
  CHECK(figures.at("weldsail_requests_open") == 1);
  CHECK(figures.at("weldsail_attempts_open") == 1);
  CHECK(figures.at("weldsail_requests_refused_total", {{"status", "503"}}) == 1);
  CHECK(figures.at("weldsail_requests_ended_total", {{"outcome", "finished"}}) == 11);
  CHECK(figures.at("weldsail_requests_given_up_total", {{"reason", "past_due"}}) == 2);
  CHECK(figures.at("weldsail_attempt_breakdowns_total", {{"reason", "cut"}}) == 4);
  CHECK(figures.at("weldsail_workers", {{"state", "usable"}}) == 3);
  CHECK(figures.at("weldsail_fleet_view_version") == 1);
  CHECK(figures.at("weldsail_counters_kept") == 1);
  CHECK(figures.at("weldsail_members", {{"program", "wsdp"}, {"state", "alive"}}) == 1);
  const auto& info = figures.families.at("weldsail_process_info").samples;
  REQUIRE(info.size() == 1);
  CHECK(info.begin()->first.at("program") == "wsdp");
  CHECK(info.begin()->first.at("address") == "10.0.0.1:1");
}

TEST_CASE("a control process's metrics are its state's", "[metrics]") {
  ControlOptions options;
  options.dialect = &platform_dialect();
  auto state = make_control(options);
  const Moment now = 50000;
  reduce(state, Started{1, {}}, now);
  state.document_version = 8;
  state.news.values[config_key] = config_value(8);
  put_behind(state.news, now - 2000);
  auto& owner = state.owners[placement_key];
  owner.key = placement_key;
  owner.phase = OwnerPhase::holding;
  owner.epoch = 4098;
  owner.version = 31;
  owner.confirmed = now - 250;
  owner.proposal = Proposal{};
  owner.proposal->value = std::string(1000, 'x');
  state.config_duty.changes.resize(2);
  state.config_duty.changes.front().operation.set_body(std::string(500, 'x'));
  state.drains.resize(1);
  auto& books = state.placing.command.books;
  books["w1"].order = SentOrder{};
  books["w2"].order = SentOrder{};
  books["w2"].order->order.load = false;
  books["w2"].order->doubtful = true;
  books["w3"].entry.set_draining(true);
  state.placing.work.decisions = 17;
  state.placing.committed.set_decision(9);
  state.placing.wants.waiting = 5;
  state.placing.list.known = true;
  state.placing.list.asked = now - 700;
  reduce(state, some_traffic(), now);
  const auto answer = answer_of(state, request_for("/v1/metrics"), now);
  CHECK(answer.status == 200);
  const MetricsReader figures(answer.body);
  check_traffic(figures);
  check_behind(figures, 2);
  CHECK(figures.at("weldsail_key_held", {{"key", "placement"}}) == 1);
  CHECK(figures.at("weldsail_key_held", {{"key", "config"}}) == 0);
  CHECK(figures.at("weldsail_key_epoch", {{"key", "placement"}}) == 4098);
  CHECK(figures.at("weldsail_key_version", {{"key", "placement"}}) == 31);
  CHECK(figures.at("weldsail_key_confirmed_age_seconds", {{"key", "placement"}}) == Approx(0.25));
  CHECK(figures.at("weldsail_key_proposal_bytes", {{"key", "placement"}}) == 1000);
  CHECK(figures.at("weldsail_operations_waiting", {{"kind", "config_change"}}) == 2);
  CHECK(figures.at("weldsail_operations_waiting", {{"kind", "drain"}}) == 1);
  CHECK(figures.at("weldsail_operation_bytes") == 500);
  CHECK(figures.at("weldsail_orders_open", {{"kind", "load"}}) == 1);
  CHECK(figures.at("weldsail_orders_open", {{"kind", "unload"}}) == 1);
  CHECK(figures.at("weldsail_orders_doubtful") == 1);
  CHECK(figures.at("weldsail_workers", {{"state", "draining"}}) == 1);
  CHECK(figures.at("weldsail_placement_decisions_total") == 17);
  CHECK(figures.at("weldsail_placement_decision") == 9);
  CHECK(figures.at("weldsail_requests_waiting") == 5);
  CHECK(figures.at("weldsail_list_age_seconds") == Approx(0.7));
  CHECK(figures.at("weldsail_members", {{"program", "wscp"}, {"state", "alive"}}) == 1);
}

TEST_CASE("fresh processes of both forms of configuration write whole metrics", "[metrics]") {
  for (const bool translated : {false, true}) {
    CAPTURE(translated);
    DataOptions data_options;
    ControlOptions control_options;
    if (translated) data_options.dialect = control_options.dialect = &platform_dialect();
    auto data = make_data(data_options);
    auto control = make_control(control_options);
    reduce(data, Started{1, {}}, 1000);
    reduce(control, Started{2, {}}, 1000);
    CHECK(MetricsReader(data_metrics_text(data, 1000)).at("weldsail_configuration_version") == 0);
    CHECK(MetricsReader(control_metrics_text(control, 1000)).at("weldsail_configuration_behind") == 0);
    CHECK(MetricsReader(control_metrics_text(control, 1000)).at("weldsail_orders_open", {{"kind", "load"}}) == 0);
  }
}

TEST_CASE("metrics are told by GET alone, and their own door tells nothing else", "[metrics]") {
  auto data = make_data({});
  auto control = make_control({});
  reduce(data, Started{1, {}}, 1000);
  reduce(control, Started{2, {}}, 1000);
  const auto check = [](auto& state) {
    CHECK(answer_of(state, request_for("/v1/metrics"), 1000).status == 200);
    CHECK(answer_of(state, request_for("/v1/metrics", metrics_door), 1000).status == 200);
    CHECK(answer_of(state, request_for("/v1/metrics", 0, "POST"), 1000).status == 405);
    for (const auto* path : {"/v1/status", "/v1/core", "/v1/drain", "/", "/v1/metrics/x"})
      CHECK(answer_of(state, request_for(path, metrics_door), 1000).status == 404);
  };
  check(data);
  check(control);
}

TEST_CASE("callers of a translated data node may have a route at the metrics' path", "[metrics]") {
  PathBench bench;
  bench.configure(
      3,
      R"(,{"label":"d","host":"h","path_prefix":"/v1/","mode":"idempotent","deadline_ms":1500,"setpoint_ms":100,"precedence":2,"plant":"seat","trials":2})");
  auto event = request_for("/v1/metrics");
  event.authority = "h";
  event.headers = {{"x-trial-id", "t1"}};
  const auto effects = reduce(bench.state, event, bench.now);
  const bool sent =
      std::ranges::any_of(effects, [](const Effect& item) { return std::holds_alternative<OpenPipe>(item); });
  CHECK(sent);
}
