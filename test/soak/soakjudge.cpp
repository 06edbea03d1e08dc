#include "soakrun.hpp"

#include <filesystem>

#include "core/json.hpp"

/// What a run is judged by once its trouble is over.
namespace weldsail::soak {
namespace {

constexpr std::size_t calm_changes = 5;
/// Callers of models go on for so long after the last trouble.
constexpr Moment models_calm = 12000;

}  // namespace

void Run::fresh_statuses() {
  const auto least = watch_->statuses_each() + 2;
  until([&] { return watch_->statuses_each() >= least; }, plan_.patience);
}

/// Small changes one by one on a calm fleet: what each costs.
void Run::calm() {
  const auto document = ask(0, "/v1/config");
  auto version = version_of(document);
  auto number = plan_.form->numbered ? plan_.form->revision(document.body) : version;
  fresh_statuses();
  const auto counted = watch_->sum(&ProcessCounters::configuration_bytes_sent);
  const auto bytes = relay_.peer_bytes();
  const auto begun = monotonic_now();
  for (std::size_t place = 0; place < calm_changes; ++place) {
    SoakChange change;
    change.base = number;
    change.routes = {place, place + 1, 50000 + place, plan_.form->numbered ? number + 1 : 0};
    change.body = plan_.form->change_body(change.routes);
    change.id = plan_.form->identity("calm" + std::to_string(place), change.base, change.body);
    ledger_.sent(change, monotonic_now());
    const auto request = plan_.form->change_request(change.id, change.base, change.body);
    const auto reply = fleet_.ask_until_good(request.method, fleet_.controls[place % plan_.control].callers,
                                             request.path, request.headers, request.body, plan_.patience);
    if (reply.status != 200) return ledger_.breach("a change on a calm fleet is answered with " + reply.body);
    version = version_of(reply);
    number = plan_.form->numbered ? change.routes.revision : version;
    ledger_.accepted(change, version, monotonic_now());
    if (!until([&] { return watch_->in_force_everywhere(version); }, plan_.patience))
      return ledger_.breach("on a calm fleet version " + std::to_string(version) +
                            " isn't in force: " + watch_->versions());
  }
  figure("calm_ms", static_cast<std::uint64_t>(monotonic_now() - begun));
  const auto whole = calm_changes * view_.size() * document.body.size();
  figure("document_bytes", document.body.size());
  figure("calm_peer_bytes", relay_.peer_bytes() - bytes);
  figure("calm_whole_documents_bytes", whole);
  fresh_statuses();
  const auto after = watch_->sum(&ProcessCounters::configuration_bytes_sent);
  if (!counted || !after) return figure("calm_configuration_bytes", std::optional<std::uint64_t>());
  figure("calm_configuration_bytes", *after - *counted);
  if (*after - *counted > whole / 10)
    ledger_.breach("small changes cost " + std::to_string(*after - *counted) + " bytes of configuration, " +
                   std::to_string(whole) + " are whole documents to everyone");
}

void Run::judge_document(const std::string& document) {
  const auto dues = plan_.form->dues(document);
  std::map<std::size_t, std::pair<std::uint64_t, std::size_t>> wanted;
  for (const auto& [version, entry] : ledger_.changes())
    for (auto number = entry.change.routes.from; number < entry.change.routes.until; ++number)
      wanted[number] = {version, entry.change.routes.due_ms};
  for (const auto& [number, last] : wanted)
    if (const auto found = dues.find(number); found == dues.end() || found->second != last.second)
      ledger_.breach("lost: route " + std::to_string(number) + " isn't as version " + std::to_string(last.first) +
                     " made it");
}

void Run::judge_callers() {
  const auto ended = monotonic_now();
  if (!until([&] { return callers_->served_since(ended); }, plan_.served_within))
    ledger_.breach("a route isn't served " + std::to_string(plan_.served_within) + " ms after the last trouble");
  figure("served_ms", static_cast<std::uint64_t>(monotonic_now() - ended));
  callers_->stop();
  if (!until([&] { return callers_->idle(); }, plan_.patience)) ledger_.breach("a caller's request never ended");
  callers_->judge_runs(workers_.runs_by_caller());
}

void Run::judge_models() {
  until([] { return false; }, models_calm);
  model_callers_->stop();
  if (!until([&] { return model_callers_->idle(); }, plan_.patience)) ledger_.breach("a caller's request never ended");
  const auto starved = model_callers_->starved();
  figure("asked_often", starved.often);
  figure("never_served", starved.never.size());
  std::string names;
  for (const auto& name : starved.never) names += " " + name;
  // The users' own measure.
  if (starved.never.size() > 1 + starved.often / 10)
    ledger_.breach(std::to_string(starved.never.size()) + " of " + std::to_string(starved.often) +
                   " models and adapters were never served:" + names);
  if (model_workers_.wrong_tenants() != 0)
    ledger_.breach(std::to_string(model_workers_.wrong_tenants()) + " requests with a key, or for a wrong tenant");
  if (model_workers_.over_limit() != 0)
    ledger_.breach(std::to_string(model_workers_.over_limit()) + " orders to load more than a worker holds");
}

void Run::judge_end() {
  std::string document;
  for (std::size_t process = 0; process < view_.size(); ++process) {
    const auto reply = ask(process, "/v1/config");
    if (reply.status != 200) ledger_.breach("no configuration can be read at " + view_.child(process).name);
    ledger_.read(view_.child(process).name, version_of(reply), reply.body, monotonic_now());
    document = reply.body;
  }
  document_most_ = document.size();
  judge_document(document);
  rapidjson::Document read;
  const auto history = ask(0, "/v1/config/history");
  read.Parse(history.body.data(), history.body.size());
  std::vector<std::pair<std::uint64_t, std::string>> listed;
  if (const auto* list = rapidjson::Pointer("/history").Get(read); list != nullptr && list->IsArray())
    for (const auto& item : list->GetArray())
      listed.emplace_back(json_count_at(item, "/version"), json_string_at(item, "/change"));
  ledger_.history(listed);
}

void Run::judge_memory() {
  const auto most = plan_.memory_base + plan_.memory_documents * document_most_;
  for (std::size_t process = 0; process < view_.size(); ++process)
    if (watch_->views()[process].memory_most > most)
      ledger_.breach(view_.child(process).name + " took " + std::to_string(watch_->views()[process].memory_most) +
                     " bytes of memory, " + std::to_string(most) + " allowed");
  figure("wscp_memory", watch_->memory_most(true));
  figure("wsdp_memory", watch_->memory_most(false));
}

void Run::keep_logs() const {
  if (plan_.logs.empty()) return;
  const auto target = std::filesystem::path(plan_.logs) / ("seed" + std::to_string(plan_.seed));
  std::filesystem::create_directories(target);
  for (const auto& entry : std::filesystem::directory_iterator(fleet_.folder()))
    if (entry.path().extension() == ".log")
      std::filesystem::copy_file(entry.path(), target / entry.path().filename(),
                                 std::filesystem::copy_options::overwrite_existing);
}

}  // namespace weldsail::soak
