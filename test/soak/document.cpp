#include "document.hpp"

#include "core/json.hpp"

namespace weldsail::soak {
namespace {

constexpr std::size_t tenants = 20;
constexpr std::size_t first_due = 5000;

std::string tenant_name(std::size_t number) { return "tenant" + std::to_string(number % tenants); }

std::string route_name(std::size_t number) { return "route" + std::to_string(number); }

}  // namespace

std::string route_path(std::size_t number) {
  return "/v1/tenants/" + tenant_name(number) + "/routes/" + route_name(number);
}

std::string route_pointer(std::size_t number) {
  return "/cells/hall/tenants/" + tenant_name(number) + "/routes/" + route_name(number);
}

std::string route_text(std::size_t due_ms) {
  return R"({"kind":"call","service":"booking","due_ms":)" + std::to_string(due_ms) + "}";
}

std::string first_document(std::size_t routes) {
  std::string text = R"({"store":{"loads_per_s":2},"models":{"m1":{"weights_mb":40}},"cells":{"hall":{)"
                     R"("services":{"models":{"kind":"model"},"booking":{"kind":"call"}},"tenants":{)";
  for (std::size_t tenant = 0; tenant < tenants; ++tenant) {
    text += (tenant == 0 ? "\"" : ",\"") + tenant_name(tenant) + "\":{\"routes\":{";
    for (std::size_t number = tenant; number < routes; number += tenants)
      text += (number == tenant ? "\"" : ",\"") + route_name(number) + "\":" + route_text(first_due);
    text += "}}";
  }
  return text + "}}}}";
}

std::string change_body(std::size_t from, std::size_t until, std::size_t due_ms) {
  std::string text = "{\"set\":{";
  for (auto number = from; number < until; ++number)
    text += (number == from ? "\"" : ",\"") + route_pointer(number) + "\":" + route_text(due_ms);
  return text + "}}";
}

std::size_t route_due(const std::string& document, std::size_t number) {
  rapidjson::Document read;
  read.Parse(document.data(), document.size());
  return read.HasParseError() ? 0 : json_count_at(read, (route_pointer(number) + "/due_ms").c_str());
}

}  // namespace weldsail::soak
