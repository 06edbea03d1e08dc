#pragma once
#include "core/configuration/configduty.hpp"
#include "core/configuration/pathduty.hpp"
#include "platform/dialect.hpp"
#include "sim/orders.hpp"

namespace weldsail {

/// Statuses of the answers among the effects, in order.
inline std::vector<int> statuses(const Effects& effects) {
  std::vector<int> statuses;
  for (const auto& effect : effects)
    if (const auto* answer = std::get_if<Answer>(&effect)) statuses.push_back(answer->status);
  return statuses;
}

/// The configuration's duty by itself: every proposal gets its majority at once.
struct Duty {
  explicit Duty(bool with_dialect, std::size_t remembered = remembered_changes) : dialect(with_dialect) {
    state.dialect = with_dialect ? &platform_dialect() : nullptr;
    state.remembered = remembered;
    owner.phase = OwnerPhase::holding;
    owner.confirmed = 1000;
  }

  /// Status of the answer; 0 where there is none yet.
  int send(const sim::Order& order) { return send(order, 1); }

  int send(const sim::Order& order, Moment arrived) {
    Effects effects;
    take(order, arrived);
    tick(effects, arrived);
    if (owner.proposal) commit(effects);
    const auto told = statuses(effects);
    return told.empty() ? 0 : told.front();
  }

  void take(const sim::Order& order, Moment arrived = 1) {
    const auto request = order_request(order, dialect);
    const auto call = dialect ? platform_dialect().read_config_call(request) : std::nullopt;
    config_take(state, {{1, 0, {}}, call ? path_operation(*call, request) : operate_read(request, 1), arrived, {}});
  }

  void tick(Effects& effects, Moment arrived = 1) { config_tick(state, member, core, owner, arrived + 1, effects); }

  void commit(Effects& effects) {
    owner.version = owner.proposal->version;
    owner.value = owner.proposal->value;
    owner.proposal.reset();
    config_committed(state, member, owner, effects);
  }

  /// As if a process of the former release had written the value: without the record of changes taken.
  void rewrite(const std::function<void(wire::ConfigValue&)>& change) {
    wire::ConfigValue value;
    value.ParseFromString(owner.value);
    change(value);
    owner.value = value.SerializeAsString();
    owner.version = value.version();
    config_held(state, owner);
  }

  bool dialect;
  ConfigDutyState state;
  MemberState member;
  wire::Core core;
  RegisterState owner;
};

inline sim::Order order_on(std::uint64_t base, std::uint64_t number, const std::string& mark) {
  sim::Order order;
  order.base = base;
  order.number = number;
  order.identity = mark;
  order.routes = {mark};
  return order;
}

}  // namespace weldsail
