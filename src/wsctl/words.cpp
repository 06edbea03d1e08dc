#include "wsctl/words.hpp"

#include <fstream>
#include <sstream>

#include "core/json.hpp"
#include "core/operations/operate.hpp"
#include "shell/ask.hpp"

namespace weldsail {
namespace {

struct Known {
  const char* words;
  std::size_t least;
  std::size_t most;
};

constexpr Known known_commands[] = {{"members", 1, 1},
                                    {"workers", 1, 1},
                                    {"placements", 1, 1},
                                    {"holds", 1, 1},
                                    {"status", 1, 1},
                                    {"metrics", 1, 1},
                                    {"losses", 1, 1000},
                                    {"explain", 2, 2},
                                    {"drain", 2, 2},
                                    {"undrain", 2, 2},
                                    {"config get", 2, 2},
                                    {"config history", 2, 2},
                                    {"config outcome", 3, 3},
                                    {"config put", 3, 3},
                                    {"config change", 3, 3},
                                    {"config check", 3, 3},
                                    {"config move-tenant", 5, 16},
                                    {"core show", 2, 2},
                                    {"core replace", 4, 4},
                                    {"core add", 3, 3},
                                    {"core remove", 3, 3},
                                    {"core recover", 4, 5}};

std::optional<std::string> read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::stringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

// A tenant with its routes from one cell to another in one change; call services are renamed as asked.
std::optional<Wanted> move_tenant(const CommandOptions& options, std::string& trouble) {
  const auto& words = options.words;
  Loop loop;
  const auto reply = ask(loop, "GET", options.node, "/v1/config", {}, {}, options.within);
  rapidjson::Document document;
  document.Parse<json_strict>(reply.body.data(), reply.body.size());
  const auto from = "/cells/" + pointer_step(words[3]) + "/tenants/" + pointer_step(words[2]);
  const auto to = "/cells/" + pointer_step(words[4]) + "/tenants/" + pointer_step(words[2]);
  auto* tenant =
      reply.status != 200 || document.HasParseError() ? nullptr : rapidjson::Pointer(from.c_str()).Get(document);
  if (tenant == nullptr) {
    trouble =
        reply.status == 200 ? "cell " + words[3] + " has no tenant " + words[2] : "the configuration can't be read";
    return std::nullopt;
  }
  std::map<std::string, std::string> services;
  for (std::size_t place = 5; place < words.size(); ++place) {
    const auto sign = words[place].find('=');
    if (sign != std::string::npos) services[words[place].substr(0, sign)] = words[place].substr(sign + 1);
  }
  if (auto* routes = rapidjson::Pointer("/routes").Get(*tenant); routes != nullptr && routes->IsObject())
    for (auto& route : routes->GetObject()) {
      const auto found = services.find(json_string_at(route.value, "/service"));
      if (found != services.end())
        rapidjson::Pointer("/service").Set(route.value, found->second.c_str(), document.GetAllocator());
    }
  JsonText body;
  body.object().key("set").object().key(to.c_str());
  tenant->Accept(body.out());
  body.close().key("remove").array().item(from).end().close();
  return Wanted{"POST", "/v1/config/change", body.text(), true, false, header_value(reply.headers, "weldsail-version")};
}

}  // namespace

std::string command_fault(const std::vector<std::string>& words) {
  if (words.empty()) return "no command; see --help";
  const auto pair = words.size() > 1 ? words[0] + " " + words[1] : words[0];
  for (const auto& known : known_commands) {
    if (words[0] != known.words && pair != known.words) continue;
    if (words.size() >= known.least && words.size() <= known.most) return {};
    return std::string(known.words) + ": too few or too many words; see --help";
  }
  return "no such command; see --help";
}

std::optional<Wanted> read_words(const CommandOptions& options, std::string& trouble) {
  const auto& words = options.words;
  trouble = command_fault(words);
  if (!trouble.empty()) return std::nullopt;
  const auto file_body = [&](const std::string& method, const std::string& path, bool change) -> std::optional<Wanted> {
    auto bytes = words.size() > 2 ? read_file(words[2]) : std::nullopt;
    if (!bytes) {
      trouble = words.size() > 2 ? "can't read " + words[2] : "a file is missing";
      return std::nullopt;
    }
    return Wanted{method, path, std::move(*bytes), change, false, {}};
  };
  const auto& first = words.front();
  const auto second = words.size() > 1 ? words[1] : std::string();
  for (const auto* name : {"members", "workers", "placements", "holds", "status"})
    if (first == name) return Wanted{"GET", "/v1/" + first, {}, false, false, {}};
  if (first == "metrics") return Wanted{"GET", metrics_path, {}, false, true, {}};
  if (first == "core" && second == "show") return Wanted{"GET", "/v1/core", {}, false, false, {}};
  if (first == "core" && second == "recover" && words.size() > 3) {
    JsonText body;
    body.object().field("cluster", words[2]).field("disk", words[3]);
    body.truth("accept_loss", words.size() > 4 && words[4] == "accept-loss").close();
    return Wanted{"POST", "/v1/core/recover", body.text(), false, false, {}};
  }
  if (first == "core" && words.size() > 2 && (second == "replace" || second == "add" || second == "remove")) {
    JsonText body;
    body.object();
    if (second != "add") body.field("let_go", words[2]);
    if (second != "remove") body.field("take_in", words.back());
    body.close();
    return Wanted{"POST", "/v1/core", body.text(), false, false, {}};
  }
  if (first == "config" && second == "move-tenant") return move_tenant(options, trouble);
  if (first == "config" && second == "get") return Wanted{"GET", "/v1/config", {}, false, true, {}};
  if (first == "config" && second == "history") return Wanted{"GET", "/v1/config/history", {}, false, false, {}};
  if (first == "config" && second == "outcome" && words.size() > 2)
    return Wanted{"GET", "/v1/config/changes/" + words[2], {}, false, false, {}};
  if (first == "config" && second == "put") return file_body("PUT", "/v1/config", true);
  if (first == "config" && second == "change") return file_body("POST", "/v1/config/change", true);
  if (first == "config" && second == "check") return file_body("POST", "/v1/config/check", false);
  if ((first == "drain" || first == "undrain") && !second.empty()) {
    JsonText body;
    body.object().field("name", second).truth("drained", first == "drain").close();
    return Wanted{"POST", "/v1/drain", body.text(), false, false, {}};
  }
  trouble = "no such command; see --help";
  return std::nullopt;
}

}  // namespace weldsail
