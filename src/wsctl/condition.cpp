#include "wsctl/condition.hpp"

#include <algorithm>

#include "core/json.hpp"

namespace weldsail {
namespace {

constexpr const char* words[] = {"pointer", "where", "each", "some", "equals", "contains", "lacks", "least"};

bool has_member(const rapidjson::Value& item, const rapidjson::Value& wanted) {
  if (item == wanted) return true;
  if (!item.IsObject()) return false;
  return std::any_of(item.MemberBegin(), item.MemberEnd(), [&](const auto& member) { return member.value == wanted; });
}

bool holds(const rapidjson::Value& list, const rapidjson::Value& wanted) {
  if (list.IsString() && wanted.IsString()) return json_string(list).find(json_string(wanted)) != std::string::npos;
  if (!list.IsArray()) return false;
  return std::any_of(list.Begin(), list.End(), [&](const rapidjson::Value& item) { return has_member(item, wanted); });
}

bool matches(const rapidjson::Value& item, const rapidjson::Value& wanted) {
  return item.IsObject() && std::all_of(wanted.MemberBegin(), wanted.MemberEnd(), [&](const auto& member) {
           const auto found = item.FindMember(member.name);
           return found != item.MemberEnd() && found->value == member.value;
         });
}

bool every(const rapidjson::Value& list, const rapidjson::Value& condition) {
  static const rapidjson::Value any(rapidjson::kObjectType);
  const auto& where = condition.HasMember("where") ? condition["where"] : any;
  return list.IsArray() && std::all_of(list.Begin(), list.End(), [&](const rapidjson::Value& item) {
           return !matches(item, where) || matches(item, condition["each"]);
         });
}

bool some(const rapidjson::Value& list, const rapidjson::Value& wanted) {
  return list.IsArray() &&
         std::any_of(list.Begin(), list.End(), [&](const rapidjson::Value& item) { return matches(item, wanted); });
}

}  // namespace

std::vector<std::string> condition_faults(const rapidjson::Value& condition) {
  if (!condition.IsObject()) return {"a condition must be an object"};
  std::vector<std::string> faults;
  for (const auto& item : condition.GetObject()) {
    const auto name = json_string(item.name);
    if (std::ranges::find(words, name) == std::end(words)) faults.push_back("condition: " + name + " is not known");
  }
  if (json_string_at(condition, "/pointer", "-") == "-") faults.emplace_back("condition: pointer is missing");
  if (condition.MemberCount() < 2) faults.emplace_back("condition: says nothing");
  for (const char* name : {"where", "each", "some"})
    if (condition.HasMember(name) && !condition[name].IsObject())
      faults.push_back(std::string("condition: ") + name + " must be an object");
  return faults;
}

bool condition_met(const rapidjson::Value& condition, const std::string& answer) {
  rapidjson::Document document;
  document.Parse<json_strict>(answer.data(), answer.size());
  if (document.HasParseError()) return false;
  const auto pointer = json_string_at(condition, "/pointer");
  const auto* found = rapidjson::Pointer(pointer.c_str()).Get(document);
  if (found == nullptr) return false;
  if (condition.HasMember("equals") && !(*found == condition["equals"])) return false;
  if (condition.HasMember("contains") && !holds(*found, condition["contains"])) return false;
  if (condition.HasMember("lacks") && holds(*found, condition["lacks"])) return false;
  if (condition.HasMember("each") && !every(*found, condition)) return false;
  if (condition.HasMember("some") && !some(*found, condition["some"])) return false;
  if (condition.HasMember("least") && (!found->IsNumber() || found->GetDouble() < condition["least"].GetDouble()))
    return false;
  return true;
}

}  // namespace weldsail
