#include "shell/options.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "core/json.hpp"
#include "shell/server.hpp"

namespace weldsail {
namespace {

bool given(const std::vector<std::string>& arguments, const std::string& flag) {
  return std::ranges::any_of(
      arguments, [&](const std::string& argument) { return argument == flag || argument.starts_with(flag + "="); });
}

}  // namespace

Outcome<std::vector<std::string>> options_with_file(int count, char** arguments) {
  std::vector<std::string> result(arguments, arguments + count);
  const auto flag = std::ranges::find(result, "--options");
  if (flag == result.end() || flag + 1 == result.end()) return result;
  std::ifstream file(*(flag + 1));
  if (!file) return broke_down(Breakdown::not_found);
  std::stringstream text;
  text << file.rdbuf();
  result.erase(flag, flag + 2);
  rapidjson::Document document;
  const auto bytes = text.str();
  document.Parse(bytes.data(), bytes.size());
  if (document.HasParseError() || !document.IsObject()) return broke_down(Breakdown::malformed);
  const auto named = result;
  for (const auto& item : document.GetObject()) {
    const auto name = "--" + json_string(item.name);
    if (given(named, name)) continue;
    if (item.value.IsBool()) {
      if (item.value.GetBool()) result.push_back(name);
      continue;
    }
    result.push_back(name);
    result.push_back(item.value.IsString() ? json_string(item.value) : json_text(item.value));
  }
  return result;
}

void options_add(std::vector<std::string>& arguments, const std::vector<std::pair<std::string, std::string>>& flags) {
  const auto named = arguments;
  for (const auto& [name, value] : flags) {
    if (given(named, name)) continue;
    arguments.push_back(name);
    if (!value.empty()) arguments.push_back(value);
  }
}

std::vector<std::string> options_list(const std::string& text) {
  std::vector<std::string> items;
  std::stringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');)
    if (!item.empty()) items.push_back(item);
  return items;
}

std::string address_fault(const std::string& name, const std::string& address) {
  if (read_address(address)) return {};
  return name + ": '" + address + "' is no IP number and port";
}

}  // namespace weldsail
