#include "wsctl/runbook.hpp"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <thread>

#include "core/json.hpp"
#include "shell/loop.hpp"
#include "wsctl/condition.hpp"

namespace weldsail {
namespace {

constexpr Moment wait_pause = 300;

std::string filled(std::string text, const Inputs& inputs) {
  for (const auto& [name, value] : inputs) {
    const auto mark = "{" + name + "}";
    for (auto place = text.find(mark); place != std::string::npos; place = text.find(mark, place + value.size()))
      text.replace(place, mark.size(), value);
  }
  return text;
}

/// A JSON value with inputs filled into its strings; "{name}" alone becomes a number where the input is one.
void fill(rapidjson::Value& value, const Inputs& inputs, rapidjson::Document& owner) {
  if (value.IsArray())
    for (auto& item : value.GetArray()) fill(item, inputs, owner);
  if (value.IsObject())
    for (auto& item : value.GetObject()) fill(item.value, inputs, owner);
  if (!value.IsString()) return;
  const auto before = json_string(value);
  const auto after = filled(before, inputs);
  const bool number = before.starts_with("{") && !after.empty() && after.size() < 16 &&
                      std::ranges::all_of(after, [](unsigned char letter) { return std::isdigit(letter) != 0; });
  if (number)
    value.SetUint64(std::stoull(after));
  else
    value.SetString(after.data(), static_cast<rapidjson::SizeType>(after.size()), owner.GetAllocator());
}

struct Runner {
  const RunbookOptions& options;
  Inputs inputs;
  std::ostringstream out = {};

  void report(std::size_t number, const std::string& name, const std::string& state, const std::string& more) {
    if (options.command.json) {
      JsonText text;
      text.object().number("step", number).field("name", name).field("state", state).field("detail", more).close();
      out << text.text() << "\n";
    } else {
      out << number << ". " << name << ": " << state << (more.empty() ? "" : " (" + more + ")") << "\n";
    }
    std::cout << out.str() << std::flush;
    out.str({});
  }

  bool confirmed(const std::string& question) const {
    if (options.yes) return true;
    if (isatty(STDIN_FILENO) == 0) return false;
    std::cout << "   " << question << " [yes/no] " << std::flush;
    std::string answer;
    return std::getline(std::cin, answer) && answer == "yes";
  }

  CommandResult command(const rapidjson::Value& step) const {
    auto asked = options.command;
    asked.json = true;
    asked.words = runbook_words(step["command"]);
    if (step.HasMember("node")) asked.node = json_string_at(step, "/node");
    return run_command(asked);
  }

  CommandResult wait(const rapidjson::Value& step) const {
    const auto end = monotonic_now() + static_cast<Moment>(json_number_at(step, "/within_s") * 1000);
    while (true) {
      auto result = command(step);
      if (result.code == exit_done && condition_met(step["wait"], result.text)) return result;
      if (monotonic_now() >= end)
        return {exit_refused, result.text, "not within " + json_text(step["within_s"]) + " s"};
      std::this_thread::sleep_for(std::chrono::milliseconds(wait_pause));
    }
  }

  std::string save(const rapidjson::Value& step, const std::string& answer) {
    if (step.HasMember("into")) {
      std::ofstream file(json_string_at(step, "/into"), std::ios::binary | std::ios::trunc);
      if (!(file << answer)) return "can't write " + json_string_at(step, "/into");
    }
    if (!step.HasMember("save")) return {};
    rapidjson::Document document;
    document.Parse<json_strict>(answer.data(), answer.size());
    for (const auto& item : step["save"].GetObject()) {
      const auto pointer = json_string(item.value);
      const auto* found = document.HasParseError() ? nullptr : rapidjson::Pointer(pointer.c_str()).Get(document);
      if (found == nullptr) return "the answer has no " + pointer;
      inputs[json_string(item.name)] = found->IsString() ? json_string(*found) : json_text(*found);
    }
    return {};
  }

  CommandResult run_step(const rapidjson::Value& step) {
    for (const char* name : {"confirm", "manual"})
      if (step.HasMember(name) && !confirmed(json_string_at(step, (std::string("/") + name).c_str())))
        return {exit_unconfirmed, {}, json_string_at(step, (std::string("/") + name).c_str())};
    if (!step.HasMember("command")) return {};
    auto result = step.HasMember("wait") ? wait(step) : command(step);
    if (result.code == exit_done && step.HasMember("check") && !condition_met(step["check"], result.text))
      result = {exit_refused, result.text, "the check doesn't hold"};
    if (result.code != exit_done) return result;
    if (const auto fault = save(step, result.text); !fault.empty()) return {exit_refused, {}, fault};
    return result;
  }

  CommandResult run(const rapidjson::Document& book) {
    const auto& steps = book["steps"];
    for (std::size_t number = options.from; number <= steps.Size(); ++number) {
      rapidjson::Document step;
      step.CopyFrom(steps[static_cast<rapidjson::SizeType>(number - 1)], step.GetAllocator());
      fill(step, inputs, step);
      const auto name = json_string_at(step, "/name");
      if (options.dry_run) {
        report(number, name, "would run", json_text(step));
        continue;
      }
      const auto result = run_step(step);
      if (result.code == exit_done) {
        report(number, name, "done", {});
        continue;
      }
      report(number, name, "broke down", result.trouble + result.text);
      std::string trouble = "wsctl: mend it and go on with --from " + std::to_string(number) + "\n";
      if (step.HasMember("back")) {
        trouble += "wsctl: the way back: wsctl";
        for (const auto& word : runbook_words(step["back"])) trouble += " " + word;
        trouble += "\n";
      }
      return {result.code, {}, trouble};
    }
    return {};
  }
};

std::string read_book(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

CommandResult list_books(const RunbookOptions& options) {
  std::set<std::filesystem::path> paths;
  std::error_code cause;
  for (const auto& entry : std::filesystem::directory_iterator(options.folder, cause))
    if (entry.path().extension() == ".json") paths.insert(entry.path());
  if (cause) return {exit_usage, {}, "wsctl: --runbooks: " + cause.message() + "\n"};
  std::string text;
  for (const auto& path : paths) {
    rapidjson::Document book;
    book.Parse(read_book(path).c_str());
    text += path.stem().string() + "  " + (book.IsObject() ? json_string_at(book, "/title") : "unreadable") + "\n";
  }
  return {exit_done, text, {}};
}

}  // namespace

CommandResult run_runbook(const RunbookOptions& options) {
  const auto& words = options.command.words;
  const auto action = words.size() > 1 ? words[1] : std::string();
  if (action == "list") return list_books(options);
  if ((action != "show" && action != "run") || words.size() != 3)
    return {exit_usage, {}, "wsctl: runbook list | show NAME | run NAME\n"};
  const auto path = std::filesystem::path(options.folder) / (words[2] + ".json");
  const auto bytes = read_book(path);
  if (bytes.empty()) return {exit_usage, {}, "wsctl: can't read " + path.string() + "\n"};
  if (action == "show") return {exit_done, bytes, {}};
  rapidjson::Document book;
  book.Parse<json_strict>(bytes.data(), bytes.size());
  Runner runner{options, options.inputs};
  const auto faults = runbook_faults(book, runner.inputs);
  std::string trouble;
  for (const auto& fault : faults) trouble += "wsctl: " + words[2] + ": " + fault + "\n";
  if (!faults.empty()) return {exit_usage, {}, trouble};
  return runner.run(book);
}

}  // namespace weldsail
