#include "core/forwarding/paths/call.hpp"

#include <algorithm>
#include <charconv>

#include "core/membership/rendezvous.hpp"

namespace weldsail {
namespace {

constexpr std::size_t part_limit = 1024;
/// Bytes of the longest end of an event.
constexpr std::size_t longest_mark = 4;
// Nodes that restart forget what they have spent, and shares are uneven: part of the whole that is used.
constexpr double budget_used = 0.6;

void forget_old(std::deque<Moment>& moments, Moment window, Moment now) {
  while (!moments.empty() && now - moments.front() >= window) moments.pop_front();
}

std::optional<std::uint64_t> event_number(const std::string& event) {
  for (std::size_t begin = 0; begin < event.size();) {
    auto end = event.find('\n', begin);
    if (end == std::string::npos) end = event.size();
    if (event.compare(begin, 3, "id:") == 0) {
      auto place = begin + 3;
      while (place < end && event[place] == ' ') ++place;
      std::uint64_t number = 0;
      const auto read = std::from_chars(event.data() + place, event.data() + end, number);
      if (read.ec == std::errc()) return number;
    }
    begin = end + 1;
  }
  return std::nullopt;
}

}  // namespace

bool carry_open(const PathCarry& carry) { return !carry.tries.empty() && carry.tries.back().phase == TryPhase::open; }

bool carry_may_have_run(const PathCarry& carry) {
  return std::ranges::any_of(carry.tries, [](const PathTry& item) {
    return item.phase != TryPhase::not_run && item.phase != TryPhase::unsent;
  });
}

std::size_t carry_sent(const PathCarry& carry) {
  return static_cast<std::size_t>(
      std::ranges::count_if(carry.tries, [](const PathTry& item) { return item.phase != TryPhase::unsent; }));
}

bool carry_left(const PathCarry& carry) {
  return std::ranges::any_of(carry.tries, [](const PathTry& item) { return item.phase == TryPhase::left; });
}

std::size_t carry_workers(const PathCarry& carry) {
  std::set<std::string_view> workers;
  for (const auto& item : carry.tries)
    if (item.phase != TryPhase::unsent) workers.insert(item.worker);
  return workers.size();
}

MayAsk carry_may_ask(const PathCarry& carry, const std::string& worker, Moment pause, Moment now) {
  const auto same_worker = [&](const PathTry& item) { return item.worker == worker; };
  const auto last = std::find_if(carry.tries.rbegin(), carry.tries.rend(), same_worker);
  if (last == carry.tries.rend())
    return carry_workers(carry) < std::max<std::size_t>(1, carry.route.tries) ? MayAsk::now : MayAsk::never;
  if (last->phase == TryPhase::left) return MayAsk::now;
  if (!carry.answer_begun || last->phase != TryPhase::not_run) return MayAsk::never;
  return now - last->ended < pause ? MayAsk::later : MayAsk::now;
}

bool carry_repeatable(const PathCarry& carry) {
  return carry.route.mode == PathMode::repeatable || (carry.route.mode == PathMode::stream && carry.route.resumable);
}

std::string events_take(EventReader& reader, const std::string& bytes) {
  // What was there before holds no whole mark, but may end with the beginning of one.
  auto searched = reader.buffer.size() - std::min(reader.buffer.size(), longest_mark - 1);
  reader.buffer += bytes;
  std::string whole;
  std::size_t begin = 0;
  while (true) {
    auto end = reader.buffer.find("\n\n", searched);
    const auto other = reader.buffer.find("\r\n\r\n", searched);
    std::size_t mark = 2;
    if (other != std::string::npos && (end == std::string::npos || other < end)) {
      end = other;
      mark = 4;
    }
    if (end == std::string::npos) break;
    const auto event = reader.buffer.substr(begin, end + mark - begin);
    if (const auto number = event_number(event)) {
      if (reader.last && *number <= *reader.last) reader.disordered = true;
      reader.last = number;
    }
    if (reader.disordered) break;
    whole += event;
    searched = begin = end + mark;
  }
  reader.buffer.erase(0, begin);
  return whole;
}

std::vector<std::uint64_t> part_chain(const PathCall& call) {
  std::vector<std::uint64_t> chain;
  auto link = mix(digest(call.model) ^ mix(digest(call.adapter)));
  for (const auto& part : call.parts) {
    link = mix(link ^ part.identity);
    chain.push_back(link);
  }
  return chain;
}

std::uint64_t parts_missed(const PartMemory& memory, const PathCall& call, const std::vector<std::uint64_t>& chain) {
  std::uint64_t hits = 0;
  for (std::size_t place = 0; place < chain.size() && memory.stamp_of.contains(chain[place]); ++place)
    hits += call.parts[place].tokens;
  return call.prompt_tokens - std::min(call.prompt_tokens, hits);
}

void parts_remember(PartMemory& memory, const std::vector<std::uint64_t>& chain) {
  for (const auto link : chain) {
    const auto found = memory.stamp_of.find(link);
    if (found != memory.stamp_of.end()) memory.part_at.erase(found->second);
    memory.stamp_of[link] = memory.next;
    memory.part_at[memory.next++] = link;
  }
  while (memory.part_at.size() > part_limit) {
    memory.stamp_of.erase(memory.part_at.begin()->second);
    memory.part_at.erase(memory.part_at.begin());
  }
}

void budget_request(PathBudget& budget, Moment now) { budget.requests.push_back(now); }

void budget_repeat(PathBudget& budget, Moment now) { budget.repeats.push_back(now); }

bool budget_allows(PathBudget& budget, const Limits& limits, std::size_t nodes, Moment now) {
  forget_old(budget.requests, limits.budget_window, now);
  forget_old(budget.repeats, limits.budget_window, now);
  const auto whole = limits.budget_ratio * static_cast<double>(budget.requests.size()) +
                     limits.budget_margin / static_cast<double>(std::max<std::size_t>(1, nodes));
  return static_cast<double>(budget.repeats.size()) + 1 <= budget_used * whole;
}

}  // namespace weldsail
