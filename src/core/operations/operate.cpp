#include "core/operations/operate.hpp"

#include <algorithm>

#include "core/bulk/withdraw.hpp"
#include "core/configuration/config.hpp"
#include "core/hash.hpp"
#include "core/json.hpp"
#include "core/membership/rendezvous.hpp"

namespace weldsail {
namespace {

void write_member(JsonText& text, const wire::Member& entry) {
  text.object().field("node", std::to_string(entry.node())).field("address", entry.address());
  text.field("callers", entry.callers()).field("locality", entry.locality());
  text.field("program", entry.program() == static_cast<std::uint32_t>(Program::data) ? "wsdp" : "wscp");
  text.field("state", member_state_name(entry.state()));
  text.field("disk", std::to_string(entry.disk())).field("cluster", std::to_string(entry.cluster()));
  text.number("config_version", entry.config_version()).number("release", entry.release());
  text.key("holds").array();
  for (const auto& holding : entry.holdings()) text.item(holding.key());
  text.end().close();
}

/// Another process may answer, or this one later.
bool tells_to_retry(std::uint32_t status) { return status == 503 || status == 504; }

std::string members_text(const MemberState& member) {
  JsonText text;
  text.object().key("members").array();
  write_member(text, member.self);
  for (const auto& [node, view] : member.others) write_member(text, view.entry);
  text.end().close();
  return text.text();
}

}  // namespace

std::string operate_faults(const std::vector<Fault>& faults, const std::string& change) {
  JsonText text;
  text.object().field("outcome", faults.empty() ? "valid" : "refused");
  if (!faults.empty()) text.field("code", "invalid");
  if (!change.empty()) text.field("change", change);
  text.key("faults").array();
  for (const auto& fault : faults)
    text.object().field("pointer", fault.pointer).field("message", fault.message).close();
  text.end().close();
  return text.text();
}

bool operate_path(const std::string& path) {
  static constexpr const char* roots[] = {"/v1/config", "/v1/members", "/v1/workers", "/v1/placements", "/v1/holds",
                                          "/v1/status", "/v1/drain",   "/v1/core",    metrics_path};
  return std::ranges::any_of(roots,
                             [&](const std::string& root) { return path == root || path.starts_with(root + "/"); });
}

std::optional<std::string> operate_key(const std::string& path) {
  if (path == "/v1/members" || path == "/v1/status" || path == "/v1/config/check") return std::nullopt;
  if (path == "/v1/core" || path == "/v1/core/recover") return core_key;
  return path.starts_with("/v1/config") ? config_key : placement_key;
}

bool metrics_asked(const RequestArrived& event) { return event.path == metrics_path || event.door == metrics_door; }

void metrics_answer(const RequestArrived& event, const std::function<std::string()>& text, Effects& effects) {
  if (event.path != metrics_path) return effects.push_back(Answer{event.request, 404, {}, {}});
  if (event.method != "GET") return effects.push_back(Answer{event.request, 405, {{"allow", "GET"}}, {}});
  effects.push_back(Answer{event.request, 200, {{"content-type", metrics_type}}, text()});
}

std::string operate_unheard(const wire::Operate& operation) {
  const bool changes = operation.path() == config_path || operation.path() == "/v1/config/change";
  return changes && operation.method() != "GET" ? "unknown" : "refused";
}

std::string header_value(const std::vector<Header>& headers, const std::string& name) {
  const auto found = std::ranges::find(headers, name, &Header::name);
  return found == headers.end() ? std::string() : found->value;
}

bool operate_readable(const RequestArrived& event) {
  return plain_text(event.method) && plain_text(event.path) &&
         plain_text(header_value(event.headers, "weldsail-base")) &&
         plain_text(header_value(event.headers, "weldsail-change"));
}

wire::Operate operate_read(const RequestArrived& event, std::uint64_t random) {
  wire::Operate operation;
  operation.set_method(event.method);
  operation.set_path(event.path);
  operation.set_body(event.body.text());
  operation.set_base(header_value(event.headers, "weldsail-base"));
  operation.set_change(header_value(event.headers, "weldsail-change"));
  if (operation.change().empty()) operation.set_change("c" + std::to_string(mix(random ^ event.request)));
  return operation;
}

void operate_answer(const MemberState& member, const Asker& asker, int status, std::string body, Effects& effects,
                    const std::string& version) {
  if (asker.node == 0) {
    std::vector<Header> headers{{"content-type", "application/json"}};
    if (!version.empty()) headers.push_back({"weldsail-version", version});
    if (tells_to_retry(static_cast<std::uint32_t>(status))) headers.push_back({"retry-after", "1"});
    effects.push_back(Answer{asker.request, status, std::move(headers), std::move(body)});
    return;
  }
  auto envelope = member_envelope(member, asker.node);
  auto* answer = envelope.mutable_operated();
  answer->set_request(asker.request);
  answer->set_status(static_cast<std::uint32_t>(status));
  answer->set_version(version);
  answer->set_body(std::move(body));
  effects.push_back(SendMessage{asker.address, std::move(envelope)});
}

void operate_refuse(const MemberState& member, const Asker& asker, int status, const std::string& code,
                    const std::string& outcome, const std::string& change, Effects& effects) {
  JsonText text;
  text.object().field("code", code).field("outcome", outcome);
  if (!change.empty()) text.field("change", change);
  text.close();
  operate_answer(member, asker, status, text.text(), effects);
}

namespace {

/// What makes two sendings of a large change the same one; empty for anything else.
std::string change_content(const wire::Operate& operation) {
  if (operation.method() == "GET" || operation.body().size() < piece_most) return {};
  auto content = operation;
  content.clear_request();
  return sha256(content.SerializeAsString());
}

/// The operation that carries the same content to the node and hasn't been sent to its end.
ForwardedOperation* find_under_way(OperateState& state, const BulkState& bulk, std::uint64_t node,
                                   const std::string& content) {
  for (auto& [identity, forwarded] : state.forwarded)
    if (!content.empty() && forwarded.content == content && forwarded.node == node &&
        bulk_has_unsent_operation(bulk, node, identity))
      return &forwarded;
  return nullptr;
}

}  // namespace

void operate_forward(OperateState& state, const BulkState& bulk, const MemberState& member, wire::Operate operation,
                     const std::string& key, std::uint64_t request, Moment now, Effects& effects) {
  const auto* holder = duty_holder(member, key);
  if (holder == nullptr || holder->node() == member.self.node()) {
    operate_refuse(member, {request, 0, {}}, 503, "no_owner", operate_unheard(operation), operation.change(), effects);
    return;
  }
  const auto patience = key == config_key     ? operate_config_patience(state.bound)
                        : state.patience != 0 ? state.patience
                                              : 2 * state.bound;
  const WaitingRequest waiting{request, now + patience};
  auto content = change_content(operation);
  if (auto* same = find_under_way(state, bulk, holder->node(), content)) return same->waiting.push_back(waiting);
  const bool change = operation.method() != "GET";
  if (!change && operation.path() == config_path) operation.set_known_version(member.self.config_version());
  const auto identity = state.next++;
  state.forwarded[identity] = {
      {waiting}, holder->node(), change ? operation.change() : std::string(), std::move(content)};
  operation.set_request(identity);
  auto envelope = member_envelope(member, holder->node());
  *envelope.mutable_operate() = std::move(operation);
  effects.push_back(SendMessage{holder->address(), std::move(envelope)});
}

ConfigurationCopy news_copy(const NewsState& news) {
  return {news_version(news, config_key), [&news] { return news_document(news); }};
}

void operate_answered(OperateState& state, const ConfigurationCopy& copy, const wire::Envelope& envelope,
                      Effects& effects) {
  auto answer = envelope.operated();
  const auto found = state.forwarded.find(answer.request());
  if (found == state.forwarded.end()) return;
  if (answer.status() == status_not_modified) {
    answer.set_status(200);
    answer.set_version(std::to_string(copy.version));
    answer.set_body(copy.document());
  }
  std::vector<Header> headers{{"content-type", "application/json"}};
  if (!answer.version().empty()) headers.push_back({"weldsail-version", answer.version()});
  if (tells_to_retry(answer.status())) headers.push_back({"retry-after", "1"});
  for (const auto& waiting : found->second.waiting)
    effects.push_back(Answer{waiting.request, static_cast<int>(answer.status()), headers, answer.body()});
  state.forwarded.erase(found);
}

void operate_gone(OperateState& state, std::uint64_t request) {
  for (auto& [identity, forwarded] : state.forwarded)
    std::erase_if(forwarded.waiting, [&](const WaitingRequest& waiting) { return waiting.request == request; });
}

void operate_tick(OperateState& state, BulkState& bulk, const MemberState& member, Moment now, Effects& effects) {
  for (auto& [identity, forwarded] : state.forwarded) {
    const bool live = member_live(member, forwarded.node);
    const bool change = !forwarded.change.empty();
    std::erase_if(forwarded.waiting, [&](const WaitingRequest& waiting) {
      if (now < waiting.due && live) return false;
      operate_refuse(member, {waiting.request, 0, {}}, change ? 504 : 503, "no_answer", change ? "unknown" : "refused",
                     forwarded.change, effects);
      return true;
    });
  }
  std::erase_if(state.forwarded, [&](const auto& item) {
    const auto node = item.second.node;
    if (!item.second.waiting.empty()) return false;
    return bulk_withdraw_operation(bulk, node, item.first) || !member_live(member, node);
  });
}

bool operate_local(const MemberState& member, const wire::Operate& operation, const std::string& status_text,
                   const Asker& asker, Effects& effects) {
  if (operation.path() == "/v1/members")
    operate_answer(member, asker, 200, members_text(member), effects);
  else if (operation.path() == "/v1/status")
    operate_answer(member, asker, 200, status_text, effects);
  else if (operation.path() == "/v1/config/check") {
    const auto read = read_config(operation.body());
    operate_answer(member, asker, read.faults.empty() ? 200 : 422, operate_faults(read.faults, {}), effects);
  } else {
    return false;
  }
  return true;
}

}  // namespace weldsail
