#pragma once
#include <catch2/catch.hpp>

#include <map>
#include <queue>
#include <set>
#include <string>

#include "core/bulk/bulk.hpp"
#include "sim/world.hpp"

namespace weldsail {

/// A process that sends and takes large messages, by the bulk module alone.
struct BulkProcess {
  MemberState member;
  BulkState bulk;
  SendWindow window;
  bool alive = true;
  bool frozen = false;
  std::vector<wire::Envelope> inbox;
  /// What the plain model says was sent to each life of a peer, in order, and what came from each sender's life.
  std::map<std::uint64_t, std::vector<std::string>> sent;
  std::map<std::uint64_t, std::vector<std::string>> taken;
  /// For each sender's life and kind of message, how much of what was sent the messages taken so far lead through.
  std::map<std::pair<std::uint64_t, wire::Envelope::BodyCase>, std::size_t> places;
};

/// An ordinary message without a topic.
inline BulkMessage bulk_message(std::string bytes) {
  BulkMessage message;
  message.bytes = std::move(bytes);
  return message;
}

/// Processes on a network that loses, doubles, reorders, delays and cuts. The plain model: what a life of a process
/// takes from a life of another is a part of what that one sent to it, each message whole and once, and those of one
/// kind in order.
class BulkBench {
 public:
  explicit BulkBench(std::uint64_t seed) : chance(seed) {}

  BulkProcess& add(const std::string& address) {
    processes[address].member.options = {Program::control, address, address, address, {}, bound};
    return begin_life(address);
  }

  /// A new process with empty memory at an address; it and all others know one another.
  BulkProcess& begin_life(const std::string& address) {
    auto& process = processes.at(address);
    const auto options = process.member.options;
    const auto former = process.member.self.node();
    process = BulkProcess{};
    process.member.options = options;
    member_start(process.member, chance.number(), 0, now);
    bulk_configure(process.bulk, bound);
    for (auto& [other_address, other] : processes) {
      if (other_address == address) continue;
      other.member.others[process.member.self.node()] = {process.member.self, now, now};
      process.member.others[other.member.self.node()] = {other.member.self, now, now};
      if (former != 0) see(other, former, MemberPhase::broken);
    }
    return process;
  }

  static void see(BulkProcess& process, std::uint64_t node, MemberPhase phase) {
    process.member.others.at(node).entry.set_state(static_cast<std::uint32_t>(phase));
  }

  std::uint64_t node(const std::string& address) const { return processes.at(address).member.self.node(); }

  /// An answer to a read, which has no topic: nothing supersedes it.
  wire::Envelope message(const std::string& from, const std::string& to, std::size_t size) {
    auto envelope = member_envelope(processes.at(from).member, node(to));
    envelope.mutable_operated()->set_request(++last_request);
    std::string body(size, '\0');
    for (auto& letter : body) letter = static_cast<char>(chance.number());
    envelope.mutable_operated()->set_body(std::move(body));
    return envelope;
  }

  /// Sends a message as the reducers do, as an effect of a step.
  void send(const std::string& from, const std::string& to, wire::Envelope envelope) {
    if (envelope.ByteSizeLong() > piece_most)
      processes.at(from).sent[envelope.to()].push_back(bytes_without_age(envelope));
    Effects effects{SendMessage{to, std::move(envelope)}};
    finish(from, effects);
  }
  void send(const std::string& from, const std::string& to, std::size_t size) {
    send(from, to, message(from, to, size));
  }

  /// The end of a step: what may be sent leaves.
  void finish(const std::string& from, Effects& effects) {
    auto& process = processes.at(from);
    bulk_send(process.bulk, process.window, process.member, now, effects);
    CHECK(window_bytes(process.window) <= pieces_window_most);
    CHECK(process.bulk.lane.counters.violations == 0);
    std::set<std::string> peers;
    for (const auto& effect : effects)
      if (const auto* item = std::get_if<SendMessage>(&effect)) {
        const auto size = item->envelope.ByteSizeLong();
        CHECK(size <= piece_most + 128);
        if (item->envelope.has_bulk_piece()) CHECK(peers.insert(item->address).second);
        piece_bytes[item->address] += item->envelope.bulk_piece().bytes().size();
        carry(from, *item);
      }
  }

