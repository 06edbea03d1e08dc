#include "wsctl/insight.hpp"

#include <algorithm>
#include <map>
#include <sstream>
#include <tuple>

#include "core/json.hpp"
#include "core/operations/operate.hpp"
#include "shell/ask.hpp"

namespace weldsail {
namespace {

using rapidjson::Value;

constexpr std::string_view outcomes_family = "weldsail_request_outcomes_total{";
constexpr std::string_view served_outcome = "in_time";

/// One row of the losses.
struct LossKey {
  std::string route;
  std::string outcome;
  std::string cause;
  auto operator<=>(const LossKey&) const = default;
};

/// Value of a label in a sample's line. Names of routes with quotes are cut at the quote.
std::string label_of(std::string_view line, std::string_view name) {
  const auto begin = line.find(std::string(name) + "=\"");
  if (begin == std::string_view::npos) return {};
  const auto from = begin + name.size() + 2;
  return std::string(line.substr(from, line.find('"', from) - from));
}

void read_page(const std::string& page, std::map<LossKey, std::uint64_t>& counts) {
  std::istringstream lines(page);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with(outcomes_family)) continue;
    const auto value = line.rfind(' ');
    if (value == std::string::npos) continue;
    const LossKey key{label_of(line, "route"), label_of(line, "outcome"), label_of(line, "cause")};
    counts[key] += std::stoull("0" + line.substr(value + 1));
  }
}

std::string percent(std::uint64_t part, std::uint64_t whole) {
  constexpr std::uint64_t hundredths = 10000;
  const auto value = whole == 0 ? 0 : part * hundredths / whole;
  const auto fraction = std::to_string(100 + value % 100).substr(1);
  return std::to_string(value / 100) + "." + fraction + "%";
}

/// A document's list of objects; an empty one where it has none.
std::vector<const Value*> rows_of(const rapidjson::Document& document, const char* name) {
  std::vector<const Value*> rows;
  if (document.HasParseError() || !document.IsObject() || !document.HasMember(name) || !document[name].IsArray())
    return rows;
  for (const auto& row : document[name].GetArray())
    if (row.IsObject()) rows.push_back(&row);
  return rows;
}

std::uint64_t number_of(const Value& row, const char* name) {
  const auto found = row.FindMember(name);
  return found != row.MemberEnd() && found->value.IsUint64() ? found->value.GetUint64() : 0;
}

bool truth_of(const Value& row, const char* name) {
  const auto found = row.FindMember(name);
  return found != row.MemberEnd() && found->value.IsBool() && found->value.GetBool();
}

bool names_model(const std::string& unit, const std::string& model) {
  return unit == model || unit.ends_with("/" + model);
}

/// The last part of a unit's name.
std::string model_of(const std::string& unit) { return unit.substr(unit.rfind('/') + 1); }

const Value* find_unit(const std::vector<const Value*>& rows, const std::string& unit) {
  const auto found =
      std::ranges::find_if(rows, [&](const Value* row) { return json_string_at(*row, "/unit") == unit; });
  return found == rows.end() ? nullptr : *found;
}

bool holds_model(const Value& worker, const std::string& model) {
  const auto models = worker.FindMember("models");
  return models != worker.MemberEnd() && models->value.IsObject() && models->value.HasMember(model.c_str());
}

/// Workers that hold the model, and planned ones that don't yet.
struct Holders {
  std::uint64_t ready = 0;
  std::uint64_t under_order = 0;
  std::uint64_t planned_only = 0;
};

Holders holders_of(const Value* placement, const std::vector<const Value*>& workers, const std::string& unit) {
  Holders result;
  const auto planned = placement == nullptr ? Value::ConstMemberIterator() : placement->FindMember("workers");
  for (const auto* worker : workers) {
    if (holds_model(*worker, model_of(unit))) {
      ++result.ready;
      continue;
    }
    if (placement == nullptr || planned == placement->MemberEnd()) continue;
    const auto address = json_string_at(*worker, "/address");
    const bool there = std::ranges::any_of(
        planned->value.GetArray(), [&](const Value& item) { return item.IsString() && json_string(item) == address; });
    if (there) ++(truth_of(*worker, "under_order") ? result.under_order : result.planned_only);
  }
  return result;
}

/// Units whose callers have waited for longer, the longest wait first.
std::vector<std::string> units_ahead(const std::vector<const Value*>& holds, std::uint64_t oldest) {
  std::vector<std::pair<std::uint64_t, std::string>> ahead;
  for (const auto* hold : holds)
    if (const auto wait = number_of(*hold, "oldest_ms"); number_of(*hold, "waiting") > 0 && wait > oldest)
      ahead.emplace_back(wait, json_string_at(*hold, "/unit"));
  std::ranges::sort(ahead, std::greater<>());
  std::vector<std::string> names;
  for (const auto& [wait, unit] : ahead) names.push_back(unit + " (" + std::to_string(wait) + " ms)");
  return names;
}

