#include <algorithm>
#include <iomanip>
#include <sstream>

#include "sim/modelplans.hpp"

namespace weldsail::sim::model {
namespace {

std::string slot_text(const std::string& key, std::uint64_t epoch, std::uint64_t version) {
  return key + " epoch " + std::to_string(epoch) + " version " + std::to_string(version);
}

std::string epoch_text(const std::string& key, std::uint64_t epoch) { return key + " epoch " + std::to_string(epoch); }

std::string answer_text(bool granted) { return granted ? " granted" : " refused"; }

std::string message_text(const wire::Envelope& envelope) {
  if (envelope.has_prepare()) return "Prepare " + epoch_text(envelope.prepare().key(), envelope.prepare().epoch());
  if (envelope.has_promise())
    return "Promise " + epoch_text(envelope.promise().key(), envelope.promise().epoch()) +
           answer_text(envelope.promise().granted());
  if (envelope.has_accept()) {
    const auto& accept = envelope.accept();
    return "Accept " + slot_text(accept.key(), accept.epoch(), accept.version());
  }
  if (envelope.has_accepted()) {
    const auto& accepted = envelope.accepted();
    return "Accepted " + slot_text(accepted.key(), accepted.epoch(), accepted.version()) +
           answer_text(accepted.granted());
  }
  if (envelope.has_check()) return "Check " + epoch_text(envelope.check().key(), envelope.check().epoch());
  if (envelope.has_checked())
    return "Checked " + epoch_text(envelope.checked().key(), envelope.checked().epoch()) +
           answer_text(envelope.checked().granted());
  if (envelope.has_copy_ask()) return "CopyAsk";
  if (envelope.has_copy_answer()) return "CopyAnswer";
  if (envelope.has_news()) return "News";
  if (envelope.has_news_ask()) return "NewsAsk";
  return "message";
}

std::string node_text(ActionKind kind) {
  switch (kind) {
    case ActionKind::sync: return "syncs its disk";
    case ActionKind::crash_losing_unsynced: return "crashes, loses what is unsynced, and restarts";
    case ActionKind::crash_keeping_unsynced: return "crashes after its writes, before it is told, and restarts";
    case ActionKind::empty_disk: return "restarts with an emptied disk";
    case ActionKind::leave: return "is told to leave";
    case ActionKind::tick: return "ticks";
    case ActionKind::take_config: return "begins to take config";
    case ActionKind::take_core: return "begins to take core";
    case ActionKind::change: return "is asked for a change";
    case ActionKind::read: return "is asked for the configuration";
    default: return "acts";
  }
}

}  // namespace

std::string ModelWorld::describe(const Action& action) const {
  const auto node = node_address(action.node);
  const auto other = node_address(action.other);
  if (action.kind == ActionKind::pause) return "a lease passes";
  if (action.kind == ActionKind::heal) return "all cuts heal";
  if (action.kind == ActionKind::cut) return "cut: what " + node + " sends to " + other + " is held back";
  if (action.kind == ActionKind::doubt) return node + " takes " + other + " for lost, and ticks";
  const bool message = action.message != 0;
  if (!message) return node + " " + node_text(action.kind);
  const auto found = std::ranges::find(network_, action.message, [](const auto& item) { return item->identity; });
  const auto verb = action.kind == ActionKind::exchange    ? "deliver and answer "
                    : action.kind == ActionKind::deliver   ? "deliver "
                    : action.kind == ActionKind::duplicate ? "deliver and keep a copy of "
                                                           : "lose ";
  return verb + (found == network_.end() ? "nothing" : message_text((*found)->envelope)) + " from " + other + " to " +
         node;
}

std::string search_text(const std::string& name, const SearchResult& result) {
  std::ostringstream text;
  text << "model=" << name << " states=" << result.states << " transitions=" << result.transitions
       << " depth=" << result.depth << " exhausted=" << (result.exhausted ? "yes" : "no") << " seconds=" << std::fixed
       << std::setprecision(1) << result.seconds << " faults=" << (result.fault.empty() ? 0 : 1);
  return text.str();
}

ModelWorld replay(const ModelWorld& root, const Trace& trace) {
  auto world = root;
  for (const auto& action : trace) {
    if (!world.fault().empty()) break;
    if (world.possible(action)) world.perform(action);
  }
  return world;
}

Trace shorten(const ModelWorld& root, Trace trace) {
  for (auto chunk = trace.size() / 2; chunk > 0;) {
    bool shorter = false;
    for (std::size_t begin = 0; begin < trace.size();) {
      auto tried = trace;
      const auto end = std::min(tried.size(), begin + chunk);
      tried.erase(tried.begin() + static_cast<std::ptrdiff_t>(begin), tried.begin() + static_cast<std::ptrdiff_t>(end));
      if (replay(root, tried).fault().empty()) {
        begin += chunk;
        continue;
      }
      trace = std::move(tried);
      shorter = true;
    }
    if (!shorter || chunk > 1) chunk /= 2;
    if (chunk == 0 && shorter) chunk = 1;
  }
  return trace;
}

std::vector<std::string> describe(const ModelWorld& root, const Trace& trace) {
  std::vector<std::string> steps;
  auto world = root;
  for (const auto& action : trace) {
    if (!world.possible(action)) continue;
    steps.push_back(world.describe(action));
    world.perform(action);
    if (!world.fault().empty()) break;
  }
  steps.push_back("=> " + world.fault());
  return steps;
}

}  // namespace weldsail::sim::model
