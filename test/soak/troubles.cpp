#include "troubles.hpp"

#include <algorithm>
#include <csignal>

namespace weldsail::soak {
namespace {

constexpr std::size_t at_once = 3;
constexpr std::size_t kinds = 8;
constexpr const char* names[kinds] = {"kill",     "pause",          "cut",         "one_way", "stall",
                                      "throttle", "operators_slow", "lost_answers"};
constexpr Moment shortest = 300;
constexpr std::size_t length_spread = 5000;
constexpr std::size_t pause_spread = 1500;
/// Rates in bytes a millisecond; 1 is a link of 8 Kbit/s.
constexpr double rates[] = {2, 20, 100, 400};

}  // namespace

Troubles::Troubles(FleetView fleet, Relay& relay, Ledger& ledger, std::uint64_t seed)
    : fleet_(fleet), relay_(relay), ledger_(ledger), random_(seed), calm_since_(fleet.size(), 0) {}

void Troubles::tick(Moment now) {
  for (auto item = under_way_.begin(); item != under_way_.end();) {
    if (now >= item->until) finish(*item);
    item = now >= item->until ? under_way_.erase(item) : std::next(item);
  }
  if (ended_ || now < next_ || under_way_.size() >= at_once) return;
  next_ = now + static_cast<Moment>(pick(random_, pause_spread));
  begin(now);
}

void Troubles::begin(Moment now) {
  Trouble trouble{static_cast<Kind>(pick(random_, kinds)), 0, 0, 0, 0};
  const bool control = pick(random_, 2) == 0;
  trouble.process =
      control ? pick(random_, fleet_.controls()) : fleet_.controls() + pick(random_, fleet_.size() - fleet_.controls());
  trouble.other = trouble.process;
  trouble.until = now + shortest + static_cast<Moment>(pick(random_, length_spread));
  auto& child = fleet_.child(trouble.process);
  if (troubled(trouble.process) || child.pid == 0) return;
  const std::string name = names[static_cast<std::size_t>(trouble.kind)];
  if (trouble.kind == Kind::kill) {
    fleet_.fleet().signal(child, SIGKILL);
    fleet_.fleet().reap(child);
  } else if (trouble.kind == Kind::pause) {
    fleet_.fleet().signal(child, SIGSTOP);
  } else {
    trouble.rule = relay_.impose(rule_of(trouble));
  }
  ++counts_[name];
  ledger_.tell(name + " " + child.name + " for " + std::to_string(trouble.until - now));
  under_way_.push_back(trouble);
}

LinkRule Troubles::rule_of(Trouble& trouble) {
  const auto kind = trouble.kind;
  LinkRule rule;
  rule.target = static_cast<int>(trouble.process);
  // Half of the link troubles concern all links to the process, the others those from one process or from it.
  const auto shape = pick(random_, 4);
  const auto other = pick(random_, fleet_.size());
  if (shape == 2) trouble.other = other;
  if (shape == 2) rule.source = static_cast<int>(other);
  if (shape == 3) std::swap(rule.source, rule.target);
  rule.bytes_per_ms = rates[pick(random_, std::size(rates))];
  switch (kind) {
    case Kind::cut: rule.fault = LinkFault::closed; break;
    case Kind::one_way:
      rule.fault = LinkFault::discarded;
      rule.backward = false;
      break;
    case Kind::stall: rule.fault = LinkFault::stalled; break;
    case Kind::throttle: rule.fault = LinkFault::throttled; break;
    default: break;
  }
  if (kind == Kind::operators_throttle || kind == Kind::lost_answers) {
    rule.kind = ChannelKind::callers;
    rule.source = any_process;
    rule.target = static_cast<int>(trouble.process);
    rule.fault = kind == Kind::lost_answers ? LinkFault::discarded : LinkFault::throttled;
    rule.forward = kind != Kind::lost_answers;
  }
  return rule;
}

void Troubles::finish(const Trouble& trouble) {
  calm_since_[trouble.process] = calm_since_[trouble.other] = monotonic_now();
  auto& child = fleet_.child(trouble.process);
  if (trouble.kind == Kind::kill) {
    fleet_.fleet().start_child(child);
  } else if (trouble.kind == Kind::pause) {
    fleet_.fleet().signal(child, SIGCONT);
  } else {
    relay_.lift(trouble.rule);
  }
  ledger_.tell(std::string(names[static_cast<std::size_t>(trouble.kind)]) + " of " + child.name + " ends");
}

void Troubles::end() {
  ended_ = true;
  for (const auto& trouble : under_way_) finish(trouble);
  under_way_.clear();
  relay_.lift_all();
}

bool Troubles::troubled(std::size_t process) const {
  return std::ranges::any_of(under_way_, [&](const Trouble& item) { return item.process == process; });
}

std::optional<Moment> Troubles::calm_since(std::size_t process) const {
  const auto concerns = [&](const Trouble& item) { return item.process == process || item.other == process; };
  if (std::ranges::any_of(under_way_, concerns)) return std::nullopt;
  return calm_since_[process];
}

}  // namespace weldsail::soak
