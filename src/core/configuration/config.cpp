#include "core/configuration/config.hpp"

#include <algorithm>
#include <cmath>

#include "core/json.hpp"
#include "core/placement/scalerfields.hpp"

namespace weldsail {
namespace {

using rapidjson::Pointer;
using rapidjson::Value;

struct Reader {
  ReadConfig& read;
  void fault(const std::string& pointer, std::string message) { read.faults.push_back({pointer, std::move(message)}); }

  bool names(const Value& object, const std::string& pointer) {
    if (!object.IsObject()) {
      fault(pointer, "must be an object");
      return false;
    }
    std::set<std::string> seen;
    for (const auto& item : object.GetObject()) {
      const auto name = json_string(item.name);
      if (!seen.insert(name).second) fault(pointer + "/" + pointer_step(name), "stands twice");
      if (name.empty() || name.size() > 128 || name.find_first_of("/ \t\r\n?#%") != std::string::npos)
        fault(pointer + "/" + pointer_step(name), "is no usable name");
    }
    return true;
  }

  void only(const Value& object, const std::string& pointer, std::initializer_list<const char*> allowed) {
    for (const auto& item : object.GetObject()) {
      const auto name = json_string(item.name);
      if (std::none_of(allowed.begin(), allowed.end(), [&](const char* known) { return name == known; }))
        fault(pointer + "/" + pointer_step(name), "is not known");
    }
  }

  double number(const Value& object, const std::string& pointer, const char* name, double fallback, double least,
                double most, bool whole = false) {
    const auto* found = Pointer((std::string("/") + name).c_str()).Get(object);
    if (found == nullptr) return fallback;
    const auto place = pointer + "/" + name;
    if (!found->IsNumber() || !(found->GetDouble() >= least && found->GetDouble() <= most)) {
      fault(place, "must be a number from " + std::to_string(least) + " to " + std::to_string(most));
      return fallback;
    }
    if (whole && std::floor(found->GetDouble()) != found->GetDouble()) fault(place, "must be a whole number");
    return found->GetDouble();
  }

  std::string text(const Value& object, const std::string& pointer, const char* name, bool needed) {
    const auto* found = Pointer((std::string("/") + name).c_str()).Get(object);
    if (found == nullptr) {
      if (needed) fault(pointer + "/" + name, "is missing");
      return {};
    }
    if (found->IsString()) return json_string(*found);
    fault(pointer + "/" + name, "must be a string");
    return {};
  }

  Bounds bounds(const Value& model, const std::string& pointer, const char* name) {
    const auto* found = Pointer((std::string("/") + name).c_str()).Get(model);
    if (found == nullptr) return {0, 64};
    const auto place = pointer + "/" + name;
    if (!names(*found, place)) return {0, 64};
    only(*found, place, {"min", "max"});
    const Bounds result{static_cast<std::int64_t>(number(*found, place, "min", 0, 0, 1024, true)),
                        static_cast<std::int64_t>(number(*found, place, "max", 64, 0, 1024, true))};
    if (result.least > result.most) fault(place, "min is above max");
    return result;
  }

  void scaler(const Value& value) {
    if (!names(value, "/scaler")) return;
    for (const auto& item : value.GetObject()) {
      const auto name = json_string(item.name);
      if (std::none_of(std::begin(scaler_fields), std::end(scaler_fields),
                       [&](const ScalerField& field) { return name == field.name; }))
        fault("/scaler/" + pointer_step(name), "is not known");
    }
    auto& options = read.document.scaler;
    for (const auto& field : scaler_fields)
      options.*field.place = number(value, "/scaler", field.name, options.*field.place, field.least, field.most);
    for (const auto ratio : {options.ratio_min, options.ratio_max})
      if (std::abs(ratio * 1000 - std::round(ratio * 1000)) > 1e-6)
        fault("/scaler/ratio_min", "ratios are whole thousandths");
    if (options.ratio_min > options.ratio_max) fault("/scaler/ratio_min", "is above ratio_max");
    if (options.floor_window_s / options.interval_s > 250)
      fault("/scaler/floor_window_s", "spans more than 250 passes");
    if (options.panic_window_s > options.stable_window_s)
      fault("/scaler/panic_window_s", "is longer than stable_window_s");
  }

  void models(const Value& value) {
    if (!names(value, "/models")) return;
    for (const auto& item : value.GetObject()) {
      const auto name = json_string(item.name);
      const auto pointer = "/models/" + pointer_step(name);
      if (!names(item.value, pointer)) continue;
      only(item.value, pointer, {"weights_mb", "prefill", "decode", "due_limit_ms"});
      ModelOptions model;
      if (!item.value.HasMember("weights_mb")) fault(pointer + "/weights_mb", "is missing");
      model.weights_mb = static_cast<std::int64_t>(number(item.value, pointer, "weights_mb", 1, 1, 1e9, true));
      model.prefill = bounds(item.value, pointer, "prefill");
      model.decode = bounds(item.value, pointer, "decode");
      model.due_limit = static_cast<Moment>(number(item.value, pointer, "due_limit_ms", 120000, 1, 864e5, true));
      if (!band_feasible(model.prefill, model.decode, read.document.scaler))
        fault(pointer, "no vector within the bounds meets the ratio band");
      read.document.models[name] = model;
    }
  }

  void adapters(const Value& value) {
    if (!names(value, "/adapters")) return;
    for (const auto& item : value.GetObject()) {
      const auto name = json_string(item.name);
      const auto pointer = "/adapters/" + pointer_step(name);
      if (!names(item.value, pointer)) continue;
      only(item.value, pointer, {"model"});
      const auto model = text(item.value, pointer, "model", true);
      if (!model.empty() && !read.document.models.contains(model)) fault(pointer + "/model", "names no model");
      read.document.adapters[name] = model;
    }
  }