const char* waits_for(std::uint64_t waiting, const Holders& holders) {
  if (waiting == 0) return "nothing";
  if (holders.ready > 0) return "a free worker among its holders, or an adapter there";
  if (holders.under_order > 0) return "weights on their way";
  return holders.planned_only > 0 ? "an order to its planned worker" : "a place";
}

CommandResult unreachable(const std::string& address, const std::string& reason) {
  return {exit_unreachable, {}, "wsctl: " + address + ": no whole answer: " + reason + "\n"};
}

}  // namespace

bool is_insight(const std::vector<std::string>& words) {
  return !words.empty() && (words.front() == "losses" || words.front() == "explain");
}

std::string losses_text(const std::vector<std::string>& pages) {
  std::map<LossKey, std::uint64_t> counts;
  for (const auto& page : pages) read_page(page, counts);
  std::map<std::string, std::uint64_t> ended;
  std::vector<std::pair<std::uint64_t, LossKey>> lost;
  for (const auto& [key, count] : counts) {
    ended[key.route] += count;
    if (key.outcome != served_outcome) lost.emplace_back(count, key);
  }
  std::ranges::sort(lost, [](const auto& left, const auto& right) {
    return std::tie(right.first, left.second) < std::tie(left.first, right.second);
  });
  std::ostringstream text;
  for (const auto& [count, key] : lost)
    text << "route=" << key.route << " outcome=" << key.outcome << " cause=" << key.cause << " requests=" << count
         << " share=" << percent(count, ended[key.route]) << "\n";
  for (const auto& [route, count] : ended) text << "route=" << route << " ended=" << count << "\n";
  return text.str();
}

std::string explain_text(const std::string& model, const std::string& holds, const std::string& placements,
                         const std::string& workers) {
  rapidjson::Document held;
  rapidjson::Document placed;
  rapidjson::Document listed;
  held.Parse(holds.data(), holds.size());
  placed.Parse(placements.data(), placements.size());
  listed.Parse(workers.data(), workers.size());
  const auto hold_rows = rows_of(held, "holds");
  const auto placement_rows = rows_of(placed, "placements");
  std::ostringstream text;
  for (const auto* placement : placement_rows) {
    const auto unit = json_string_at(*placement, "/unit");
    if (!names_model(unit, model)) continue;
    const auto* hold = find_unit(hold_rows, unit);
    const auto waiting = hold == nullptr ? 0 : number_of(*hold, "waiting");
    const auto oldest = hold == nullptr ? 0 : number_of(*hold, "oldest_ms");
    const auto holders = holders_of(placement, rows_of(listed, "workers"), unit);
    text << "unit=" << unit << " waiting=" << waiting
         << " running=" << (hold == nullptr ? 0 : number_of(*hold, "running")) << " oldest_ms=" << oldest
         << "\n  holders: wanted=" << number_of(*placement, "count")
         << " reason=" << json_string_at(*placement, "/reason") << " ready=" << holders.ready
         << " under_order=" << holders.under_order << " planned=" << holders.planned_only
         << "\n  waits for: " << waits_for(waiting, holders) << "\n";
    if (waiting == 0) continue;
    for (const auto& ahead : units_ahead(hold_rows, oldest)) text << "  owed for longer: " << ahead << "\n";
  }
  return text.str();
}

CommandResult run_insight(const CommandOptions& options) {
  Loop loop;
  const auto get = [&](const std::string& address, const std::string& path) {
    return ask(loop, "GET", address, path, {}, {}, options.within);
  };
  if (options.words.front() == "losses") {
    std::vector<std::string> addresses{options.node};
    addresses.insert(addresses.end(), options.words.begin() + 1, options.words.end());
    std::vector<std::string> pages;
    for (const auto& address : addresses) {
      const auto reply = get(address, metrics_path);
      if (!reply.whole || reply.status != 200) return unreachable(address, reply.reason);
      pages.push_back(reply.body);
    }
    return {exit_done, losses_text(pages), {}};
  }
  std::vector<std::string> documents;
  for (const auto* path : {"/v1/holds", "/v1/placements", "/v1/workers"}) {
    const auto reply = get(options.node, path);
    if (!reply.whole || reply.status != 200) return unreachable(options.node, reply.reason);
    documents.push_back(reply.body);
  }
  const auto& model = options.words[1];
  const auto text = explain_text(model, documents[0], documents[1], documents[2]);
  if (text.empty()) return {exit_refused, {}, "wsctl: no model is named " + model + "\n"};
  return {exit_done, text, {}};
}

}  // namespace weldsail
