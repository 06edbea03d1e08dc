#include <cmath>

#include "core/configuration/config.hpp"

namespace weldsail {
namespace {

constexpr std::int64_t parts = 1000;

std::int64_t in_parts(double ratio) { return std::llround(ratio * static_cast<double>(parts)); }

}  // namespace

bool band_holds(std::int64_t prefill, std::int64_t decode, const ScalerOptions& options) {
  if (prefill == 0 && decode == 0) return true;
  if (prefill == 0 || decode == 0) return false;
  return prefill * parts >= in_parts(options.ratio_min) * decode &&
         prefill * parts <= in_parts(options.ratio_max) * decode;
}

bool band_feasible(const Bounds& prefill, const Bounds& decode, const ScalerOptions& options) {
  for (auto count = decode.least; count <= decode.most; ++count)
    for (auto other = prefill.least; other <= prefill.most; ++other)
      if (band_holds(other, count, options)) return true;
  return false;
}

std::string unit_name(const std::string& cell, const std::string& model) { return cell + "/" + model; }

std::string unit_model(const std::string& unit) { return unit.substr(unit.find('/') + 1); }

std::string unit_cell(const std::string& unit) { return unit.substr(0, unit.find('/')); }

std::string service_cell(const ConfigDocument& document, const std::string& service) {
  for (const auto& [cell, services] : document.cells)
    if (services.contains(service)) return cell;
  return {};
}

std::set<std::string> config_units(const ConfigDocument& document) {
  std::set<std::string> units;
  for (const auto& [name, tenant] : document.tenants)
    for (const auto& [route, options] : tenant.routes)
      if (!options.model.empty()) units.insert(unit_name(tenant.cell, options.model));
  return units;
}

}  // namespace weldsail