  void route(const Value& value, const std::string& pointer, const std::string& cell, RouteOptions& options) {
    only(value, pointer, {"kind", "model", "adapter", "service", "resumable", "due_ms"});
    const auto kind = text(value, pointer, "kind", true);
    if (kind == "deferred") options.kind = RouteKind::deferred;
    if (kind == "call") options.kind = RouteKind::call;
    if (!kind.empty() && kind != "stream" && kind != "deferred" && kind != "call")
      fault(pointer + "/kind", "must be stream, deferred or call");
    const bool call = options.kind == RouteKind::call;
    options.model = text(value, pointer, "model", !call);
    options.adapter = text(value, pointer, "adapter", false);
    options.service = text(value, pointer, "service", call);
    options.resumable = json_bool_at(value, "/resumable");
    if (value.HasMember("resumable") && !value["resumable"].IsBool())
      fault(pointer + "/resumable", "must be a truth value");
    options.due = static_cast<Moment>(number(value, pointer, "due_ms", 30000, 1, 864e5, true));
    if (call && options.due > call_due_most) fault(pointer + "/due_ms", "of a call must be at most 600000");
    const auto& document = read.document;
    if (!options.model.empty() && (call || !document.models.contains(options.model)))
      fault(pointer + "/model", call ? "has no place in a call" : "names no model");
    const auto adapter = document.adapters.find(options.adapter);
    if (!options.adapter.empty() && (adapter == document.adapters.end() || adapter->second != options.model))
      fault(pointer + "/adapter", "names no adapter of the model");
    if (options.service.empty()) return;
    const auto& services = document.cells.at(cell);
    const auto service = services.find(options.service);
    if (!call || service == services.end() || service->second != ServiceKind::call)
      fault(pointer + "/service", "names no call service of the cell");
  }

  void services(const Value& value, const std::string& cell, const std::string& pointer) {
    if (!names(value, pointer)) return;
    for (const auto& item : value.GetObject()) {
      const auto name = json_string(item.name);
      const auto place = pointer + "/" + pointer_step(name);
      if (!names(item.value, place)) continue;
      only(item.value, place, {"kind"});
      const auto kind = text(item.value, place, "kind", true);
      if (!kind.empty() && kind != "model" && kind != "call") fault(place + "/kind", "must be model or call");
      for (const auto& [other, claimed] : read.document.cells)
        if (other != cell && claimed.contains(name)) fault(place, "is claimed by cell " + other + " too");
      read.document.cells[cell][name] = kind == "call" ? ServiceKind::call : ServiceKind::model;
    }
  }

  void cells(const Value& value) {
    if (!names(value, "/cells")) return;
    for (const auto& item : value.GetObject()) {
      const auto cell = json_string(item.name);
      const auto pointer = "/cells/" + pointer_step(cell);
      read.document.cells[cell];
      if (!names(item.value, pointer)) continue;
      only(item.value, pointer, {"services", "tenants"});
      if (const auto* found = Pointer("/services").Get(item.value)) services(*found, cell, pointer + "/services");
      const auto* tenants = Pointer("/tenants").Get(item.value);
      if (tenants == nullptr || !names(*tenants, pointer + "/tenants")) continue;
      for (const auto& tenant : tenants->GetObject()) {
        const auto name = json_string(tenant.name);
        const auto place = pointer + "/tenants/" + pointer_step(name);
        if (read.document.tenants.contains(name)) fault(place, "is claimed by another cell too");
        auto& options = read.document.tenants[name];
        options.cell = cell;
        if (!names(tenant.value, place)) continue;
        only(tenant.value, place, {"routes"});
        const auto* routes = Pointer("/routes").Get(tenant.value);
        if (routes == nullptr || !names(*routes, place + "/routes")) continue;
        for (const auto& entry : routes->GetObject()) {
          const auto route_name = json_string(entry.name);
          const auto route_place = place + "/routes/" + pointer_step(route_name);
          if (names(entry.value, route_place)) route(entry.value, route_place, cell, options.routes[route_name]);
        }
      }
    }
  }
};

}  // namespace

ReadConfig read_config(const std::string& bytes) {
  ReadConfig read;
  Reader reader{read};
  rapidjson::Document parsed;
  parsed.Parse<json_strict>(bytes.data(), bytes.size());
  if (parsed.HasParseError()) {
    reader.fault("", "is no JSON, at byte " + std::to_string(parsed.GetErrorOffset()));
    return read;
  }
  if (!reader.names(parsed, "")) return read;
  reader.only(parsed, "", {"cells", "models", "adapters", "store", "scaler"});
  if (const auto* found = Pointer("/scaler").Get(parsed)) reader.scaler(*found);
  if (const auto* found = Pointer("/store").Get(parsed); found != nullptr && reader.names(*found, "/store")) {
    reader.only(*found, "/store", {"loads_per_s"});
    read.document.loads_per_s = reader.number(*found, "/store", "loads_per_s", 1, 0.001, 1000);
  }
  if (const auto* found = Pointer("/models").Get(parsed)) reader.models(*found);
  if (const auto* found = Pointer("/adapters").Get(parsed)) reader.adapters(*found);
  if (const auto* found = Pointer("/cells").Get(parsed))
    reader.cells(*found);
  else
    reader.fault("/cells", "is missing");
  return read;
}

}  // namespace weldsail
