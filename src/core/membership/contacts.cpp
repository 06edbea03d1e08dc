#include "core/membership/contacts.hpp"

#include <algorithm>
#include <sstream>

namespace weldsail {
namespace {

constexpr const char* contacts_record = "contacts";
constexpr std::size_t contacts_most = 16;

}  // namespace

void contacts_start(ContactsState& state, MemberState& member, const Records& records) {
  const auto kept = records.find(contacts_record);
  if (kept == records.end()) return;
  std::istringstream lines(kept->second);
  for (std::string line; std::getline(lines, line);) state.addresses.insert(line);
  auto& seeds = member.options.seeds;
  for (const auto& address : state.addresses)
    if (std::ranges::find(seeds, address) == seeds.end()) seeds.push_back(address);
}

void contacts_tick(ContactsState& state, const MemberState& member, const wire::Core& core, Moment now,
                   Effects& effects) {
  if (now < state.next_look) return;
  state.next_look = now + member_beat(member);
  auto addresses = state.addresses;
  std::set<std::string> needed;
  for (const auto* entry : live_members(member, Program::control)) needed.insert(entry->address());
  for (const auto disk : core_members(core))
    if (const auto* entry = find_disk(member, disk)) needed.insert(entry->address());
  addresses.insert(needed.begin(), needed.end());
  if (addresses.size() > contacts_most) addresses = needed;
  if (addresses == state.addresses) return;
  state.addresses = std::move(addresses);
  std::string text;
  for (const auto& address : state.addresses) text += address + "\n";
  effects.push_back(Persist{contacts_tokens + state.next_token++, {{contacts_record, text}}});
}

}  // namespace weldsail
