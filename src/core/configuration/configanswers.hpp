#pragma once
#include "core/configuration/configduty.hpp"

/// What the configuration's owner tells operators on the product's own interface.
namespace weldsail {

/// The change of this identity among those that the history lists; null if it isn't there.
const wire::Change* listed_change(const wire::ConfigValue& value, const std::string& change);
/// Body that acknowledges a change.
std::string accepted_text(const std::string& change, std::uint64_t version);
/// Body that refuses a change since `newest` is the current version.
std::string conflict_text(const std::string& change, std::uint64_t newest);
/// Answers a read of the document, of the history or of one change's outcome.
void answer_config_read(const wire::ConfigValue& value, const MemberState& member, const ConfigJob& job,
                        Effects& effects);

}  // namespace weldsail