  void run_until(Moment end) {
    for (; now < end; now += step) {
      while (!messages.empty() && messages.top().when <= now) {
        const auto next = messages.top();
        messages.pop();
        auto& process = processes.at(next.to);
        if (!process.alive || cut.contains({next.from, next.to})) continue;
        if (process.frozen)
          process.inbox.push_back(next.envelope);
        else
          receive(next.to, next.envelope);
      }
      if (now % tick != 0) continue;
      for (auto& [address, process] : processes) {
        if (!process.alive || process.frozen) continue;
        Effects effects;
        finish(address, effects);
      }
    }
  }

  void freeze(const std::string& address) { processes.at(address).frozen = true; }
  void wake(const std::string& address) {
    auto& process = processes.at(address);
    process.frozen = false;
    Effects effects;
    finish(address, effects);
    for (const auto& envelope : std::exchange(process.inbox, {})) receive(address, envelope);
  }

  void receive(const std::string& address, const wire::Envelope& envelope) {
    auto& process = processes.at(address);
    if (envelope.to() != process.member.self.node()) return;
    Effects effects;
    const auto whole = bulk_receive(process.bulk, process.window, process.member, envelope, now, effects);
    if (whole) take(process, *whole);
    if (envelope.has_operated()) small_taken.push_back(envelope.operated().request());
    finish(address, effects);
  }

  /// All that live processes have sent to live ones has come, and nothing waits any more.
  bool delivered() {
    bool all = true;
    for (auto& [address, process] : processes)
      for (const auto& [other_address, other] : processes)
        if (const auto sent = process.sent.find(node(other_address)); sent != process.sent.end() && other.alive)
          all = all && processes.at(other_address).taken[node(address)].size() == sent->second.size();
    return all && resting();
  }

  bool resting() const {
    return std::ranges::all_of(processes, [](const auto& item) {
      return item.second.bulk.lane.peers.empty() && window_bytes(item.second.window) == 0;
    });
  }

  static constexpr Moment bound = 3000;
  static constexpr Moment step = 1;
  static constexpr Moment tick = 25;
  sim::Chance chance;
  Moment now = 1000;
  double loss = 0;
  double doubled = 0;
  Moment delay_least = 0;
  Moment delay_most = 20;
  std::map<std::string, BulkProcess> processes;
  std::set<std::pair<std::string, std::string>> cut;
  std::map<std::string, std::uint64_t> piece_bytes;
  std::vector<std::uint64_t> small_taken;
  std::vector<std::uint64_t> ages_taken;
  std::uint64_t last_request = 0;

 private:
  struct Message {
    Moment when;
    std::uint64_t order;
    std::string from;
    std::string to;
    wire::Envelope envelope;
    bool operator<(const Message& other) const { return std::pair(when, order) > std::pair(other.when, other.order); }
  };

  /// The time for which a view waited is added to its age.
  static std::string bytes_without_age(wire::Envelope envelope) {
    if (envelope.has_fleet()) envelope.mutable_fleet()->clear_age_ms();
    return envelope.SerializeAsString();
  }

  /// Compares a message that was put together with what the model says.
  void take(BulkProcess& process, const wire::Envelope& whole) {
    const auto bytes = bytes_without_age(whole);
    if (whole.has_fleet()) ages_taken.push_back(whole.fleet().age_ms());
    auto& taken = process.taken[whole.from()];
    auto& place = process.places[{whole.from(), whole.body_case()}];
    if (taken.empty()) place = 0;
    taken.push_back(bytes);
    const auto sender = std::ranges::find_if(
        processes, [&](const auto& item) { return item.second.member.self.node() == whole.from(); });
    // A life that has ended can't be asked any more; its messages stay comparable among themselves.
    if (sender == processes.end()) return;
    const auto& sent = sender->second.sent[process.member.self.node()];
    const auto found = std::find(sent.begin() + static_cast<std::ptrdiff_t>(place), sent.end(), bytes);
    REQUIRE(found != sent.end());
    place = static_cast<std::size_t>(found - sent.begin()) + 1;
  }

  void carry(const std::string& from, const SendMessage& item) {
    if (!processes.contains(item.address) || chance.happens(loss)) return;
    const auto copies = chance.happens(doubled) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
      messages.push({now + chance.between(delay_least, delay_most), ++order_, from, item.address, item.envelope});
  }

  std::priority_queue<Message> messages;
  std::uint64_t order_ = 0;
};

}  // namespace weldsail
