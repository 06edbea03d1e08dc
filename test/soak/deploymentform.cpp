#include "core/configuration/pathduty.hpp"
#include "core/json.hpp"
#include "documentform.hpp"
#include "modelcallers.hpp"
#include "modelworkers.hpp"
#include "platform/dialect.hpp"

namespace weldsail::soak {
namespace {

constexpr std::size_t hosts = 20;
constexpr std::size_t first_due = 5000;
constexpr std::uint64_t first_revision = 1;
const std::string label_begin = "route-";

std::string route_text(std::size_t number, std::size_t due_ms) {
  const auto text = std::to_string(number);
  return R"({"label":")" + label_begin + text + R"(","host":"host-)" + std::to_string(number % hosts) +
         R"(.example","path_prefix":"/area-)" + text + R"(/","plant":"booking","mode":"idempotent","deadline_ms":)" +
         std::to_string(due_ms) + "}";
}

std::string routes_text(std::size_t from, std::size_t until, std::size_t due_ms) {
  std::string text = "[";
  for (auto number = from; number < until; ++number) text += (number == from ? "" : ",") + route_text(number, due_ms);
  return text + "]";
}

std::string key_of(std::size_t route) { return "key-" + std::to_string(route); }

/// A tenant for each route, so that a change brings keys with its routes.
std::string tenants_text(std::size_t from, std::size_t until) {
  std::string text;
  for (auto number = from; number < until; ++number)
    text += R"({"label":"tenant-)" + std::to_string(number) + R"(","credentials":[")" + key_of(number) + R"("]},)";
  return "[" + text + ModelCallers::tenant_text() + "]";
}

std::string first_document(std::size_t routes) {
  return R"({"revision":)" + std::to_string(first_revision) +
         R"(,"plants":[{"label":"booking","probe":"/probe","conn_limit":100},)" + ModelWorkers::plant_text() +
         R"(],"route_table":[)" + ModelCallers::route_text() + "," + routes_text(0, routes, first_due).substr(1) +
         R"(,"tenants":)" + tenants_text(0, routes) + "}";
}

Question first_request(const std::string& document) {
  return {"POST", {}, "/api/configuration/replace", {{"x-base-revision", "0"}}, document};
}

std::string change_body(const RouteChange& change) {
  return R"({"revision":)" + std::to_string(change.revision) + R"(,"apply":{"route_table":)" +
         routes_text(change.from, change.until, change.due_ms) + R"(,"tenants":)" +
         tenants_text(change.from, change.until) + "}}";
}

std::string identity(const std::string&, std::uint64_t base, const std::string& body) {
  RequestArrived request;
  request.body = body;
  return path_operation({ConfigCallKind::amend, base}, request).change();
}

Question change_request(const std::string&, std::uint64_t base, const std::string& body) {
  return {"POST", {}, "/api/configuration/amend", {{"x-base-revision", std::to_string(base)}}, body};
}

Question probe(std::size_t route) {
  return {"POST",
          {},
          "/area-" + std::to_string(route) + "/probe",
          {{"host", "host-" + std::to_string(route % hosts) + ".example"},
           {"x-trial-id", "soak"},
           {"x-key", key_of(route)},
           {"x-deadline-ms", "500"}},
          "{}"};
}

std::uint64_t revision(const std::string& document) { return platform_read_config(document).config.revision; }

std::map<std::size_t, std::size_t> dues(const std::string& document) {
  std::map<std::size_t, std::size_t> result;
  for (const auto& route : platform_read_config(document).config.routes)
    if (route.name.starts_with(label_begin))
      result[std::stoull(route.name.substr(label_begin.size()))] = static_cast<std::size_t>(route.due);
  return result;
}

}  // namespace

const DocumentForm& deployment_form() {
  static constexpr DocumentForm form{
      .numbered = true,
      .first_document = first_document,
      .first_request = first_request,
      .change_body = change_body,
      .identity = identity,
      .change_request = change_request,
      .read_path = "/api/configuration/read",
      .conflict_status = 412,
      .probe = probe,
      .revision = revision,
      .dues = dues,
  };
  return form;
}

}  // namespace weldsail::soak
