#pragma once
#include "core/configuration/news.hpp"

namespace weldsail {

/// Puts a value into news, or an offer of it where it is large and the receiver fetches such values.
void serve_value(NewsState& state, const wire::RegisterValue& value, bool takes_parts, wire::News& news);
/// Answers an ask for a part: with the part, or with the begin of what is newest here when that content is gone.
void serve_asked(NewsState& state, const MemberState& member, const wire::Envelope& envelope, Moment now,
                 Effects& effects);
/// Adds a link that leads on from the newest one.
void serve_add_link(LinkHistory& history, wire::ValueLink link);
/// Keeps how a value was made from the one that it follows here, for those who have that one.
void serve_learned(NewsState& state, const MemberState& member, const wire::RegisterValue& former,
                   const wire::RegisterValue& value);
/// Drops content that nobody has asked for lately.
void serve_tick(NewsState& state, Moment now);

}  // namespace weldsail
