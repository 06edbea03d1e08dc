#include "core/consensus/acceptor.hpp"

#include <algorithm>

#include "core/delta.hpp"
#include "core/hash.hpp"

namespace weldsail {
namespace {

constexpr std::string_view promise_prefix = "promise/";
constexpr std::string_view copy_prefix = "copy/";
/// Quiet time of a key that was never promised to anybody: longer than any process runs, in milliseconds.
constexpr Moment never_granted = 1LL << 50;

void wait_for_disk(AcceptorState& state, wire::Envelope answer,
                   std::vector<std::pair<std::string, std::string>> records, Effects& effects) {
  const auto token = acceptor_tokens + state.next_token++;
  state.waiting[token] = std::move(answer);
  effects.push_back(Persist{token, std::move(records)});
}

std::pair<std::string, std::string> promise_record(const std::string& key, const DiskCopy& copy) {
  return {std::string(promise_prefix) + key, std::to_string(copy.promised)};
}

std::pair<std::string, std::string> copy_record(const std::string& key, const DiskCopy& copy) {
  wire::RegisterValue value;
  value.set_key(key);
  value.set_epoch(copy.accepted_epoch);
  value.set_version(copy.version);
  value.set_value(copy.value);
  return {std::string(copy_prefix) + key, value.SerializeAsString()};
}

/// When a former owner may have been confirmed last. A promise is durable, so a key without one never had an owner.
Moment last_grant(const AcceptorState& state, const std::string& key, std::uint64_t promised, Moment now) {
  if (promised == 0) return now - never_granted;
  const auto found = state.granted_at.find(key);
  return found == state.granted_at.end() ? state.known_since : std::max(state.known_since, found->second);
}

void take_prepare(AcceptorState& state, const MemberState& member, const wire::Envelope& envelope, Moment now,
                  Effects& effects) {
  const auto& prepare = envelope.prepare();
  auto& copy = state.copies[prepare.key()];
  auto answer = member_envelope(member, envelope.from());
  auto* promise = answer.mutable_promise();
  promise->set_key(prepare.key());
  promise->set_epoch(prepare.epoch());
  promise->set_granted(prepare.epoch() > copy.promised);
  if (promise->granted()) {
    const auto granted = last_grant(state, prepare.key(), copy.promised, now);
    promise->set_quiet_ms(static_cast<std::uint64_t>(std::max<Moment>(0, now - granted)));
    copy.promised = prepare.epoch();
    state.granted_at[prepare.key()] = now;
  }
  promise->set_promised(copy.promised);
  promise->set_accepted_epoch(copy.accepted_epoch);
  promise->set_version(copy.version);
  promise->set_takes_deltas(true);
  const bool known = prepare.known_epoch() == copy.accepted_epoch && prepare.known_version() == copy.version;
  promise->set_value_known(known && copy.value.size() > delta_least);
  if (promise->granted() && !promise->value_known()) promise->set_value(copy.value);
  if (!promise->granted()) {
    member_send(member, envelope.from(), std::move(answer), effects);
    return;
  }
  wait_for_disk(state, std::move(answer), {promise_record(prepare.key(), copy)}, effects);
}

/// The value that an accept proposes; nothing where it is a delta from something else than what is accepted here.
std::optional<std::string> accepted_value(const DiskCopy& copy, const wire::Accept& accept) {
  if (!accept.has_delta()) return accept.value();
  const std::pair held(copy.accepted_epoch, copy.version);
  // The same proposal once more; a disk that was restored from an older state may hold another one under its name.
  if (held == std::pair(accept.epoch(), accept.version()) && sha256(copy.value) == accept.delta().result_hash())
    return copy.value;
  if (held != std::pair(accept.base_epoch(), accept.base_version())) return std::nullopt;
  return apply_delta(copy.value, accept.delta());
}

void take_accept(AcceptorState& state, const MemberState& member, const wire::Envelope& envelope, Moment now,
                 Effects& effects) {
  const auto& accept = envelope.accept();
  auto& copy = state.copies[accept.key()];
  auto answer = member_envelope(member, envelope.from());
  auto* accepted = answer.mutable_accepted();
  accepted->set_key(accept.key());
  accepted->set_epoch(accept.epoch());
  accepted->set_version(accept.version());
  if (accept.epoch() < copy.promised) {
    accepted->set_granted(false);
    accepted->set_promised(copy.promised);
    member_send(member, envelope.from(), std::move(answer), effects);
    return;
  }
  if (accept.epoch() == copy.accepted_epoch && accept.version() < copy.version) return;
  auto value = accepted_value(copy, accept);
  accepted->set_takes_deltas(true);
  accepted->set_lacks_base(!value.has_value());
  if (!value) {
    member_send(member, envelope.from(), std::move(answer), effects);
    return;
  }
  state.granted_at[accept.key()] = now;
  copy.promised = accept.epoch();
  copy.accepted_epoch = accept.epoch();
  copy.version = accept.version();
  copy.value = std::move(*value);
  accepted->set_granted(true);
  accepted->set_promised(copy.promised);
  wait_for_disk(state, std::move(answer), {promise_record(accept.key(), copy), copy_record(accept.key(), copy)},
                effects);
}

void take_check(AcceptorState& state, const MemberState& member, const wire::Envelope& envelope, Moment now,
                Effects& effects) {
  const auto& check = envelope.check();
  const auto found = state.copies.find(check.key());
  const auto promised = found == state.copies.end() ? 0 : found->second.promised;
  auto answer = member_envelope(member, envelope.from());
  auto* checked = answer.mutable_checked();
  checked->set_key(check.key());
  checked->set_epoch(check.epoch());
  checked->set_round(check.round());
  checked->set_granted(promised <= check.epoch());
  if (checked->granted()) state.granted_at[check.key()] = now;
  checked->set_promised(promised);
  member_send(member, envelope.from(), std::move(answer), effects);
}

}  // namespace

void acceptor_woke(AcceptorState& state, Moment now) { state.known_since = now; }

void acceptor_start(AcceptorState& state, const Records& records, Moment now) {
  state.known_since = now;
  for (const auto& [name, bytes] : records) {
    if (name.starts_with(promise_prefix))
      state.copies[name.substr(promise_prefix.size())].promised = std::stoull(bytes);
    if (!name.starts_with(copy_prefix)) continue;
    wire::RegisterValue value;
    if (!value.ParseFromString(bytes)) continue;
    auto& copy = state.copies[value.key()];
    copy.accepted_epoch = value.epoch();
    copy.version = value.version();
    copy.value = value.value();
  }
}

const std::string* acceptor_accepted(const AcceptorState& state, const std::string& key, std::uint64_t epoch,
                                     std::uint64_t version) {
  const auto found = state.copies.find(key);
  if (found == state.copies.end()) return nullptr;
  const auto& copy = found->second;
  return copy.accepted_epoch == epoch && copy.version == version ? &copy.value : nullptr;
}

std::vector<std::pair<std::string, std::string>> acceptor_records(const AcceptorState& state) {
  std::vector<std::pair<std::string, std::string>> records;
  for (const auto& [key, copy] : state.copies) {
    records.push_back(promise_record(key, copy));
    records.push_back(copy_record(key, copy));
  }
  return records;
}

void acceptor_receive(AcceptorState& state, const MemberState& member, const wire::Envelope& envelope, Moment now,
                      Effects& effects) {
  if (envelope.has_prepare()) take_prepare(state, member, envelope, now, effects);
  if (envelope.has_accept()) take_accept(state, member, envelope, now, effects);
  if (envelope.has_check()) take_check(state, member, envelope, now, effects);
}

void acceptor_persisted(AcceptorState& state, const MemberState& member, const Persisted& event, Effects& effects) {
  const auto found = state.waiting.find(event.token);
  if (found == state.waiting.end()) return;
  auto answer = std::move(found->second);
  const auto target = answer.to();
  state.waiting.erase(found);
  if (event.kept) member_send(member, target, std::move(answer), effects);
}

}  // namespace weldsail
