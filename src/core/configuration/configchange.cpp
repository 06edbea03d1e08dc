#include "core/configuration/config.hpp"
#include "core/json.hpp"

namespace weldsail {
namespace {

using rapidjson::Pointer;

void apply_set(rapidjson::Document& document, const rapidjson::Value& wanted, std::vector<Fault>& faults) {
  if (!wanted.IsObject()) {
    faults.push_back({"/set", "must be an object of pointers and values"});
    return;
  }
  for (const auto& item : wanted.GetObject()) {
    const auto name = json_string(item.name);
    const Pointer pointer(name.c_str(), name.size());
    if (!pointer.IsValid() || pointer.GetTokenCount() == 0)
      faults.push_back({"/set/" + pointer_step(name), "is no usable pointer"});
    else
      pointer.Set(document, item.value);
  }
}

void apply_remove(rapidjson::Document& document, const rapidjson::Value& wanted, std::vector<Fault>& faults) {
  if (!wanted.IsArray()) {
    faults.push_back({"/remove", "must be a list of pointers"});
    return;
  }
  for (const auto& item : wanted.GetArray()) {
    const auto name = item.IsString() ? json_string(item) : std::string();
    const Pointer pointer(name.c_str(), name.size());
    if (name.empty() || !pointer.IsValid() || !pointer.Erase(document))
      faults.push_back({name.empty() ? "/remove" : name, "isn't there to remove"});
  }
}

}  // namespace

std::expected<std::string, std::vector<Fault>> change_config(const std::string& bytes, const std::string& change) {
  std::vector<Fault> faults;
  rapidjson::Document document;
  document.Parse(bytes.data(), bytes.size());
  if (document.HasParseError()) document.SetObject();
  rapidjson::Document wanted;
  wanted.Parse<json_strict>(change.data(), change.size());
  if (wanted.HasParseError() || !wanted.IsObject()) {
    faults.push_back({"", "must be an object with set, remove or both"});
    return std::unexpected(faults);
  }
  for (const auto& item : wanted.GetObject()) {
    const auto name = json_string(item.name);
    if (name == "set")
      apply_set(document, item.value, faults);
    else if (name == "remove")
      apply_remove(document, item.value, faults);
    else
      faults.push_back({"/" + pointer_step(name), "is not known"});
  }
  if (!faults.empty()) return std::unexpected(faults);
  return json_text(document);
}

}  // namespace weldsail
