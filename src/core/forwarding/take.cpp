#include <algorithm>
#include <charconv>

#include "core/data.hpp"
#include "core/json.hpp"
#include "core/membership/rendezvous.hpp"

namespace weldsail {
namespace {

constexpr std::uint64_t usual_generation = 256;
constexpr std::uint64_t generation_most = 1000000;
constexpr std::size_t key_limit = 128;
constexpr std::size_t tenant_share = 3;

struct Place {
  std::string tenant;
  std::string route;
};

std::optional<Place> read_place(const std::string& path) {
  static const std::string root = "/v1/tenants/";
  static const std::string middle = "/routes/";
  if (!path.starts_with(root)) return std::nullopt;
  const auto end = path.find(middle, root.size());
  if (end == std::string::npos) return std::nullopt;
  Place place{path.substr(root.size(), end - root.size()), path.substr(end + middle.size())};
  if (place.tenant.empty() || place.route.empty() || place.route.find('/') != std::string::npos) return std::nullopt;
  return place;
}

std::optional<Moment> read_due(const std::string& text, Moment limit) {
  if (text.empty()) return limit;
  Moment due = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), due);
  if (read.ec != std::errc() || read.ptr != text.data() + text.size() || due <= 0) return std::nullopt;
  return std::min(due, limit);
}

bool read_body(Carry& carry) {
  rapidjson::Document document;
  document.Parse<json_strict>(carry.body.data(), carry.body.size());
  if (document.HasParseError() || !document.IsObject()) return false;
  if (carry.route.kind == RouteKind::call) return true;
  const auto* prompt = rapidjson::Pointer("/prompt").Get(document);
  if (prompt == nullptr || !prompt->IsString()) return false;
  const auto text = json_string(*prompt);
  carry.prompt_tokens = (text.size() + bytes_per_token - 1) / bytes_per_token;
  carry.blocks = prefix_blocks(carry.route.model + "|" + carry.route.adapter, text);
  const auto most = json_count_at(document, "/max_tokens", usual_generation);
  carry.generation_tokens = most > 0 ? std::min(most, generation_most) : usual_generation;
  return true;
}

Moment due_limit(const ConfigDocument& document, const RouteOptions& route) {
  const auto model = document.models.find(route.model);
  return model == document.models.end() ? route.due : std::min(route.due, model->second.due_limit);
}

bool own_node_drained(const DataState& state) {
  const auto name = "node:" + state.options.member.address;
  return std::ranges::find(state.placement.drained(), name) != state.placement.drained().end();
}

std::map<std::string, std::size_t> waiting_by_tenant(const DataState& state, const Pool& pool) {
  std::map<std::string, std::size_t> waiting;
  for (const auto request : pool.waiting) ++waiting[state.carries.at(request).tenant];
  return waiting;
}

// Departures before a tenant's next request has its turn: tenants take turns.
std::size_t turns_before(const std::map<std::string, std::size_t>& waiting, const std::string& tenant) {
  const auto found = waiting.find(tenant);
  const auto own = found == waiting.end() ? 0 : found->second;
  std::size_t turns = own;
  for (const auto& [other, count] : waiting)
    if (other != tenant) turns += std::min(count, own + 1);
  return turns;
}

bool tenant_full(const DataState& state, const Pool& pool, std::size_t own) {
  return own >
         tenant_share * (state.options.backlog_limit - std::min(state.options.backlog_limit, pool.waiting.size()));
}

}  // namespace

