#include "core/data.hpp"

namespace weldsail {
namespace {

std::optional<Placed> place_of(const DataState& state, const std::string& tenant, const std::string& route) {
  const auto found = state.document->tenants.find(tenant);
  if (found == state.document->tenants.end()) return std::nullopt;
  const auto options = found->second.routes.find(route);
  if (options == found->second.routes.end()) return std::nullopt;
  return Placed{found->second.cell, options->second};
}

bool same_work(const RouteOptions& left, const RouteOptions& right) {
  return left.kind == right.kind && left.model == right.model && left.adapter == right.adapter;
}

void move_pool(DataState& state, Carry& carry, const std::string& pool) {
  const bool waited = std::erase(state.pools[carry.pool].waiting, carry.request) > 0;
  hold_remove(state.hold, carry.pool, carry.tenant, carry.body.size());
  carry.pool = pool;
  hold_add(state.hold, carry.pool, carry.tenant, carry.body.size());
  if (waited) state.pools[pool].waiting.push_back(carry.request);
}

}  // namespace

std::string pool_name(const std::string& cell, const RouteOptions& route) {
  return route.kind == RouteKind::call ? "call:" + cell + "/" + route.service : unit_name(cell, route.model);
}

bool carry_reroute(DataState& state, Carry& carry) {
  if (carry.document_version == state.document_version) return true;
  const auto placed = place_of(state, carry.tenant, carry.route_name);
  if (!placed) return false;
  if (!same_work(placed->route, carry.route)) {
    if (ledger_may_have_run(carry.ledger) || placed->route.kind != carry.route.kind) return false;
    carry.blocks.clear();
  }
  carry.document_version = state.document_version;
  carry.cell = placed->cell;
  carry.route = placed->route;
  move_pool(state, carry, pool_name(carry.cell, carry.route));
  return true;
}

void reroute_held(DataState& state, Moment now, Effects& effects) {
  std::vector<std::uint64_t> held;
  for (const auto& [request, carry] : state.carries)
    if (!ledger_open(carry.ledger) && !state.claiming.contains(request)) held.push_back(request);
  for (const auto request : held) carry_move(state, request, now, effects);
  dispatch(state, now, effects);
}

}  // namespace weldsail
