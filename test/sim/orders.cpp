#include "sim/orders.hpp"

#include "core/json.hpp"

namespace weldsail::sim {
namespace {

constexpr const char* own_routes = "/cells/cell/tenants/t1/routes";

std::string own_route(const std::string& name) { return "\"" + name + R"(":{"kind":"stream","model":"m1"})"; }

std::string dialect_route(const std::string& name) {
  return R"({"label":")" + name + R"(","host":")" + name + R"(","path_prefix":"/x/","plant":"p","deadline_ms":100})";
}

template <typename Write>
std::string listed(const std::set<std::string>& names, Write write) {
  std::string text;
  for (const auto& name : names) text += (text.empty() ? "" : ",") + write(name);
  return text;
}

std::string own_body(const Order& order) {
  if (!order.amends)
    return R"({"models":{"m1":{"weights_mb":10,"prefill":{"min":1,"max":1},"decode":{"min":1,"max":1}}},)"
           R"("cells":{"cell":{"services":{"models":{"kind":"model"}},"tenants":{"t1":{"routes":{)" +
           listed(order.routes, own_route) + "}}}}}}";
  std::string set;
  for (const auto& name : order.routes)
    set += (set.empty() ? "" : ",") + ("\"" + std::string(own_routes) + "/" + name) +
           R"(":{"kind":"stream","model":"m1"})";
  const auto remove = order.removed.empty() ? "" : ("\"" + std::string(own_routes) + "/" + order.removed + "\"");
  return R"({"set":{)" + set + R"(},"remove":[)" + remove + "]}";
}

std::string dialect_body(const Order& order) {
  const auto routes = "[" + listed(order.routes, dialect_route) + "]";
  const auto start = R"({"revision":)" + std::to_string(order.number);
  if (!order.amends) return start + R"(,"route_table":)" + routes + R"(,"plants":[{"label":"p"}]})";
  const auto removed = order.removed.empty() ? "" : "\"" + order.removed + "\"";
  return start + R"(,"apply":{"route_table":)" + routes + R"(},"remove":{"route_table":[)" + removed + "]}}";
}

}  // namespace

std::optional<PlainConfig> plain_change(const PlainConfig& current, const Order& order) {
  if (order.base != current.number || order.number <= current.number) return std::nullopt;
  PlainConfig next{order.number, order.routes};
  if (order.amends) {
    next.routes.insert(current.routes.begin(), current.routes.end());
    next.routes.erase(order.removed);
  }
  return next;
}

RequestArrived order_request(const Order& order, bool dialect) {
  if (!dialect)
    return {0,
            order.amends ? "POST" : "PUT",
            order.amends ? "/v1/config/change" : "/v1/config",
            {{"weldsail-base", std::to_string(order.base)}, {"weldsail-change", order.identity}},
            own_body(order)};
  return {0,
          "POST",
          order.amends ? "/api/configuration/amend" : "/api/configuration/replace",
          {{"x-base-revision", std::to_string(order.base)}},
          dialect_body(order)};
}

RequestArrived read_request(bool dialect) {
  return {0, "GET", dialect ? "/api/configuration/read" : "/v1/config", {}, {}};
}

PlainConfig plain_config(const std::string& document, bool dialect, std::uint64_t version) {
  PlainConfig config{version, {}};
  rapidjson::Document parsed;
  parsed.Parse(document.data(), document.size());
  if (parsed.HasParseError() || !parsed.IsObject()) return config;
  const auto* routes = rapidjson::Pointer(dialect ? "/route_table" : own_routes).Get(parsed);
  if (dialect) config.number = json_count_at(parsed, "/revision");
  if (routes != nullptr && routes->IsArray())
    for (const auto& item : routes->GetArray()) config.routes.insert(json_string_at(item, "/label"));
  if (routes != nullptr && routes->IsObject())
    for (const auto& item : routes->GetObject()) config.routes.insert(json_string(item.name));
  return config;
}

}  // namespace weldsail::sim
