#pragma once
#include <rapidjson/document.h>

#include <string>
#include <vector>

namespace weldsail {

/// Words of a runbook's step about an answer: pointer, then where, each, equals, contains, lacks or least.
std::vector<std::string> condition_faults(const rapidjson::Value& condition);
/// True when the answer's text meets the condition.
bool condition_met(const rapidjson::Value& condition, const std::string& answer);

}  // namespace weldsail
