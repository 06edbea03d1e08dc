#pragma once
#include "core/configuration/deliverystate.hpp"
#include "core/consensus/formation.hpp"

namespace weldsail {

class JsonText;
struct BulkState;

/// A control process that is asked for news, as the asker sees it. Times by the asker's clock.
struct NewsSource {
  Moment asked = 0;
  /// The last ask has had no answer yet.
  bool open = false;
  /// From then on it may be asked again.
  Moment next_ask = 0;
  /// It didn't answer in time, or its last contact with a majority was too old: others are preferred until then.
  Moment avoided_until = 0;
};

/// The news part: the newest committed values known here, who is asked for more and who waits for more.
struct NewsState {
  Moment bound = 3000;
  std::map<std::string, wire::RegisterValue> values;
  std::map<std::uint64_t, NewsSource> sources;
  /// Before then no avoided source is asked for want of a better one.
  Moment next_retry = 0;
  std::map<std::uint64_t, wire::Envelope> waiting;
  /// Keys whose values data nodes don't follow, because they hear what they need in another way.
  std::set<std::string> control_only;
  /// Up to this moment nothing newer than the configuration here had been acknowledged to anybody; proved by a
  /// majority of the core, here or where it was heard. Nothing before the first proof of this life.
  std::optional<Moment> current_as_of;
  /// Proofs of senders for versions that aren't here yet, by version: each holds here once its version does.
  std::map<std::uint64_t, Moment> awaited_proofs;
  /// The data node that was asked last for want of a proof, and when.
  std::uint64_t last_neighbour = 0;
  Moment neighbour_asked = 0;
  /// Values that are too large for news itself.
  DeliveryState delivery;
};

/// Writes what the delivery of values has counted into a status document.
void write_delivery(const NewsState& state, const BulkState& bulk, JsonText& text);
/// Version of a value here; 0 where there is none.
std::uint64_t news_version(const NewsState& state, const std::string& key);
/// The configuration's document here, read from its value; empty where there is none.
std::string news_document(const NewsState& state);
/// Versions that this node has.
std::vector<wire::Known> news_known(const NewsState& state);
/// Takes a committed value when it is newer; true when it was.
bool news_learn(NewsState& state, const MemberState& member, const wire::Core& core, const wire::RegisterValue& value,
                Moment now, Effects& effects);
/// True while the last proof is so young that no other than the sources need be asked.
bool news_proved(const NewsState& state, Moment now);
/// Raises the moment up to which the configuration here is proved to be the newest.
void news_prove_current(NewsState& state, Moment as_of);
/// Writes into news the age of the sender's last proof; `asked_ms` is the ask's own, 0 for a push.
void news_write_age(const NewsState& state, std::uint64_t asked_ms, Moment now, wire::News& news);
/// Asks two control nodes in different localities again and again, others in place of those that don't answer or that
/// are cut off from the majority themselves.
void news_tick(NewsState& state, const MemberState& member, Moment now, Effects& effects);
/// Takes what an answer says about its sender, after its values were learned. A data node relies on its sender's proof,
/// which is of the sender's version: where that is newer, the proof holds here once that version does. A control
/// process has only its own.
void news_answered(NewsState& state, const MemberState& member, const wire::Envelope& envelope, Moment now);
/// Asks every core node what it has accepted, until a starting node knows enough.
void news_ask_all(const NewsState& state, const MemberState& member, const wire::Core& core, Moment now,
                  Effects& effects);
/// Answers a starting node with the values that it doesn't name as known, and with what this disk has accepted.
void news_answer_first(NewsState& state, const AcceptorState& acceptor, const MemberState& member,
                       const wire::Core& core, const wire::Envelope& envelope, Moment now, Effects& effects);
/// Answers an ask at once: with news, or with the age of the last proof alone; the ask then waits for news.
void news_asked(NewsState& state, const MemberState& member, const wire::Core& core, const wire::Envelope& envelope,
                Moment now, Effects& effects);
/// Answers another data node's ask where there is news, and keeps nothing: a data node is nobody's steady source.
void news_asked_once(NewsState& state, const MemberState& member, const wire::Core& core,
                     const wire::Envelope& envelope, Moment now, Effects& effects);
/// Takes note of a newer version that a ping names, and asks for it: its sender, or the own sources where that is a
/// data node and these haven't failed.
void news_heard(NewsState& state, const MemberState& member, const wire::Envelope& envelope, Moment now,
                Effects& effects);

/// Sends one ask for news.
void news_send_ask(const NewsState& state, const MemberState& member, std::uint64_t node, const std::string& address,
                   Moment now, Effects& effects);

}  // namespace weldsail