void data_take(DataState& state, const RequestArrived& event, Moment now, Effects& effects) {
  const auto refuse = [&](int status, const char* code, int retry_after = 0) {
    ++state.totals.not_run;
    refuse_caller(event.request, status, code, "not_run", retry_after, effects);
  };
  const auto arrived = arrival(event, now);
  const auto place = read_place(event.path);
  if (!place) return refuse(404, "no_such_path");
  if (event.method != "POST") return refuse(405, "method_not_allowed");
  if (event.body.size() > state.options.body_limit) return refuse(413, "too_large");
  if (state.member.leaving || own_node_drained(state)) return refuse(503, "leaving", 1);
  if (!state.document) return refuse(503, "no_configuration", 2);
  if (configuration_outdated(state, arrived, now)) return refuse(503, "newer_configuration", 1);
  const auto refuse_unknown = [&](const char* code) {
    const auto refusal = refuse_unplaced(state, 404, code, arrived, now, effects);
    refuse(refusal.status, refusal.reason, static_cast<int>(refusal.retry_after / 1000));
  };
  const auto tenant = state.document->tenants.find(place->tenant);
  if (tenant == state.document->tenants.end()) return refuse_unknown("no_such_tenant");
  const auto route = tenant->second.routes.find(place->route);
  if (route == tenant->second.routes.end()) return refuse_unknown("no_such_route");
  Carry carry;
  carry.request = event.request;
  carry.run = std::to_string(state.member.self.node()) + "-" + std::to_string(event.request);
  carry.caller_id = header_value(event.headers, "weldsail-request");
  if (carry.caller_id.empty() || !plain_text(carry.caller_id)) carry.caller_id = carry.run;
  carry.tenant = place->tenant;
  carry.cell = tenant->second.cell;
  carry.route = route->second;
  carry.route_name = place->route;
  carry.document_version = state.document_version;
  const bool call = carry.route.kind == RouteKind::call;
  carry.pool = pool_name(carry.cell, carry.route);
  carry.body = event.body;
  if (!read_body(carry)) return refuse(400, "malformed");
  const auto due = read_due(header_value(event.headers, "weldsail-due"), due_limit(*state.document, carry.route));
  if (!due) return refuse(400, "due_unusable");
  const auto key = header_value(event.headers, "idempotency-key");
  if (!key.empty() && (!call || !plain_text(key, key_limit))) return refuse(400, "key_unusable");
  if (!key.empty()) {
    carry.claim.emplace();
    carry.claim->key = place->tenant + "/" + place->route + "/" + key;
    carry.claim->claimer = carry.run;
  }
  carry.arrived = arrived;
  carry.ledger.kind = carry.route.kind;
  carry.ledger.resumable = carry.route.resumable;
  carry.ledger.due = arrived + *due;
  carry.ledger.hold_due = arrived + std::min(*due, state.options.hold_limit);
  auto& pool = state.pools[carry.pool];
  pool.last_used = now;
  if (!carry.route.adapter.empty()) pool.adapters[carry.route.adapter] = now;
  auto by_tenant = waiting_by_tenant(state, pool);
  const auto turns = turns_before(by_tenant, carry.tenant);
  const auto wait = hold_wait(state.hold, carry.pool, turns);
  const bool hopeless = !pool.waiting.empty() && wait && now + *wait > carry.ledger.hold_due;
  const bool full = pool.waiting.size() >= state.options.backlog_limit ||
                    tenant_full(state, pool, by_tenant[carry.tenant]) ||
                    !hold_fits(state.hold, carry.pool, carry.tenant, carry.body.size());
  if (full || hopeless)
    return refuse(503, "overloaded", hold_retry(state.hold, carry.pool, turns, mix(state.random ^ carry.request)));
  ++state.totals.taken;
  hold_add(state.hold, carry.pool, carry.tenant, carry.body.size());
  const bool first = pool.waiting.empty();
  const auto request = carry.request;
  state.carries[request] = std::move(carry);
  auto& claim = state.carries[request].claim;
  if (claim) {
    state.claiming.insert(request);
    claim_begin(*claim, state.member, state.formation.core, now, effects);
    claim_settle(state, request, now, effects);
    return;
  }
  if (first || call)
    carry_move(state, request, now, effects);
  else
    pool.waiting.push_back(request);
  if (!pool.waiting.empty() && first) state.next_report = now;
}

}  // namespace weldsail
