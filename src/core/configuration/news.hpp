#pragma once
#include "core/consensus/formation.hpp"

namespace weldsail {

/// The news part: the newest committed values known here, and who waits for more.
struct NewsState {
  Moment bound = 3000;
  std::map<std::string, wire::RegisterValue> values;
  std::map<std::uint64_t, Moment> asked;
  std::map<std::uint64_t, wire::Envelope> waiting;
  /// Keys whose values data nodes don't follow, because they hear what they need in another way.
  std::set<std::string> control_only;
};

/// Versions that this node has.
std::vector<wire::Known> news_known(const NewsState& state);
/// Takes a committed value when it is newer; true when it was.
bool news_learn(NewsState& state, const MemberState& member, const wire::Core& core, const wire::RegisterValue& value,
                Effects& effects);
/// Asks two control nodes in different localities where no ask is open.
void news_tick(NewsState& state, const MemberState& member, Moment now, Effects& effects);
/// Asks every core node what it has accepted, until a starting node knows enough.
void news_ask_all(const NewsState& state, const MemberState& member, const wire::Core& core, Effects& effects);
/// Answers a starting node with all values and with what this disk has accepted.
void news_answer_first(const NewsState& state, const AcceptorState& acceptor, const MemberState& member,
                       const wire::Core& core, const wire::Envelope& envelope, Effects& effects);
/// Answers an ask at once where there is news, else keeps it waiting.
void news_asked(NewsState& state, const MemberState& member, const wire::Core& core, const wire::Envelope& envelope,
                Effects& effects);
/// Asks the sender of a ping that knows more than this node.
void news_heard(NewsState& state, const MemberState& member, const wire::Envelope& envelope, Effects& effects);

}  // namespace weldsail
