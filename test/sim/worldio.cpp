#include "sim/world.hpp"

#include "former.pb.h"

namespace weldsail::sim {
namespace {

/// Release of the messages that the former landing spoke, before values were fetched in parts.
constexpr std::uint32_t former_release = 1;

/// What is left of a message where one end speaks the former landing's; a former sender tells its own release.
std::string former_shape(const std::string& bytes, bool former_sender) {
  former::Envelope envelope;
  envelope.ParseFromString(bytes);
  envelope.DiscardUnknownFields();
  if (former_sender) envelope.set_release(former_release);
  if (former_sender && envelope.has_ping()) {
    for (auto& member : *envelope.mutable_ping()->mutable_members())
      if (member.node() == envelope.from()) member.set_release(former_release);
  }
  return envelope.SerializeAsString();
}

}  // namespace

void World::send(SimNode& node, const SendMessage& effect) {
  ++node.messages;
  const bool own = effect.address == node.address;
  const auto size = effect.envelope.ByteSizeLong();
  const auto body = effect.envelope.body_case();
  if (sent && !own) sent(node, effect, size);
  const auto leaves = own ? now_ : links.carry(node.address, LinkSide::out, body, size, now_);
  if (!nodes_.contains(effect.address) || (!own && chance.happens(loss))) return;
  const auto from = node.address;
  const auto more = own || !held_up ? 0 : held_up(node.address, effect.address, body);
  const auto delay = more + (own ? 0 : chance.between(0, delay_most));
  auto bytes = effect.envelope.SerializeAsString();
  if (node.former || nodes_.at(effect.address).former) bytes = former_shape(bytes, node.former);
  const auto taken = [this, from, to = effect.address, body, bytes] { receive(from, to, body, bytes); };
  if (leaves == now_)
    at(now_ + delay, taken);
  else
    // What waits at a process that ends is lost with it.
    at(leaves, [this, from, life = node.life, delay, taken] {
      if (nodes_.at(from).life == life) at(now_ + delay, taken);
    });
  if (!own && doubled > 0 && chance.happens(doubled)) at(leaves + delay + chance.between(0, doubled_most), taken);
}

void World::receive(const std::string& from, const std::string& to, wire::Envelope::BodyCase body,
                    const std::string& bytes) {
  if (from == to || !links.limited(to, LinkSide::in)) return arrive(from, to, bytes);
  const auto& target = nodes_.at(to);
  if (!target.alive || blocked(from, to)) return;
  const auto carried = links.carry(to, LinkSide::in, body, bytes.size(), now_);
  at(carried, [this, from, to, bytes, life = target.life] {
    if (nodes_.at(to).life == life) arrive(from, to, bytes);
  });
}

void World::arrive(const std::string& from, const std::string& to, const std::string& bytes) {
  const auto& target = nodes_.at(to);
  if (!target.alive || blocked(from, to)) return;
  wire::Envelope envelope;
  envelope.ParseFromString(bytes);
  give(to, target.life, MessageArrived{std::move(envelope)});
}

void World::open(SimNode& node, const OpenPipe& effect) {
  if (opened) opened(node, effect);
  const auto address = node.address;
  const auto life = node.life;
  const auto due = global(node, effect.due);
  const auto found = back_ends.find(effect.address);
  const bool cut = blocked(address, effect.address) || blocked(effect.address, address);
  const bool there = found != back_ends.end() && found->second.reachable() && !cut;
  if (!there) {
    const bool silent = found != back_ends.end() && cut;
    at(silent ? due : now_ + 1, [this, address, life, silent, pipe = effect.pipe] {
      give(address, life, PipeEnded{pipe, false, false, silent ? past_due_reason : "refused"});
    });
    return;
  }
  at(now_ + chance.between(0, delay_most), [this, address, life, effect] {
    const auto back_end = back_ends.find(effect.address);
    if (back_end != back_ends.end()) back_end->second.open(address, life, effect);
  });
  at(due, [this, address, life, pipe = effect.pipe] {
    give(address, life, PipeEnded{pipe, false, true, past_due_reason});
  });
}

void World::persist(SimNode& node, const Persist& effect) {
  const auto address = node.address;
  const auto life = node.life;
  if (node.disk_full) {
    at(now_ + 1, [this, address, life, token = effect.token] { give(address, life, Persisted{token, false}); });
    return;
  }
  node.unsynced.emplace_back(effect.token, effect.records);
  if (!node.syncing) begin_sync(address, life);
}

void World::begin_sync(const std::string& address, std::uint64_t life) {
  auto& node = nodes_.at(address);
  node.syncing = !node.unsynced.empty();
  if (!node.syncing) return;
  const auto group = node.unsynced.size();
  ++node.syncs;
  node.disk_free_at = std::max(node.disk_free_at, now_) + chance.between(node.sync_least, node.sync_most);
  at(node.disk_free_at, [this, address, life, group] {
    auto& owner = nodes_.at(address);
    if (!owner.alive || owner.life != life) return;
    std::vector<std::uint64_t> tokens;
    for (std::size_t place = 0; place < group; ++place) {
      tokens.push_back(owner.unsynced[place].first);
      for (const auto& [name, bytes] : owner.unsynced[place].second) owner.disk[name] = bytes;
    }
    owner.unsynced.erase(owner.unsynced.begin(), owner.unsynced.begin() + static_cast<std::ptrdiff_t>(group));
    begin_sync(address, life);
    for (const auto token : tokens) give(address, life, Persisted{token, true});
  });
}

}  // namespace weldsail::sim
