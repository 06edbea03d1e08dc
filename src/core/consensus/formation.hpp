#pragma once
#include "core/consensus/register.hpp"

namespace weldsail {

/// Where the node stands with a core.
enum class CorePhase { diskless, blank, bound, formed };

/// The formation part's state: which core this node belongs to or knows of.
struct FormationState {
  std::uint32_t core_size = 0;
  /// Peer addresses of the processes that, all together, form a new core; taken instead of a number.
  std::vector<std::string> founders;
  CorePhase phase = CorePhase::diskless;
  wire::Core core;
  std::set<std::uint64_t> granted;
  std::optional<Moment> missing_since;
  std::map<std::uint64_t, wire::Envelope> waiting;
  std::uint64_t next_token = 0;
  Moment next_try = 0;
};

/// Prefix of the tokens that belong to the formation.
inline constexpr std::uint64_t formation_tokens = 2ULL << 40U;

/// True for a node whose blank disk may become part of a new core.
bool formation_may_found(const FormationState& state);
/// The disks that would form a core now, sorted; none while one of them isn't there.
std::vector<std::uint64_t> formation_disks(const FormationState& state, const MemberState& member, bool& remembered);
/// Writes the founders down on a fresh disk, or reads them: an emptied disk founds nothing.
void formation_keep_founders(FormationState& state, const Records& records, bool fresh, Effects& effects);
/// Reads or makes the disk's identity; 0 for a node without a disk.
std::uint64_t formation_start(FormationState& state, const Records& records, std::uint64_t random, bool has_disk,
                              Effects& effects);
void formation_tick(FormationState& state, MemberState& member, std::uint64_t random, Moment now, Effects& effects);
void formation_receive(FormationState& state, MemberState& member, const wire::Envelope& envelope, Effects& effects);
void formation_persisted(FormationState& state, MemberState& member, const Persisted& event, Effects& effects);
/// Takes a formed core from news; a node bound to another core keeps its own.
void formation_learn(FormationState& state, MemberState& member, const wire::Core& core, Effects& effects);

}  // namespace weldsail
