// The configuration of case 1, and figures that a trial may change.
#pragma once
#include <cstdlib>
#include <string>

namespace standins {

/// A figure from the environment; the cases run without any.
inline double env_or(const char* name, double fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : std::atof(value);
}

/// One route to fourteen models on six workers.
inline std::string model_document() {
  std::string models;
  for (const char* name : {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n"})
    models += (models.empty() ? "" : ",") + std::string(R"({"label":")") + name +
              R"(","weights_mb":72700.0,"load_s":2.1,"adapters":0,"adapter_mb":66.0})";
  return R"({"revision":1,"route_table":[{"label":"r-chat","host":"lm.example","path_prefix":"/chat/","mode":"stream",)"
         R"("deadline_ms":12000,"setpoint_ms":400,"precedence":1,"plant":"lm","trials":2,"pinned":true,"continue":true,)"
         R"("gap_setpoint_ms":300}],"plants":[{"label":"lm","probe":"/probe","conn_limit":370,"protocol":"h1",)"
         R"("tls":false,"runtime":{"capacity":64,"cache_tokens":157145,"cache_token_bytes":163840,)"
         R"("link_mbps":1100000.0,"stride":6,"models":[)" +
         models +
         R"(],"weights_mb":220000.0,"adapter_capacity":8,"loads_per_s":4.2}}],"constraints":{"header_bytes":16384,)"
         R"("body_bytes":4194304,"header_ms":3000,"idle_ms":15000}})";
}

}  // namespace standins
