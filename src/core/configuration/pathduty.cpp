#include "core/configuration/pathduty.hpp"

#include "core/configuration/config.hpp"

#include "core/membership/rendezvous.hpp"

namespace weldsail {

PathDecision path_change(const Dialect& dialect, const std::string& current, std::uint64_t revision,
                         const wire::Operate& operation) {
  if (operation.base().empty()) return {400, {}, {{"", "names no revision that it builds on"}}};
  if (operation.base() != std::to_string(revision))
    return {
        412, {}, {{"", "builds on " + operation.base() + ", but the current revision is " + std::to_string(revision)}}};
  auto document = operation.body();
  if (operation.method() == "POST") {
    auto amended = dialect.amend_config(current, operation.body());
    if (!amended) return {400, {}, std::move(amended.error())};
    document = std::move(*amended);
  }
  auto read = dialect.read_config(document);
  if (!read.faults.empty()) return {400, {}, std::move(read.faults)};
  if (read.config.revision <= revision) return {400, {}, {{"/revision", "must be above " + std::to_string(revision)}}};
  return {200, std::move(document), {}};
}

wire::Operate path_operation(const ConfigCall& call, const RequestArrived& event) {
  const bool amends = call.kind == ConfigCallKind::amend;
  wire::Operate operation;
  operation.set_method(call.kind == ConfigCallKind::read ? "GET" : amends ? "POST" : "PUT");
  operation.set_path(amends ? "/v1/config/change" : config_path);
  if (call.kind == ConfigCallKind::read) return operation;
  if (call.base) operation.set_base(std::to_string(*call.base));
  operation.set_body(event.body.text());
  const auto origin = amends ? "amend " + operation.base() + " " : std::string("replace ");
  operation.set_change("c" + std::to_string(digest(origin + event.body.text())) + "-" +
                       std::to_string(event.body.size()));
  return operation;
}

}  // namespace weldsail
