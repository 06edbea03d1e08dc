#pragma once
#include <catch2/catch.hpp>

#include <map>
#include <queue>
#include <set>
#include <string>

#include "core/configuration/fetch.hpp"
#include "core/configuration/serve.hpp"
#include "sim/world.hpp"

namespace weldsail {

/// A process that has values or fetches them, by the parts of the code under test alone.
struct FetchProcess {
  MemberState member;
  NewsState news;
  bool alive = true;
  /// As a former release: it takes values inside News only.
  bool former = false;
  /// The newest version that it has been offered or sent, and what it had when it was looked at last.
  std::uint64_t told = 0;
  std::uint64_t had = 0;
  Moment last_ask = 0;
  std::uint64_t asks = 0;
  std::uint64_t values_taken = 0;
};

/// Sources that commit versions of the configuration and receivers that fetch them, on a network that loses, doubles,
/// reorders and delays messages. What must hold is checked after each message and tick.
class FetchBench {
 public:
  explicit FetchBench(std::uint64_t seed) : chance(seed) {}

  FetchProcess& add(const std::string& address, Program program) {
    auto& process = processes[address];
    process.member.options = {program, address, address, address, {}, bound};
    return begin_life(address);
  }

  /// A new process with empty memory in place of the one at an address.
  FetchProcess& begin_life(const std::string& address) {
    auto& process = processes.at(address);
    const auto options = process.member.options;
    const bool former = process.former;
    process = FetchProcess{};
    process.former = former;
    process.member.options = options;
    process.news.bound = bound;
    member_start(process.member, chance.number(), 0, now);
    return process;
  }

  /// Gives a source the newest version; every version's content stays as it was committed.
  void give(const std::string& address) { give(address, newest()); }
  void give(const std::string& address, std::uint64_t version) { learn(address, value_of(version)); }

  void commit(std::string content) { committed.push_back(std::move(content)); }
  std::uint64_t newest() const { return committed.size(); }
  std::uint64_t version(const std::string& address) const {
    const auto& values = processes.at(address).news.values;
    const auto found = values.find(config_key);
    return found == values.end() ? 0 : found->second.version();
  }

  wire::RegisterValue value_of(std::uint64_t version) const {
    wire::RegisterValue value;
    value.set_key(config_key);
    value.set_version(version);
    value.set_epoch(epoch_of(version));
    value.set_value(committed.at(version - 1));
    return value;
  }

  /// A receiver asks a source for news.
  void ask_news(const std::string& receiver, const std::string& source) {
    auto& process = processes.at(receiver);
    Effects effects;
    news_send_ask(process.news, process.member, processes.at(source).member.self.node(), source, now, effects);
    if (process.former)
      for (auto& effect : effects) std::get<SendMessage>(effect).envelope.mutable_news_ask()->set_takes_parts(false);
    send(effects);
  }

  /// A source has met a majority just now.
  void prove(const std::string& source) { news_prove_current(processes.at(source).news, now); }

  void run_until(Moment end) {
    for (; now < end; now += step) {
      for (auto& [address, process] : processes) {
        if (!process.alive) continue;
        Effects effects;
        fetch_tick(process.news, process.member, now, effects);
        serve_tick(process.news, now);
        check_asks(address, effects, true);
        send(effects);
      }
      while (!messages.empty() && messages.top().when <= now) {
        const auto message = messages.top();
        messages.pop();
        if (processes.at(message.to).alive) receive(message.to, message.envelope);
      }
    }
  }

  /// What a process does with a message, as the data program does it.
  void receive(const std::string& address, const wire::Envelope& envelope) {
    auto& process = processes.at(address);
    if (envelope.to() != 0 && envelope.to() != process.member.self.node()) return;
    Effects effects;
    if (envelope.has_news_ask()) news_asked(process.news, process.member, {}, envelope, now, effects);
    if (envelope.has_value_ask()) serve_asked(process.news, process.member, envelope, now, effects);
    if (envelope.has_news()) take_news(address, envelope, effects);
    if (envelope.has_value_part()) take_part(address, envelope, effects);
    check_asks(address, effects, false);
    send(effects);
  }

  static constexpr Moment bound = 3000;
  static constexpr Moment step = 10;
  sim::Chance chance;
  Moment now = 1000;
  double loss = 0;
  double doubled = 0;
  double tampered = 0;
  Moment delay_most = 20;
  /// Addresses whose parts tell a hash that their value doesn't have.
  std::set<std::string> wrong_hashes;
  std::map<std::string, FetchProcess> processes;
  std::vector<std::string> committed;
  /// Bytes of values inside News that were sent to each address.
  std::map<std::string, std::uint64_t> inside_news;

 private:
  struct Message {
    Moment when;
    std::uint64_t order;
    std::string to;
    wire::Envelope envelope;
    bool operator<(const Message& other) const { return std::pair(when, order) > std::pair(other.when, other.order); }
  };

