#include "core/json.hpp"
#include "documentform.hpp"

namespace weldsail::soak {
namespace {

constexpr std::size_t tenants = 20;
constexpr std::size_t first_due = 5000;
const std::string route_begin = "route";
constexpr const char* config_path = "/v1/config";

std::string tenant_name(std::size_t number) { return "tenant" + std::to_string(number % tenants); }

std::string route_name(std::size_t number) { return route_begin + std::to_string(number); }

std::string route_pointer(std::size_t number) {
  return "/cells/hall/tenants/" + tenant_name(number) + "/routes/" + route_name(number);
}

std::string route_text(std::size_t due_ms) {
  return R"({"kind":"call","service":"booking","due_ms":)" + std::to_string(due_ms) + "}";
}

std::string first_document(std::size_t routes) {
  std::string text =
      R"({"store":{"loads_per_s":4},"models":{"m1":{"weights_mb":40},"m2":{"weights_mb":40}},"cells":{"hall":{)"
      R"("services":{"models":{"kind":"model"},"booking":{"kind":"call"}},"tenants":{"callers":{"routes":{)"
      R"("chat1":{"kind":"stream","model":"m1"},"chat2":{"kind":"stream","model":"m2","resumable":true},)"
      R"("seat":{"kind":"call","service":"booking"}}})";
  for (std::size_t tenant = 0; tenant < tenants; ++tenant) {
    text += ",\"" + tenant_name(tenant) + "\":{\"routes\":{";
    for (std::size_t number = tenant; number < routes; number += tenants)
      text += (number == tenant ? "\"" : ",\"") + route_name(number) + "\":" + route_text(first_due);
    text += "}}";
  }
  return text + "}}}}";
}

Question first_request(const std::string& document) {
  return {"PUT", {}, config_path, {{"weldsail-base", "0"}, {"weldsail-change", "first"}}, document};
}

std::string change_body(const RouteChange& change) {
  std::string text = "{\"set\":{";
  for (auto number = change.from; number < change.until; ++number)
    text += (number == change.from ? "\"" : ",\"") + route_pointer(number) + "\":" + route_text(change.due_ms);
  return text + "}}";
}

std::string identity(const std::string& name, std::uint64_t, const std::string&) { return name; }

Question change_request(const std::string& identity, std::uint64_t base, const std::string& body) {
  return {
      "POST", {}, "/v1/config/change", {{"weldsail-base", std::to_string(base)}, {"weldsail-change", identity}}, body};
}

Question probe(std::size_t route) {
  return {"POST",
          {},
          "/v1/tenants/" + tenant_name(route) + "/routes/" + route_name(route),
          {{"weldsail-due", "500"}},
          R"({"caller":"soak"})"};
}

std::uint64_t revision(const std::string&) { return 0; }

std::map<std::size_t, std::size_t> dues(const std::string& document) {
  std::map<std::size_t, std::size_t> result;
  rapidjson::Document read;
  read.Parse(document.data(), document.size());
  const auto* listed = read.HasParseError() ? nullptr : rapidjson::Pointer("/cells/hall/tenants").Get(read);
  if (listed == nullptr) return result;
  for (const auto& tenant : listed->GetObject())
    for (const auto& route : tenant.value["routes"].GetObject())
      if (const auto name = json_string(route.name); name.starts_with(route_begin))
        result[std::stoull(name.substr(route_begin.size()))] = json_count_at(route.value, "/due_ms");
  return result;
}

}  // namespace

const DocumentForm& product_form() {
  static constexpr DocumentForm form{
      .numbered = false,
      .first_document = first_document,
      .first_request = first_request,
      .change_body = change_body,
      .identity = identity,
      .change_request = change_request,
      .read_path = config_path,
      .conflict_status = 409,
      .probe = probe,
      .revision = revision,
      .dues = dues,
  };
  return form;
}

}  // namespace weldsail::soak
