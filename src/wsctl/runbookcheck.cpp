#include <algorithm>
#include <set>

#include "core/json.hpp"
#include "core/membership/member.hpp"
#include "wsctl/condition.hpp"
#include "wsctl/runbook.hpp"

namespace weldsail {
namespace {

constexpr const char* step_words[] = {"name",    "command", "node", "check", "wait", "within_s",
                                      "confirm", "manual",  "save", "into",  "back"};
constexpr double within_most_s = 3600;
/// A default that stands for the message release of this wsctl, which comes with the programs of that release.
constexpr const char* own_release = "{wsctl_release}";

std::string default_of(const rapidjson::Value& input) {
  const auto text = json_string_at(input, "/default");
  return text == own_release ? std::to_string(wire_release) : text;
}

std::set<std::string> marks_of(const std::string& text) {
  std::set<std::string> marks;
  for (std::size_t place = 0; (place = text.find('{', place)) != std::string::npos; ++place) {
    const auto end = text.find('}', place);
    const auto name = end == std::string::npos ? std::string() : text.substr(place + 1, end - place - 1);
    const bool plain = !name.empty() && std::ranges::all_of(name, [](unsigned char letter) {
      return std::isalnum(letter) != 0 || letter == '_';
    });
    if (plain) marks.insert(name);
  }
  return marks;
}

void check_command(const rapidjson::Value& step, const char* name, const std::string& place,
                   std::vector<std::string>& faults) {
  if (!step.HasMember(name)) return;
  const auto& list = step[name];
  const bool fits = list.IsArray() && !list.Empty() &&
                    std::all_of(list.Begin(), list.End(), [](const rapidjson::Value& item) { return item.IsString(); });
  if (!fits)
    faults.push_back(place + ": " + name + " must be a list of words");
  else if (const auto fault = command_fault(runbook_words(list)); !fault.empty())
    faults.push_back(place + ": " + name + ": " + fault);
}

std::vector<std::string> step_faults(const rapidjson::Value& step, const std::string& place) {
  std::vector<std::string> faults;
  if (!step.IsObject()) return {place + ": must be an object"};
  for (const auto& item : step.GetObject()) {
    const auto name = json_string(item.name);
    if (std::ranges::find(step_words, name) == std::end(step_words))
      faults.push_back(place + ": " + name + " is not known");
  }
  if (json_string_at(step, "/name").empty()) faults.push_back(place + ": name is missing");
  check_command(step, "command", place, faults);
  check_command(step, "back", place, faults);
  const bool asks =
      step.HasMember("check") || step.HasMember("wait") || step.HasMember("save") || step.HasMember("into");
  if (asks && !step.HasMember("command")) faults.push_back(place + ": command is missing");
  if (!step.HasMember("command") && !step.HasMember("confirm") && !step.HasMember("manual"))
    faults.push_back(place + ": says nothing to do");
  for (const char* name : {"check", "wait"})
    if (step.HasMember(name))
      for (const auto& fault : condition_faults(step[name])) faults.push_back(place + ": " + fault);
  const auto within = json_number_at(step, "/within_s", step.HasMember("wait") ? -1 : 1);
  if (within <= 0 || within > within_most_s) faults.push_back(place + ": within_s must be from 1 to 3600");
  return faults;
}

}  // namespace

std::vector<std::string> runbook_words(const rapidjson::Value& list) {
  std::vector<std::string> words;
  for (const auto& item : list.GetArray()) words.push_back(item.IsString() ? json_string(item) : json_text(item));
  return words;
}

std::vector<std::string> runbook_faults(const rapidjson::Document& book, Inputs& inputs) {
  if (book.HasParseError() || !book.IsObject()) return {"is no JSON object"};
  std::vector<std::string> faults;
  if (json_string_at(book, "/title").empty()) faults.emplace_back("title is missing");
  std::set<std::string> known;
  if (const auto* wanted = rapidjson::Pointer("/inputs").Get(book); wanted != nullptr && wanted->IsObject())
    for (const auto& item : wanted->GetObject()) {
      const auto name = json_string(item.name);
      known.insert(name);
      if (!inputs.contains(name) && item.value.IsObject() && item.value.HasMember("default"))
        inputs[name] = default_of(item.value);
      if (!inputs.contains(name)) faults.push_back("input " + name + " is missing: --set " + name + "=...");
    }
  for (const auto& [name, value] : inputs)
    if (!known.contains(name)) faults.push_back("input " + name + " is not known");
  const auto* steps = rapidjson::Pointer("/steps").Get(book);
  if (steps == nullptr || !steps->IsArray() || steps->Empty()) return {"steps are missing"};
  for (rapidjson::SizeType place = 0; place < steps->Size(); ++place) {
    const auto& step = (*steps)[place];
    const auto name = "step " + std::to_string(place + 1);
    for (auto& fault : step_faults(step, name)) faults.push_back(std::move(fault));
    for (const auto& mark : marks_of(json_text(step)))
      if (!known.contains(mark)) faults.push_back(name + ": {" + mark + "} is no input and not saved before");
    if (step.IsObject() && step.HasMember("save") && step["save"].IsObject())
      for (const auto& item : step["save"].GetObject()) known.insert(json_string(item.name));
  }
  return faults;
}

}  // namespace weldsail
