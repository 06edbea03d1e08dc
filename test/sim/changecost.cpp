// What a change of the configuration costs, by how the changes taken are recorded: bytes of the value that is written
// and processor time of what the owner does with it.
#include <ctime>

#include "core/configuration/takenchanges.hpp"
#include "sim/scenarios.hpp"

namespace weldsail::sim {
namespace {

constexpr std::size_t route_bytes = 230;
constexpr std::size_t listed_beside = 256;
constexpr std::size_t moved_at_once = 128;
constexpr int rounds = 20;

/// How the changes taken are recorded.
enum class Layout { listed, compact, apart };

struct Cost {
  std::size_t bytes = 0;
  double microseconds = 0;
};

void list_changes(wire::ConfigValue& value, std::size_t count) {
  for (std::size_t place = 0; place < count; ++place) {
    auto* change = value.add_history();
    change->set_id("c17293822569102704640-" + std::to_string(value.document().size()));
    change->set_version(place + 1);
    change->set_digest("17293822569102704640");
    change->set_bytes(value.document().size());
  }
}

void record_changes(wire::ConfigValue& value, std::size_t count) {
  for (std::size_t place = 0; place < count; ++place)
    taken_add(*value.mutable_taken(), {std::string(fingerprint_bytes, 'x'), 2 * place, 2 * place + 2}, count);
}

/// One change as the owner works on it: the next value made, written out, and read back once committed.
void change_once(const wire::ConfigValue& current, const wire::Operate& operation, std::size_t most) {
  auto next = current;
  next.set_document(operation.body());
  const auto base = 2 * taken_count(next.taken());
  taken_add(*next.mutable_taken(), {change_fingerprint(operation, true), base, base + 2}, most);
  const auto bytes = next.SerializeAsString();
  wire::ConfigValue held;
  held.ParseFromString(bytes);
}

Cost cost_of(std::size_t routes, std::size_t count, Layout layout) {
  wire::ConfigValue value;
  value.set_document(std::string(routes * route_bytes, 'r'));
  value.set_version(count);
  const bool listed = layout == Layout::listed;
  const auto recorded = layout == Layout::compact ? count : std::min(count, listed_beside);
  list_changes(value, listed ? count : listed_beside);
  if (!listed) record_changes(value, recorded);
  wire::Operate operation;
  operation.set_method("PUT");
  operation.set_body(value.document());
  const auto begun = std::clock();
  for (int round = 0; round < rounds; ++round) change_once(value, operation, recorded);
  Cost cost;
  cost.microseconds = 1e6 * static_cast<double>(std::clock() - begun) / CLOCKS_PER_SEC / rounds;
  cost.bytes = value.ByteSizeLong();
  // A key apart is written whole once for each batch that moves there.
  if (layout == Layout::apart) cost.bytes += count * (fingerprint_bytes + 1) / moved_at_once;
  return cost;
}

}  // namespace

ScenarioResult run_change_cost(std::uint64_t /*seed*/) {
  ScenarioResult result;
  for (const std::size_t routes : {100, 1000, 4000})
    for (const std::size_t count : {256, 1024, 4096, 15000})
      for (const auto& [name, layout] : {std::pair("listed", Layout::listed), std::pair("compact", Layout::compact),
                                         std::pair("apart", Layout::apart)}) {
        const auto cost = cost_of(routes, count, layout);
        const auto label = std::to_string(routes) + "/" + std::to_string(count) + "/" + name;
        result.figures.emplace_back(label + "/bytes", static_cast<double>(cost.bytes));
        result.figures.emplace_back(label + "/us", cost.microseconds);
      }
  return result;
}

}  // namespace weldsail::sim
