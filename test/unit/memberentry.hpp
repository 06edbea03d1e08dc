#pragma once
#include "core/membership/member.hpp"

namespace weldsail::unit {

/// A process that is alive, of this release, as others know it.
inline wire::Member entry_of(std::uint64_t node, Program program, const std::string& locality) {
  wire::Member entry;
  entry.set_node(node);
  entry.set_address("n" + std::to_string(node));
  entry.set_state(static_cast<std::uint32_t>(MemberPhase::alive));
  entry.set_program(static_cast<std::uint32_t>(program));
  entry.set_locality(locality);
  entry.set_release(wire_release);
  return entry;
}

}  // namespace weldsail::unit
