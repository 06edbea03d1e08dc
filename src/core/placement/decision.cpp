#include "core/placement/decision.hpp"

#include <algorithm>

namespace weldsail {
namespace {

std::string text_of(const wire::Vector& vector) {
  return std::to_string(vector.prefill()) + "/" + std::to_string(vector.decode());
}

bool unloaded(const StewardState& state, const wire::Placement& placement, const std::string& unit, Moment now) {
  return std::ranges::none_of(placement.workers(), [&](const wire::WorkerRecord& record) {
    const auto view = state.watch.views.find(record.address());
    return !holds_unit(record, unit) && view != state.watch.views.end() &&
           worker_present(state.watch, view->second, now) && view->second.status->models.contains(unit_model(unit));
  });
}

UnitStanding standing_of(const StewardState& state, const wire::UnitRecord& record, const PhaseVector& ready,
                         const UnitDemand& demand) {
  UnitStanding standing;
  standing.current = {record.vector().prefill(), record.vector().decode()};
  standing.ready = ready;
  standing.waiting = demand.waiting;
  standing.waiting_prompt_tokens = demand.prompt_tokens;
  standing.waiting_generation_tokens = demand.generation_tokens;
  standing.pending = record.pending();
  standing.retiring = record.retiring();
  standing.cooling = record.cooling();
  standing.decode_grown = state.clocks.at(record.unit()).decode_grown;
  return standing;
}

void move_vector(StewardState& state, wire::UnitRecord& record, const PhaseVector& chosen,
                 const StewardContext& context, Effects& effects) {
  const PhaseVector current{record.vector().prefill(), record.vector().decode()};
  if (chosen == current) return;
  auto& clocks = state.clocks[record.unit()];
  const bool growth = chosen.prefill > current.prefill || chosen.decode > current.decode;
  const auto before = record.vector();
  record.mutable_vector()->set_prefill(static_cast<std::uint32_t>(chosen.prefill));
  record.mutable_vector()->set_decode(static_cast<std::uint32_t>(chosen.decode));
  if (growth) {
    *record.mutable_baseline() = before;
    record.set_pending(true);
    clocks.pending_since = context.now;
    if (chosen.decode > current.decode) {
      record.set_grown(true);
      clocks.decode_grown = context.now;
    }
  } else {
    *record.mutable_shrunk_from() = before;
    record.set_retiring(true);
  }
  note(effects, "scaler.vector",
       {{"unit", record.unit()},
        {"from", text_of(before)},
        {"to", text_of(record.vector())},
        {"reason", clocks.reason},
        {"term", std::to_string(state.term)}});
}

}  // namespace

FitInput fit_input(const StewardState& state, const StewardContext& context) {
  FitInput input;
  input.document = &context.document;
  input.watch = &state.watch;
  input.demand = demand_by_unit(state.demand, context.member, config_units(context.document), context.now);
  input.ordered = orders_under_way(state.orders);
  input.now = context.now;
  return input;
}

void align_units(wire::Placement& placement, const std::set<std::string>& units) {
  auto* records = placement.mutable_units();
  for (int place = records->size() - 1; place >= 0; --place)
    if (!units.contains(records->Get(place).unit())) records->DeleteSubrange(place, 1);
  for (const auto& unit : units) unit_record(placement, unit);
  std::ranges::sort(*records, {}, [](const wire::UnitRecord& record) { return record.unit(); });
  for (auto& worker : *placement.mutable_workers()) {
    auto* held = worker.mutable_units();
    held->erase(
        std::remove_if(held->begin(), held->end(), [&](const std::string& unit) { return !units.contains(unit); }),
        held->end());
  }
}

void align_workers(wire::Placement& placement, const StewardState& state) {
  if (!state.platform.known) return;
  auto* records = placement.mutable_workers();
  for (int place = records->size() - 1; place >= 0; --place) {
    const auto found = state.platform.services.find(records->Get(place).address());
    if (found == state.platform.services.end() || found->second != records->Get(place).service())
      records->DeleteSubrange(place, 1);
  }
  for (const auto& [address, service] : state.platform.services) {
    const auto known =
        std::ranges::any_of(*records, [&](const wire::WorkerRecord& record) { return record.address() == address; });
    if (known) continue;
    auto* record = placement.add_workers();
    record->set_id(address);
    record->set_address(address);
    record->set_service(service);
  }
  std::ranges::sort(*records, {}, [](const wire::WorkerRecord& record) { return record.address(); });
  for (auto& record : *records) {
    const auto view = state.watch.views.find(record.address());
    if (view == state.watch.views.end() || !view->second.status) continue;
    if (view->second.status->service != record.service()) continue;
    record.set_locality(view->second.status->locality);
    record.set_phase(phase_name(view->second.status->phase));
  }
}

void decide_units(StewardState& state, wire::Placement& next, const FitInput& input, const DemandPass* pass,
                  const StewardContext& context, Effects& effects) {
  const auto& options = context.document.scaler;
  for (auto& record : *next.mutable_units()) {
    auto& clocks = state.clocks[record.unit()];
    const auto ready = ready_count(next, state.watch, record.unit(), context.now);
    const bool rolled_back = steward_settle(state, record, ready, unloaded(state, next, record.unit(), context.now),
                                            options, context.now, effects);
    const auto& demand = input.demand.at(record.unit());
    if (pass != nullptr) {
      const auto found = pass->samples.find(record.unit());
      UnitSample sample;
      if (found != pass->samples.end()) sample = found->second;
      sample.from = pass->from;
      sample.until = pass->until;
      sample.complete = pass->complete;
      sample.measured = pass->measured;
      if (pass->from != 0) scaler_observe(clocks.history, sample, options);
    }
    const bool cold = !rolled_back && demand.waiting > 0 && record.vector().prefill() + record.vector().decode() == 0;
    if (rolled_back || (pass == nullptr && !cold)) continue;
    const auto standing = standing_of(state, record, ready, demand);
    const auto advice = scaler_advise(clocks.history, standing, options, context.now);
    clocks.reason = std::string(cold ? "Held:" : "") + advice.prefill.reason + "," + advice.decode.reason;
    const auto& model = context.document.models.at(unit_model(record.unit()));
    move_vector(state, record, scaler_constrain(clocks.history, advice, standing, model, options, context.now), context,
                effects);
  }
}

bool steward_settle(StewardState& state, wire::UnitRecord& record, const PhaseVector& ready, bool gone,
                    const ScalerOptions& options, Moment now, Effects& effects) {
  auto& clocks = state.clocks[record.unit()];
  bool rolled_back = false;
  const auto past = [&](const std::optional<Moment>& since, double limit_s) {
    return since && static_cast<double>(now - *since) >= limit_s * 1000;
  };
  if (record.pending()) {
    const bool taken = ready.prefill >= record.vector().prefill() && ready.decode >= record.vector().decode();
    const bool late = past(clocks.pending_since, options.pending_timeout_s);
    if (late && !taken) {
      note(effects, "scaler.rollback",
           {{"unit", record.unit()}, {"from", text_of(record.vector())}, {"to", text_of(record.baseline())}});
      *record.mutable_vector() = record.baseline();
      rolled_back = true;
    }
    if (taken || late) {
      record.set_pending(false);
      record.clear_baseline();
      clocks.pending_since.reset();
    }
  }
  const auto aborted = std::ranges::find(state.orders.aborted, record.unit());
  const bool broke = aborted != state.orders.aborted.end();
  if (broke) state.orders.aborted.erase(aborted);
  if (record.retiring() && (broke || gone)) {
    if (broke) {
      note(effects, "scaler.abort", {{"unit", record.unit()}, {"restored", text_of(record.shrunk_from())}});
      *record.mutable_vector() = record.shrunk_from();
      record.set_cooling(true);
      clocks.cooling_since = now;
    }
    record.set_retiring(false);
    record.clear_shrunk_from();
  }
  if (record.cooling() && past(clocks.cooling_since, options.abort_cooldown_s)) {
    record.set_cooling(false);
    clocks.cooling_since.reset();
  }
  if (record.grown() && past(clocks.decode_grown, options.decode_grace_s)) {
    record.set_grown(false);
    clocks.decode_grown.reset();
  }
  return rolled_back;
}

}  // namespace weldsail
