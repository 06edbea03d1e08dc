#pragma once
#include <optional>

#include "core/bulk/assembly.hpp"
#include "core/bulk/lane.hpp"
#include "core/membership/member.hpp"

namespace weldsail {

class JsonText;

/// Large messages of a process, both ways.
struct BulkState {
  LaneState lane;
  AssemblyState assembly;
};

void bulk_configure(BulkState& state, Moment bound);
/// Takes a piece or an acknowledgement; the message once it is whole.
std::optional<wire::Envelope> bulk_receive(BulkState& state, SendWindow& window, const MemberState& member,
                                           const wire::Envelope& envelope, Moment now, Effects& effects);
/// Takes the large messages out of a step's effects, and adds the pieces that may be sent now.
void bulk_send(BulkState& state, SendWindow& window, const MemberState& member, Moment now, Effects& effects);
/// True while bytes of an operator's request, by the number under which it is carried, haven't been sent to a node: its
/// answer can't have been made yet.
bool bulk_has_unsent_operation(const BulkState& state, std::uint64_t node, std::uint64_t request);
/// Writes what is counted into a status document.
void write_bulk(const BulkState& state, JsonText& text);

}  // namespace weldsail
