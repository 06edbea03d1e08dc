#pragma once
#include <optional>
#include <string>
#include <vector>

#include "core/effect.hpp"

namespace weldsail {

/// Name of a member's state as in documents and logs.
const char* member_state_name(std::uint32_t state);

/// How a member is seen by the fleet.
enum class MemberPhase : std::uint32_t { alive = 1, suspect = 2, broken = 3, left = 4 };
/// Which program a member runs.
enum class Program : std::uint32_t { data = 1, control = 2 };

/// Version of the messages that this build speaks.
inline constexpr std::uint32_t wire_release = 4;
/// The first version that fetches large values in parts.
inline constexpr std::uint32_t release_with_parts = 2;
/// The first version that takes large messages in pieces.
inline constexpr std::uint32_t release_with_pieces = 3;
/// The first version whose control processes hand the view of the workers on.
inline constexpr std::uint32_t release_with_relays = 4;

/// What a process is told about its place.
struct MemberOptions {
  Program program = Program::data;
  std::string address;
  std::string callers;
  std::string locality;
  std::vector<std::string> seeds;
  Moment bound = 3000;
};

/// One other member as known here.
struct MemberView {
  wire::Member entry;
  Moment heard = 0;
  Moment changed = 0;
};

/// The member part's state.
struct MemberState {
  MemberOptions options;
  wire::Member self;
  std::map<std::uint64_t, MemberView> others;
  Moment next_beat = 0;
  Moment last_tick = 0;
  std::uint64_t turn = 0;
  bool leaving = false;
  std::pair<std::uint64_t, std::uint64_t> core_tag{0, 0};
  /// Members whose entries still spread, with how often each was sent.
  std::map<std::uint64_t, std::uint32_t> rumours;
  Moment view_changed = 0;
  Moment whole_asked = 0;
  bool config_told = true;
  Moment next_config_told = 0;
};

Moment member_beat(const MemberState& state);
Moment member_suspect_after(const MemberState& state);
Moment member_broken_after(const MemberState& state);

void member_start(MemberState& state, std::uint64_t random, std::uint64_t disk, Moment now);
/// Raises the own revision so that a change to `self` spreads.
void member_announce(MemberState& state);
/// Sets the configuration in force here; a large fleet spreads it late, as it changes everywhere at once.
void member_config(MemberState& state, std::uint64_t version);
void member_tick(MemberState& state, const std::vector<wire::Known>& known, Moment now, Effects& effects);
/// Takes a ping and answers it where asked to.
void member_receive(MemberState& state, const wire::Envelope& envelope, const std::vector<wire::Known>& known,
                    Moment now, Effects& effects);
void member_leave(MemberState& state, const std::vector<wire::Known>& known, Effects& effects);

/// An envelope from this process.
wire::Envelope member_envelope(const MemberState& state, std::uint64_t target);
/// Sends an envelope to a member by node.
void member_send(const MemberState& state, std::uint64_t node, wire::Envelope envelope, Effects& effects);
/// Members that may be given work, this one included where its program fits.
std::vector<const wire::Member*> live_members(const MemberState& state, Program program);
const wire::Member* find_disk(const MemberState& state, std::uint64_t disk);
/// True while a live member serves the disk.
bool member_disk_live(const MemberState& state, std::uint64_t disk);
/// Disks of live control members, sorted; `remembered` is set where some live member knows a cluster.
std::vector<std::uint64_t> member_blank_disks(const MemberState& state, bool& remembered);
bool member_live(const MemberState& state, std::uint64_t node);

}  // namespace weldsail
