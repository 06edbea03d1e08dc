#include "core/placement/placer.hpp"

#include <algorithm>
#include <limits>

namespace weldsail {
namespace {

const WorkerView* view_of(const FitInput& input, const wire::WorkerRecord& record) {
  const auto found = input.watch->views.find(record.address());
  return found == input.watch->views.end() ? nullptr : &found->second;
}

bool eligible(const FitInput& input, const wire::Placement& placement, const wire::WorkerRecord& record,
              const std::string& unit) {
  const auto cell = input.document->cells.find(unit_cell(unit));
  if (cell == input.document->cells.end()) return false;
  const auto service = cell->second.find(record.service());
  if (service == cell->second.end() || service->second != ServiceKind::model) return false;
  const auto* view = view_of(input, record);
  return view != nullptr && worker_present(*input.watch, *view, input.now) && !view->status->draining &&
         !worker_drained(placement, record);
}

std::int64_t weights_of(const FitInput& input, const std::string& model) {
  const auto found = input.document->models.find(model);
  return found == input.document->models.end() ? 0 : found->second.weights_mb;
}

bool kept_warm(const FitInput& input, const std::string& unit) {
  const auto found = input.document->models.find(unit_model(unit));
  return found != input.document->models.end() && (found->second.prefill.least > 0 || found->second.decode.least > 0);
}

void remove_unit(wire::WorkerRecord& record, const std::string& unit) {
  auto* units = record.mutable_units();
  units->erase(std::remove(units->begin(), units->end(), unit), units->end());
}

std::int64_t in_locality(const wire::Placement& placement, const std::string& unit, const std::string& locality) {
  return std::ranges::count_if(placement.workers(), [&](const wire::WorkerRecord& record) {
    return record.locality() == locality && holds_unit(record, unit);
  });
}

bool reports_model(const FitInput& input, const wire::WorkerRecord& record, const std::string& model) {
  const auto* view = view_of(input, record);
  return view != nullptr && view->status && view->status->models.contains(model);
}

void drop_extra(wire::Placement& placement, const FitInput& input, const std::string& unit, const std::string& phase,
                std::int64_t wanted) {
  while (assigned_count(placement, unit, phase) > wanted) {
    wire::WorkerRecord* worst = nullptr;
    std::pair<bool, std::int64_t> worst_rank{};
    for (auto& record : *placement.mutable_workers()) {
      if (record.phase() != phase || !holds_unit(record, unit)) continue;
      const std::pair rank{!reports_model(input, record, unit_model(unit)),
                           in_locality(placement, unit, record.locality())};
      if (worst != nullptr && rank <= worst_rank) continue;
      worst = &record;
      worst_rank = rank;
    }
    if (worst == nullptr) return;
    remove_unit(*worst, unit);
  }
}

bool add_one(wire::Placement& placement, const FitInput& input, const std::string& unit, const std::string& phase) {
  const auto model = unit_model(unit);
  wire::WorkerRecord* best = nullptr;
  std::tuple<bool, std::int64_t, std::int64_t> best_rank{};
  for (auto& record : *placement.mutable_workers()) {
    if (record.phase() != phase || holds_unit(record, unit) || !eligible(input, placement, record, unit)) continue;
    const bool held = reports_model(input, record, model);
    const auto free = view_of(input, record)->status->room_mb - room_taken(input, record);
    if (!held && free < weights_of(input, model)) continue;
    const std::tuple rank{held, -in_locality(placement, unit, record.locality()), free};
    if (best != nullptr && rank <= best_rank) continue;
    best = &record;
    best_rank = rank;
  }
  if (best == nullptr) return false;
  best->add_units(unit);
  return true;
}

void fit_adapters(const FitInput& input, wire::WorkerRecord& record) {
  const auto* view = view_of(input, record);
  const auto capacity = view != nullptr && view->status ? view->status->adapter_capacity : 0;
  std::vector<std::string> wanted;
  for (const auto& unit : record.units()) {
    const auto demand = input.demand.find(unit);
    if (demand == input.demand.end()) continue;
    for (const auto& adapter : demand->second.adapters) wanted.push_back(adapter);
  }
  const auto fits = [&](const std::string& adapter) {
    const auto found = input.document->adapters.find(adapter);
    return found != input.document->adapters.end() && std::ranges::any_of(record.units(), [&](const std::string& unit) {
             return unit_model(unit) == found->second;
           });
  };
  std::vector<std::string> kept;
  const auto add = [&](const std::string& adapter) {
    if (kept.size() < capacity && fits(adapter) && std::ranges::find(kept, adapter) == kept.end())
      kept.push_back(adapter);
  };
  for (const auto& adapter : record.adapters())
    if (std::ranges::find(wanted, adapter) != wanted.end()) add(adapter);
  for (const auto& adapter : wanted) add(adapter);
  for (const auto& adapter : record.adapters()) add(adapter);
  std::ranges::sort(kept);
  record.clear_adapters();
  for (const auto& adapter : kept) record.add_adapters(adapter);
}

std::vector<std::string> units_by_need(const wire::Placement& placement, const FitInput& input) {
  std::vector<std::pair<Moment, std::string>> order;
  for (const auto& record : placement.units()) {
    const auto demand = input.demand.find(record.unit());
    const bool waits = demand != input.demand.end() && demand->second.waiting > 0;
    order.emplace_back(waits ? -demand->second.oldest - 1 : 0, record.unit());
  }
  std::ranges::sort(order);
  std::vector<std::string> units;
  for (auto& [rank, unit] : order) units.push_back(std::move(unit));
  return units;
}

}  // namespace

bool holds_unit(const wire::WorkerRecord& record, const std::string& unit) {
  return std::ranges::find(record.units(), unit) != record.units().end();
}

bool worker_drained(const wire::Placement& placement, const wire::WorkerRecord& record) {
  return std::ranges::any_of(placement.drained(), [&](const std::string& name) {
    return name == "worker:" + record.address() || name == "locality:" + record.locality();
  });
}

std::int64_t room_taken(const FitInput& input, const wire::WorkerRecord& record) {
  std::map<std::string, std::int64_t> models;
  for (const auto& unit : record.units()) models[unit_model(unit)] = weights_of(input, unit_model(unit));
  if (const auto found = input.ordered.find(record.address()); found != input.ordered.end())
    for (const auto& model : found->second) models[model] = std::max(models[model], weights_of(input, model));
  const auto* view = view_of(input, record);
  if (view != nullptr && view->status)
    for (const auto& [model, held] : view->status->models)
      models[model] = std::max({models[model], held.weights_mb, weights_of(input, model)});
  std::int64_t taken = 0;
  for (const auto& [model, weights] : models) taken += weights;
  return taken;
}

wire::UnitRecord& unit_record(wire::Placement& placement, const std::string& unit) {
  for (auto& record : *placement.mutable_units())
    if (record.unit() == unit) return record;
  auto* record = placement.add_units();
  record->set_unit(unit);
  record->mutable_vector();
  return *record;
}

std::int64_t assigned_count(const wire::Placement& placement, const std::string& unit, const std::string& phase) {
  return std::ranges::count_if(placement.workers(), [&](const wire::WorkerRecord& record) {
    return record.phase() == phase && holds_unit(record, unit);
  });
}

PhaseVector ready_count(const wire::Placement& placement, const WorkerWatch& watch, const std::string& unit,
                        Moment now) {
  PhaseVector ready;
  for (const auto& record : placement.workers()) {
    const auto view = watch.views.find(record.address());
    if (!holds_unit(record, unit) || view == watch.views.end() || !worker_present(watch, view->second, now)) continue;
    const auto model = view->second.status->models.find(unit_model(unit));
    if (model == view->second.status->models.end() || model->second.state != "ready") continue;
    (record.phase() == "prefill" ? ready.prefill : ready.decode) += 1;
  }
  return ready;
}

void placer_fit(wire::Placement& placement, const FitInput& input) {
  for (auto& record : *placement.mutable_workers())
    for (const auto& unit : std::vector<std::string>(record.units().begin(), record.units().end()))
      if (!eligible(input, placement, record, unit)) remove_unit(record, unit);
  for (const auto& unit : units_by_need(placement, input)) {
    const auto vector = unit_record(placement, unit).vector();
    drop_extra(placement, input, unit, "prefill", vector.prefill());
    drop_extra(placement, input, unit, "decode", vector.decode());
  }
  for (const auto& unit : units_by_need(placement, input)) {
    const auto vector = unit_record(placement, unit).vector();
    while (assigned_count(placement, unit, "prefill") < vector.prefill() &&
           add_one(placement, input, unit, "prefill")) {
    }
    while (assigned_count(placement, unit, "decode") < vector.decode() && add_one(placement, input, unit, "decode")) {
    }
  }
  for (auto& record : *placement.mutable_workers()) fit_adapters(input, record);
}

bool placer_evict(wire::Placement& placement, const FitInput& input, Effects& effects) {
  const auto idle_limit = static_cast<Moment>(input.document->scaler.idle_evict_s * 1000);
  const auto idle = [&](const std::string& unit, Moment held) {
    const auto found = input.demand.find(unit);
    return found == input.demand.end() || (found->second.waiting == 0 && found->second.running == 0 &&
                                           found->second.quiet >= std::max(idle_limit / 8, idle_limit - held));
  };
  for (const auto& unit : units_by_need(placement, input)) {
    const auto demand = input.demand.find(unit);
    if (demand == input.demand.end() || demand->second.waiting == 0) continue;
    if (unit_record(placement, unit).vector().prefill() == 0) continue;
    if (assigned_count(placement, unit, "prefill") + assigned_count(placement, unit, "decode") > 0) continue;
    const auto weights = weights_of(input, unit_model(unit));
    std::string victim;
    Moment victim_quiet = -1;
    bool room_coming = false;
    for (const auto& record : placement.workers()) {
      if (!eligible(input, placement, record, unit)) continue;
      std::int64_t staying = 0;
      for (const auto& other : record.units()) staying += weights_of(input, unit_model(other));
      const auto room = view_of(input, record)->status->room_mb;
      if (staying + weights <= room) room_coming = true;
      for (const auto& other : record.units()) {
        const auto found = input.demand.find(other);
        const auto quiet = found == input.demand.end() ? std::numeric_limits<Moment>::max() : found->second.quiet;
        if (!idle(other, demand->second.oldest) || quiet <= victim_quiet || kept_warm(input, other)) continue;
        if (unit_record(placement, other).cooling()) continue;
        victim = other;
        victim_quiet = quiet;
      }
    }
    if (room_coming || victim.empty()) continue;
    auto& record = unit_record(placement, victim);
    const PhaseVector less{record.vector().prefill() - 1, record.vector().decode() - 1};
    const bool rest = !band_holds(less.prefill, less.decode, input.document->scaler);
    *record.mutable_shrunk_from() = record.vector();
    record.mutable_vector()->set_prefill(rest ? 0 : static_cast<std::uint32_t>(less.prefill));
    record.mutable_vector()->set_decode(rest ? 0 : static_cast<std::uint32_t>(less.decode));
    record.set_retiring(true);
    note(effects, "placement.evict", {{"unit", victim}, {"for", unit}});
    return true;
  }
  return false;
}

}  // namespace weldsail
