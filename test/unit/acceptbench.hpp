#pragma once
#include <catch2/catch.hpp>

#include <map>
#include <queue>
#include <string>

#include "core/consensus/duty.hpp"
#include "core/consensus/register.hpp"
#include "sim/world.hpp"

namespace weldsail {

/// A core process by its register parts alone: a disk, and an owner that takes the key at times.
struct AcceptProcess {
  MemberState member;
  AcceptorState acceptor;
  RegisterState owner;
  Records disk;
  bool alive = true;
  /// As a former release: it knows neither deltas nor promises without the value.
  bool former = false;
};

/// Core processes on a network that loses, doubles and delays messages, with disks that sync late. After each step the
/// bytes of every copy are compared with what was proposed under its epoch and version.
class AcceptBench {
 public:
  AcceptBench(std::uint64_t seed, std::size_t count) : chance(seed), processes(count) {
    for (std::size_t place = 0; place < count; ++place) {
      auto* disk = core.add_disks();
      disk->set_disk(100 + place);
      disk->set_seat(static_cast<std::uint32_t>(place + 1));
      processes[place].member.options = {Program::control, std::to_string(place), "", "", {}, bound};
    }
    for (std::size_t place = 0; place < count; ++place) start(place);
  }

  /// A new life on what the disk has kept.
  void start(std::size_t place) {
    auto& process = processes[place];
    const auto options = process.member.options;
    process.member = {};
    process.member.options = options;
    process.acceptor = {};
    process.owner = {};
    process.owner.key = config_key;
    process.owner.bound = bound;
    process.alive = true;
    member_start(process.member, chance.number(), 100 + place, now);
    acceptor_start(process.acceptor, process.disk, now);
    for (auto& one : processes)
      for (auto& other : processes) {
        std::erase_if(one.member.others,
                      [&](const auto& item) { return item.second.entry.disk() == other.member.self.disk(); });
        if (&one != &other) one.member.others[other.member.self.node()].entry = other.member.self;
      }
  }

  void prepare(std::size_t place) {
    Effects effects;
    auto& process = processes[place];
    register_prepare(process.owner, process.member, core, process.acceptor, now, effects);
    carry_out(place, effects);
  }

  bool propose(std::size_t place, std::string value) {
    Effects effects;
    auto& owner = processes[place].owner;
    if (!register_propose(owner, processes[place].member, core, std::move(value), now, effects)) return false;
    note_proposal(owner);
    carry_out(place, effects);
    return true;
  }

  void run_until(Moment end) {
    for (; now < end; now += step) {
      for (std::size_t place = 0; place < processes.size(); ++place) {
        Effects effects;
        if (processes[place].alive) register_tick(processes[place].owner, processes[place].member, core, now, effects);
        carry_out(place, effects);
      }
      while (!events.empty() && events.top().when <= now) {
        const auto event = events.top();
        events.pop();
        auto& process = processes[event.to];
        if (!process.alive || process.member.self.node() != event.life) continue;
        if (event.token != 0)
          synced(event);
        else
          receive(event.to, event.envelope);
      }
    }
  }

  const DiskCopy& copy(std::size_t place) { return processes[place].acceptor.copies[config_key]; }

  static constexpr Moment bound = 3000;
  static constexpr Moment step = 5;
  sim::Chance chance;
  std::vector<AcceptProcess> processes;
  wire::Core core;
  Moment now = 1000;
  double loss = 0;
  double doubled = 0;
  Moment delay_most = 10;
  Moment sync_most = 10;
  /// Share of the syncs that fail and keep nothing.
  double sync_failed = 0;
  /// What was proposed under each epoch and version, and what was committed as each version.
  std::map<AcceptedTag, std::string> proposed;
  std::map<std::uint64_t, std::string> committed;
  std::uint64_t whole_accepts = 0;
  std::uint64_t delta_accepts = 0;
  std::uint64_t lacked = 0;
  std::uint64_t left_out = 0;

 private:
  struct Pending {
    Moment when;
    std::uint64_t order;
    std::size_t to;
    std::uint64_t life;
    wire::Envelope envelope;
    std::uint64_t token;
    std::vector<std::pair<std::string, std::string>> records;
    bool operator<(const Pending& other) const { return std::pair(when, order) > std::pair(other.when, other.order); }
  };

