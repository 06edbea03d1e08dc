#pragma once
#include "core/configuration/news.hpp"
#include "core/consensus/duty.hpp"

namespace weldsail {

/// What a data node with a folder remembers of the configuration that it had in force.
struct MemoState {
  bool enabled = false;
  Moment bound = 3000;
  std::uint64_t version = 0;
  std::uint64_t wanted = 0;
  Moment wanted_since = 0;
  Moment asked = 0;
  std::uint64_t next_token = 0;
  Moment started = 0;
};

/// Prefix of the tokens that belong to the memo.
inline constexpr std::uint64_t memo_tokens = 6ULL << 40U;

/// Reads what was in force before; the values are known as news again.
void memo_start(MemoState& state, const Records& records, MemberState& member, NewsState& news, Moment now);
/// True when the version may come into force; otherwise it is first written down.
bool memo_keep(MemoState& state, const MemberState& member, const NewsState& news, std::uint64_t version, Moment now,
               Effects& effects);
/// Writes a placement down; nothing waits for it.
void memo_placement(MemoState& state, const wire::RegisterValue& value, Effects& effects);
/// Takes the disk's answer; true when something has just been kept.
bool memo_persisted(MemoState& state, const Persisted& event);
/// True when a node may begin with a version without having heard a majority.
bool memo_suffices(const MemoState& state, std::uint64_t version, Moment now);
/// True while a newer version waits for the disk for too long: the older one isn't served on.
bool memo_late(const MemoState& state, Moment now);

}  // namespace weldsail
