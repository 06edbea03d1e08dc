#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/event.hpp"
#include "core/forwarding/outcome.hpp"

namespace weldsail {

/// Where operators read and replace the configuration.
inline constexpr const char* config_path = "/v1/config";

/// One thing wrong with a document, named by JSON pointer.
struct Fault {
  std::string pointer;
  std::string message;
};

/// Least and most workers of a phase.
struct Bounds {
  std::int64_t least = 0;
  std::int64_t most = 0;
};

/// Values of the scaler; the defaults are the design's.
struct ScalerOptions {
  double interval_s = 15;
  double stable_window_s = 180;
  double panic_window_s = 60;
  double panic_threshold = 2;
  double ttft_target_ms = 500;
  double itl_target_ms = 50;
  double breach_ratio = 1.2;
  double prefill_tokens_per_s = 2000;
  double decode_tokens_per_s = 800;
  double ratio_min = 0.5;
  double ratio_max = 2;
  double grow_step = 4;
  double grow_percent = 100;
  double shrink_step = 1;
  double floor_window_s = 300;
  double decode_grace_s = 120;
  double abort_cooldown_s = 300;
  double pending_timeout_s = 300;
  double sample_limit = 64;
  double idle_evict_s = 20;
};

/// One model that cells may route to.
struct ModelOptions {
  std::int64_t weights_mb = 0;
  Bounds prefill{0, 64};
  Bounds decode{0, 64};
  Moment due_limit = 120000;
};

/// Longest due of a call; idempotency keys are kept for at least as long.
inline constexpr Moment call_due_most = 600000;

/// What a back-end service is for.
enum class ServiceKind { model, call };
/// How a route's requests are run.
enum class RouteKind { stream, deferred, call };

/// One route of a tenant.
struct RouteOptions {
  RouteKind kind = RouteKind::stream;
  std::string model;
  std::string adapter;
  std::string service;
  bool resumable = false;
  Moment due = 30000;
};

/// A tenant and the cell that owns it.
struct TenantOptions {
  std::string cell;
  std::map<std::string, RouteOptions> routes;
};

/// A whole configuration, read.
struct ConfigDocument {
  std::map<std::string, std::map<std::string, ServiceKind>> cells;
  std::map<std::string, TenantOptions> tenants;
  std::map<std::string, ModelOptions> models;
  std::map<std::string, std::string> adapters;
  double loads_per_s = 1;
  ScalerOptions scaler;
};

/// A document and all that is wrong with it; it may be used only without faults.
struct ReadConfig {
  ConfigDocument document;
  std::vector<Fault> faults;
};

/// Reads and checks a document whole.
ReadConfig read_config(const std::string& bytes);
/// Applies named changes ({"set": {pointer: value}, "remove": [pointer]}) to a document.
std::expected<std::string, std::vector<Fault>> change_config(const std::string& bytes, const std::string& change);
/// True when some vector within the bounds meets the ratio band; exact.
bool band_feasible(const Bounds& prefill, const Bounds& decode, const ScalerOptions& options);
/// True when the ratio of the two counts lies in the band, or both rest at zero.
bool band_holds(std::int64_t prefill, std::int64_t decode, const ScalerOptions& options);

/// Name of the pair of a cell and a model that is scaled as one.
std::string unit_name(const std::string& cell, const std::string& model);
/// The model of a unit.
std::string unit_model(const std::string& unit);
/// The cell of a unit.
std::string unit_cell(const std::string& unit);
/// The cell that claims a service; empty when none does.
std::string service_cell(const ConfigDocument& document, const std::string& service);
/// All units that some route of the document needs.
std::set<std::string> config_units(const ConfigDocument& document);

}  // namespace weldsail
