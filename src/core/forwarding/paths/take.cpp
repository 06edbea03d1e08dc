#include <algorithm>

#include "core/forwarding/paths/path.hpp"
#include "core/membership/rendezvous.hpp"

namespace weldsail {
namespace {

// Parts of the bound, one of them the time to come back from a node that leaves to another one.
constexpr Moment elsewhere_parts = 30;
// Parts of the bound: two of them are the longest wait for a first configuration, one is the time to come back.
constexpr Moment early_parts = 6;

std::string pick_service(const PathConfig& config, const PathRoute& route, const PathCall& call, std::uint64_t seed) {
  double total = 0;
  const auto fits = [&](const ServiceShare& share) {
    if (share.weight <= 0) return false;
    const auto service = config.services.find(share.service);
    return service != config.services.end() &&
           (call.model.empty() || service->second.models.empty() || service->second.models.contains(call.model));
  };
  for (const auto& share : route.shares)
    if (fits(share)) total += share.weight;
  auto point = static_cast<double>(seed >> 11U) / static_cast<double>(1ULL << 53U) * total;
  std::string last;
  for (const auto& share : route.shares) {
    if (!fits(share)) continue;
    last = share.service;
    point -= share.weight;
    if (point < 0) break;
  }
  return last;
}

/// The tenant that a request runs for, one without a name where it needs none and brings no key; null where its key
/// isn't known.
const Tenant* find_tenant(const PathState& path, const PathRoute& route, const PathCall& call) {
  static const Tenant nobody;
  const auto& tenants = path.config->tenants;
  if (!tenants || (call.key_hashes.empty() && !route.needs_key)) return &nobody;
  if (call.key_hashes.size() != 1) return nullptr;
  const auto place = path.keys.find(call.key_hashes.front());
  return place ? &(*tenants)[*place] : nullptr;
}

void refuse(DataState& state, std::uint64_t request, int status, Moment retry_after, Effects& effects) {
  ++state.path.refusals[status];
  Answer answer{request, status, {}, {}};
  if (retry_after > 0) answer.headers.push_back(path_retry_after(retry_after));
  path_challenge(state, answer);
  effects.push_back(std::move(answer));
}

// A node that starts knows within a moment what is in force: sooner than a refused caller would be back.
void hold_early(DataState& state, const RequestArrived& event, Moment now, Effects& effects) {
  const auto call = state.options.dialect->read_call(event);
  if (!call) return refuse(state, event.request, 400, 0, effects);
  const auto wait = std::min(call->wait > 0 ? call->wait : state.options.member.bound, state.options.member.bound);
  auto held = event;
  held.read_at = arrival(event, now);
  const bool full = state.path.early.size() >= state.options.backlog_limit || state.member.leaving;
  if (full) return refuse(state, event.request, 503, state.options.member.bound / early_parts, effects);
  const auto due = *held.read_at + wait * 2 / early_parts;
  state.path.early[event.request] = {due, std::move(held)};
}

}  // namespace

void path_early(DataState& state, Moment now, Effects& effects) {
  const bool known = state.path.config && state.path.fleet.known;
  auto early = std::move(state.path.early);
  state.path.early.clear();
  for (auto& [request, held] : early) {
    if (known)
      path_take(state, held.second, now, effects);
    else if (now >= held.first)
      refuse(state, request, 503, state.options.member.bound / early_parts, effects);
    else
      state.path.early[request] = std::move(held);
  }
}

std::string path_unit(const std::string& service, const std::string& model) {
  return model.empty() ? std::string() : unit_name(service, model);
}

std::size_t path_nodes(const DataState& state) {
  return std::max<std::size_t>(1, live_members(state.member, Program::data).size());
}

Placing path_place(const DataState& state, PathCarry& carry) {
  const auto& config = *state.path.config;
  if (carry.revision == config.revision) return Placing::placed;
  const auto found = state.path.index.find(carry.call.host, carry.path);
  if (!found) return Placing::no_route;
  const auto& route = config.routes[*found];
  const auto* tenant = find_tenant(state.path, route, carry.call);
  if (tenant == nullptr) return Placing::key_unknown;
  carry.route = route;
  carry.route.urgency = tenant->urgency.value_or(route.urgency);
  carry.tenant = tenant->name;
  carry.revision = config.revision;
  const bool stays = std::ranges::any_of(carry.route.shares, [&](const ServiceShare& share) {
    return share.service == carry.service && share.weight > 0;
  });
  if (!stays)
    carry.service = pick_service(config, carry.route, carry.call, mix(digest(carry.call.identity) ^ config.revision));
  const auto service = config.services.find(carry.service);
  const bool models = service != config.services.end() && !service->second.models.empty();
  carry.unit = path_unit(carry.service, models ? carry.call.model : std::string());
  return service != config.services.end() ? Placing::placed : Placing::no_route;
}

Refusal path_refusal(DataState& state, Placing placing, Moment arrived, Moment now, Effects& effects) {
  if (placing == Placing::key_unknown) return refuse_unplaced(state, 401, "key_unknown", arrived, now, effects);
  if (placing == Placing::too_large) return refuse_unplaced(state, 413, "too_large", arrived, now, effects);
  return refuse_unplaced(state, 404, "no_route", arrived, now, effects);
}

void path_take(DataState& state, const RequestArrived& event, Moment now, Effects& effects) {
  auto& path = state.path;
  if (event.door == 1) {
    const bool asked = event.path == state.options.dialect->ready_path;
    const int status = asked ? (path_ready(state, now) ? 200 : 503) : 404;
    return effects.push_back(Answer{event.request, status, {}, {}});
  }
  if (!path.config || !path.fleet.known) return hold_early(state, event, now, effects);
  const auto arrived = arrival(event, now);
  PathCarry carry;
  auto call = state.options.dialect->read_call(event);
  if (!call) return refuse(state, event.request, 400, 0, effects);
  carry.call = std::move(*call);
  carry.path = event.path;
  auto placing = path_place(state, carry);
  if (placing == Placing::placed && event.body.size() > path.config->limits.body_bytes) placing = Placing::too_large;
  if (placing != Placing::placed) {
    const auto refusal = path_refusal(state, placing, arrived, now, effects);
    return refuse(state, event.request, refusal.status, refusal.retry_after, effects);
  }
  carry.request = event.request;
  carry.method = event.method;
  carry.target = event.target;
  carry.body = event.body;
  carry.arrived = carry.phases.since = arrived;
  carry.due = arrived + std::min(carry.route.due, carry.call.wait > 0 ? carry.call.wait : carry.route.due);
  if (!path_will_finish(state, carry, now)) {
    ++state.totals.not_run;
    ++path.leaving.refused;
    return refuse(state, event.request, 503, state.options.member.bound / elsewhere_parts, effects);
  }
  if (state.leave_due != 0) ++path.leaving.taken;
  carry.chain = part_chain(carry.call);
  carry.reader.last = carry.call.last_event;
  budget_request(path.budgets[carry.service], now);
  if (!carry.unit.empty()) {
    auto& use = path_use(state, carry.unit);
    use.last_used = now;
    asks_take(use.asks, state.options.member.bound, now);
    if (!carry.call.adapter.empty()) asks_take(use.adapters[carry.call.adapter].asks, state.options.member.bound, now);
  }
  path.last_busy = now;
  const auto request = carry.request;
  path.carries[request] = std::move(carry);
  path_move(state, request, now, effects);
}

}  // namespace weldsail