  void note_proposal(const RegisterState& owner) {
    if (!owner.proposal) return;
    const auto [found, added] = proposed.try_emplace({owner.epoch, owner.proposal->version}, owner.proposal->value);
    CHECK((found->second == owner.proposal->value));
  }

  void synced(const Pending& event) {
    auto& process = processes[event.to];
    const bool kept = sync_failed == 0 || !chance.happens(sync_failed);
    if (kept)
      for (const auto& [name, bytes] : event.records) process.disk[name] = bytes;
    Effects effects;
    acceptor_persisted(process.acceptor, process.member, {event.token, kept}, effects);
    carry_out(event.to, effects);
  }

  void receive(std::size_t place, const wire::Envelope& envelope) {
    auto& process = processes[place];
    CAPTURE(place, now);
    Effects effects;
    const auto& held = copy(place);
    const AcceptedTag before{held.accepted_epoch, held.version};
    acceptor_receive(process.acceptor, process.member, envelope, now, effects);
    // Only a disk that the accept before was lost to, or overtaken, asks for the whole value.
    const auto& accept = envelope.accept();
    const bool has_base = accept.has_delta() && before == AcceptedTag{accept.base_epoch(), accept.base_version()};
    for (const auto& effect : effects)
      if (const auto* message = std::get_if<SendMessage>(&effect); message != nullptr && has_base)
        CHECK_FALSE(message->envelope.accepted().lacks_base());
    const AcceptedTag tag{held.accepted_epoch, held.version};
    if (held.accepted_epoch != 0) {
      REQUIRE(proposed.contains(tag));
      CHECK((held.value == proposed.at(tag)));
    }
    auto& owner = process.owner;
    const auto signal = register_receive(owner, process.member, core, envelope, now, effects);
    if (owner.phase == OwnerPhase::adopting && owner.proposal) {
      const AcceptedTag best{owner.best_epoch, owner.version};
      REQUIRE(proposed.contains(best));
      CHECK((owner.proposal->value == proposed.at(best)));
      note_proposal(owner);
    }
    const bool adopted = signal == RegisterSignal::held && owner.version > 0;
    if (signal == RegisterSignal::committed || adopted) {
      CHECK((owner.value == proposed.at({owner.epoch, owner.version})));
      CHECK((committed.try_emplace(owner.version, owner.value).first->second == owner.value));
    }
    carry_out(place, effects);
  }

  /// Loses what a former release doesn't know of a message; counts what goes.
  void shape(wire::Envelope& envelope, bool former) {
    if (envelope.has_accept()) ++(envelope.accept().has_delta() ? delta_accepts : whole_accepts);
    if (envelope.accepted().lacks_base()) ++lacked;
    if (envelope.promise().value_known()) ++left_out;
    if (!former) return;
    CHECK_FALSE(envelope.accept().has_delta());
    CHECK_FALSE(envelope.promise().value_known());
    if (envelope.has_prepare()) envelope.mutable_prepare()->clear_known_epoch();
    if (envelope.has_prepare()) envelope.mutable_prepare()->clear_known_version();
    if (envelope.has_promise()) envelope.mutable_promise()->clear_takes_deltas();
    if (envelope.has_accepted()) envelope.mutable_accepted()->clear_takes_deltas();
  }

  void carry_out(std::size_t from, const Effects& effects) {
    auto& process = processes[from];
    for (const auto& effect : effects) {
      if (const auto* persist = std::get_if<Persist>(&effect)) {
        // A disk syncs in order.
        auto& free_at = disk_free_at[from];
        free_at = std::max(free_at, now) + chance.between(1, sync_most);
        events.push({free_at, order++, from, process.member.self.node(), {}, persist->token, persist->records});
      }
      const auto* message = std::get_if<SendMessage>(&effect);
      if (message == nullptr) continue;
      const auto to = static_cast<std::size_t>(std::stoul(message->address));
      auto envelope = message->envelope;
      shape(envelope, process.former || processes[to].former);
      const auto life = envelope.to();
      for (int turn = 0; turn < (chance.happens(doubled) ? 2 : 1); ++turn) {
        if (to != from && chance.happens(loss)) continue;
        const auto delay = to == from ? 0 : chance.between(1, delay_most);
        events.push({now + delay, order++, to, life, envelope, 0, {}});
      }
    }
  }

  std::priority_queue<Pending> events;
  std::map<std::size_t, Moment> disk_free_at;
  std::uint64_t order = 0;
};

}  // namespace weldsail
