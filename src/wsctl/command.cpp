#include "wsctl/insight.hpp"
#include "wsctl/words.hpp"

#include <optional>
#include <sstream>

#include "core/json.hpp"
#include "core/operations/operate.hpp"
#include "shell/ask.hpp"

namespace weldsail {
namespace {

std::string cell_text(const rapidjson::Value& value) {
  if (value.IsString()) return json_string(value);
  return json_text(value);
}

void print_rows(std::ostream& out, const rapidjson::Value& rows) {
  for (const auto& row : rows.GetArray()) {
    if (!row.IsObject()) {
      out << "  " << cell_text(row) << "\n";
      continue;
    }
    out << " ";
    for (const auto& item : row.GetObject()) out << " " << json_string(item.name) << "=" << cell_text(item.value);
    out << "\n";
  }
}

std::string readable(const std::string& body) {
  rapidjson::Document document;
  document.Parse(body.data(), body.size());
  if (document.HasParseError() || !document.IsObject()) return body;
  std::stringstream out;
  for (const auto& item : document.GetObject()) {
    if (item.value.IsArray()) {
      out << json_string(item.name) << ":\n";
      print_rows(out, item.value);
    } else {
      out << json_string(item.name) << ": " << cell_text(item.value) << "\n";
    }
  }
  return out.str();
}

int code_of(const Reply& reply) {
  if (!reply.whole) return exit_unreachable;
  if (reply.status < 300) return exit_done;
  rapidjson::Document document;
  document.Parse(reply.body.data(), reply.body.size());
  const bool unknown = !document.HasParseError() && json_string_at(document, "/outcome") == "unknown";
  return unknown ? exit_unknown : exit_refused;
}

}  // namespace

CommandResult run_command(const CommandOptions& options) {
  if (const auto fault = command_fault(options.words); fault.empty() && is_insight(options.words))
    return run_insight(options);
  std::string trouble;
  const auto wanted = read_words(options, trouble);
  if (!wanted) return {exit_usage, {}, "wsctl: " + trouble + "\n"};
  Loop loop;
  std::vector<Header> headers;
  if (wanted->change) {
    auto base = options.base.empty() ? wanted->base : options.base;
    if (base.empty()) {
      const auto newest = ask(loop, "GET", options.node, "/v1/config/history", {}, {}, options.within);
      base = header_value(newest.headers, "weldsail-version");
      if (base.empty()) return {exit_unreachable, {}, "wsctl: the newest version can't be read; nothing was sent\n"};
    }
    const auto change = options.change.empty() ? "w" + std::to_string(random_number()) : options.change;
    headers = {{"weldsail-base", base}, {"weldsail-change", change}, {"content-type", "application/json"}};
    trouble = "change=" + change + " base=" + base + "\n";
  }
  const auto reply = ask(loop, wanted->method, options.node, wanted->path, headers, wanted->body, options.within);
  CommandResult result;
  result.code = code_of(reply);
  if (result.code == exit_unreachable && wanted->change && reply.sent) result.code = exit_unknown;
  result.trouble = trouble;
  if (!reply.whole) {
    result.trouble +=
        "wsctl: no whole answer: " + reply.reason + (reply.sent ? "; outcome unknown" : "; nothing was sent") + "\n";
    return result;
  }
  result.text = wanted->exact && reply.status == 200 ? reply.body
                : options.json                       ? reply.body + "\n"
                                                     : readable(reply.body);
  return result;
}

}  // namespace weldsail