  /// Some versions are committed by another owner than those before them.
  static std::uint64_t epoch_of(std::uint64_t version) { return 4096 * (1 + version / 3) + 1; }

  void take_news(const std::string& address, const wire::Envelope& envelope, Effects& effects) {
    auto& process = processes.at(address);
    for (const auto& offer : envelope.news().offers()) process.told = std::max(process.told, offer.version());
    for (const auto& value : envelope.news().values()) {
      process.told = std::max(process.told, value.version());
      learn(address, value);
    }
    for (const auto& offer : envelope.news().offers())
      if (!process.former) fetch_offered(process.news, process.member, envelope, offer, now, effects);
    const auto before = process.news.current_as_of;
    news_answered(process.news, process.member, envelope, now);
    // A sender's proof is of its own version: it proves nothing of an older one here.
    const bool offers_newer = std::ranges::any_of(
        envelope.news().offers(), [&](const wire::Known& offer) { return version(address) < offer.version(); });
    if (offers_newer && process.member.options.program == Program::data) CHECK(process.news.current_as_of == before);
  }

  void take_part(const std::string& address, const wire::Envelope& envelope, Effects& effects) {
    auto& process = processes.at(address);
    auto& fetches = process.news.delivery.fetches;
    const auto& part = envelope.value_part();
    const auto former = fetches.contains(config_key) ? fetches[config_key] : Fetch{};
    const bool fetched = fetches.contains(config_key);
    const auto value = fetch_part(process.news, process.member, envelope, now, effects);
    if (value) learn(address, *value);
    if (!fetched || value || !fetches.contains(config_key)) return;
    const auto& fetch = fetches[config_key];
    // A part is taken where it follows what is there, or begins other content; never twice.
    const bool unchanged = fetch.received == former.received;
    const bool followed = part.offset() == former.received.size() && fetch.received == former.received + part.bytes();
    const bool begun = part.offset() == 0 && fetch.received == part.bytes();
    CHECK((unchanged || followed || begun || fetch.received.empty()));
  }

  void learn(const std::string& address, const wire::RegisterValue& value) {
    auto& process = processes.at(address);
    Effects effects;
    if (value.version() > process.had) ++process.values_taken;
    news_learn(process.news, process.member, {}, value, now, effects);
    const auto& own = process.news.values[config_key];
    CAPTURE(address, now, own.version(), newest());
    CHECK(own.version() >= process.had);
    REQUIRE(own.version() <= newest());
    CHECK((own.value() == committed[own.version() - 1]));
    CHECK(own.epoch() == epoch_of(own.version()));
    process.had = own.version();
    check_asks(address, effects, false);
    send(effects);
  }

  /// One ask at most for a message; on a tick only where the last one has had its time.
  void check_asks(const std::string& address, const Effects& effects, bool ticked) {
    auto& process = processes.at(address);
    std::size_t asks = 0;
    for (const auto& effect : effects)
      if (const auto* message = std::get_if<SendMessage>(&effect); message && message->envelope.has_value_ask()) ++asks;
    if (asks == 0) return;
    process.asks += asks;
    CAPTURE(address, now, ticked);
    CHECK(asks == 1);
    if (ticked) CHECK(now - process.last_ask >= bound / 10);
    process.last_ask = now;
  }

  void tamper(wire::ValuePart& part) {
    if (part.bytes().empty()) return;
    const auto place = chance.below(part.bytes().size());
    switch (chance.below(5)) {
      case 0: (*part.mutable_bytes())[place] ^= static_cast<char>(1U << chance.below(8)); break;
      case 1: part.mutable_bytes()->resize(place); break;
      case 2: part.set_size(chance.below(part.size() + 5000)); break;
      case 3: part.set_offset(chance.below(part.size())); break;
      default: part.mutable_value_hash()->resize(part.value_hash().size() / 2);
    }
  }

  void send(const Effects& effects) {
    for (const auto& effect : effects) {
      const auto* message = std::get_if<SendMessage>(&effect);
      if (message == nullptr || !processes.contains(message->address)) continue;
      for (const auto& value : message->envelope.news().values()) inside_news[message->address] += value.value().size();
      for (int copy = 0; copy < (chance.happens(doubled) ? 2 : 1); ++copy) {
        if (chance.happens(loss)) continue;
        auto envelope = message->envelope;
        if (envelope.has_value_part() && wrong_hashes.contains(envelope.address()))
          envelope.mutable_value_part()->set_value_hash("another");
        if (envelope.has_value_part() && chance.happens(tampered)) tamper(*envelope.mutable_value_part());
        messages.push({now + chance.between(1, delay_most), order++, message->address, std::move(envelope)});
      }
    }
  }

  std::priority_queue<Message> messages;
  std::uint64_t order = 0;
};

}  // namespace weldsail
