#include <algorithm>

#include "core/dataparts.hpp"
#include "core/forwarding/paths/path.hpp"

/// How a data-plane process puts configurations in force.
namespace weldsail {
namespace {

bool may_begin_with(const DataState& state, std::uint64_t version, Moment now) {
  if (memo_suffices(state.memo, version, now)) return true;
  return core_majority(state.formation.core, state.first_heard) && version >= state.first_floor;
}

bool read_document(DataState& state, const std::string& document) {
  auto read = state.options.dialect != nullptr ? ReadConfig{} : read_config(document);
  if (!read.faults.empty()) return false;
  state.document = std::move(read.document);
  return true;
}

/// A proof is of the newest version here, which may still be on its way to the disk.
void take_proof(DataState& state, std::uint64_t version) {
  if (version != 0 && version == state.document_version) state.current_as_of = state.news.current_as_of;
}

}  // namespace

void data_hear_first(DataState& state, const wire::Envelope& envelope) {
  if (state.document_version != 0 || envelope.news().accepted_size() == 0) return;
  state.first_heard.insert(envelope.disk());
  for (const auto& item : envelope.news().accepted())
    if (item.key() == config_key) state.first_floor = std::max(state.first_floor, item.version());
}

void data_ask_first(DataState& state, Moment now, Effects& effects) {
  if (state.document_version != 0 || now - state.first_asked < member_beat(state.member)) return;
  state.first_asked = now;
  news_ask_all(state.news, state.member, state.formation.core, now, effects);
}

void data_use_config(DataState& state, Moment now, Effects& effects) {
  const auto config = state.news.values.find(config_key);
  const auto version = config == state.news.values.end() ? 0 : config->second.version();
  const bool allowed =
      version > state.document_version && (state.document_version != 0 || may_begin_with(state, version, now));
  if (allowed && memo_keep(state.memo, state.member, state.news, version, now, effects)) {
    wire::ConfigValue value;
    if (value.ParseFromString(config->second.value()) && read_document(state, value.document())) {
      state.document_version = version;
      take_proof(state, version);
      member_config(state.member, version);
      note(effects, "config.in_force", {{"version", std::to_string(state.document_version)}});
      if (state.options.dialect != nullptr)
        path_configure(state, value.document(), now, effects);
      else
        reroute_held(state, now, effects);
    }
  }
  take_proof(state, version);
}

}  // namespace weldsail
