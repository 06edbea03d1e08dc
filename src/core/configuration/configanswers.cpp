#include "core/configuration/configanswers.hpp"

#include "core/json.hpp"

namespace weldsail {
namespace {

std::string history_text(const wire::ConfigValue& value) {
  JsonText text;
  text.object().number("version", value.version()).key("history").array();
  for (const auto& change : value.history()) {
    text.object().number("version", change.version()).field("change", change.id());
    text.field("digest", change.digest()).number("bytes", change.bytes()).close();
  }
  text.end().close();
  return text.text();
}

}  // namespace

const wire::Change* listed_change(const wire::ConfigValue& value, const std::string& change) {
  for (const auto& item : value.history())
    if (item.id() == change) return &item;
  return nullptr;
}

std::string accepted_text(const std::string& change, std::uint64_t version) {
  JsonText text;
  text.object().field("outcome", "accepted").number("version", version).field("change", change).close();
  return text.text();
}

std::string conflict_text(const std::string& change, std::uint64_t newest) {
  JsonText text;
  text.object().field("code", "conflict").field("outcome", "refused").number("newest", newest);
  text.field("change", change).close();
  return text.text();
}

void answer_config_read(const wire::ConfigValue& value, const MemberState& member, const ConfigJob& job,
                        Effects& effects) {
  const auto& path = job.operation.path();
  const auto version = std::to_string(value.version());
  static const std::string changes = "/v1/config/changes/";
  if (path == config_path) {
    if (value.version() == 0)
      operate_refuse(member, job.asker, 404, "no_configuration", "refused", {}, effects);
    else if (job.asker.node != 0 && job.operation.known_version() == value.version())
      operate_answer(member, job.asker, status_not_modified, {}, effects, version);
    else
      operate_answer(member, job.asker, 200, value.document(), effects, version);
  } else if (path == "/v1/config/history") {
    operate_answer(member, job.asker, 200, history_text(value), effects, version);
  } else if (path.starts_with(changes)) {
    const auto* found = listed_change(value, path.substr(changes.size()));
    if (found != nullptr)
      operate_answer(member, job.asker, 200, accepted_text(found->id(), found->version()), effects, version);
    else
      operate_refuse(member, job.asker, 404, "not_seen", "unknown", path.substr(changes.size()), effects);
  } else {
    operate_refuse(member, job.asker, 404, "no_such_path", "refused", {}, effects);
  }
}

}  // namespace weldsail
