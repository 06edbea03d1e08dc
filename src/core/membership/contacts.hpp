#pragma once
#include "core/consensus/register.hpp"

namespace weldsail {

/// The contacts part: addresses of control processes, kept on the disk, since seeds may all be gone at a restart.
struct ContactsState {
  std::set<std::string> addresses;
  std::uint64_t next_token = 0;
  Moment next_look = 0;
};

/// Prefix of the tokens that belong to the contacts.
inline constexpr std::uint64_t contacts_tokens = 8ULL << 40U;

/// Adds the addresses that the disk remembers to the seeds.
void contacts_start(ContactsState& state, MemberState& member, const Records& records);
/// Writes the addresses down anew where they have changed.
void contacts_tick(ContactsState& state, const MemberState& member, const wire::Core& core, Moment now,
                   Effects& effects);

}  // namespace weldsail
