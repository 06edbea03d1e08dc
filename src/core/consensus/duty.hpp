#pragma once
#include "core/consensus/register.hpp"

namespace weldsail {

/// What is known of who holds a key.
struct DutyView {
  std::uint64_t holder = 0;
  std::uint64_t epoch = 0;
  Moment changed = 0;
  std::optional<Moment> vacant_since;
  std::optional<Moment> tried_elsewhere;
};

/// The duty part: decides when this node takes a key.
struct DutyState {
  Moment bound = 3000;
  std::map<std::string, DutyView> views;
  std::set<std::string> drained;
  Moment started = 0;
  /// When another was last heard of that knows a newer core.
  std::optional<Moment> behind;
  /// When each core disk's process was last heard itself, not by word of others.
  std::map<std::uint64_t, Moment> heard;
};

/// Keys that each have one owner.
inline constexpr const char* config_key = "config";
inline constexpr const char* placement_key = "placement";
inline constexpr const char* core_key = "core";

/// The live member that claims the key under the highest epoch.
const wire::Member* duty_holder(const MemberState& member, const std::string& key);
/// True while an operator has this node drained and another can hold duties in its stead.
bool duty_excluded(const DutyState& state, const MemberState& member, const wire::Core& core);
/// True when this node should take the key now.
bool duty_wanted(DutyState& state, const MemberState& member, const wire::Core& core, RegisterState& owner,
                 const AcceptorState& acceptor, Moment now);
/// A message came from a disk's process itself.
void duty_heard(DutyState& state, const wire::Core& core, std::uint64_t disk, Moment now);
/// Another node has begun to take the key: it gets the bound to finish.
void duty_tried(DutyState& state, const std::string& key, Moment now);
/// Puts the keys held here into the own member entry.
void duty_claim(MemberState& member, const std::map<std::string, RegisterState>& owners);

}  // namespace weldsail
