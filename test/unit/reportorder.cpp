#include <catch2/catch.hpp>

#include "core/data.hpp"
#include "core/forwarding/paths/path.hpp"
#include "core/placement/demand.hpp"
#include "core/placement/wants.hpp"

using namespace weldsail;

namespace {

constexpr Moment bound = 3000;
const std::string unit = "cell/m";

/// A data node's report that so many callers of a unit wait.
wire::CounterReport report(std::uint64_t number, std::uint64_t waiting, std::uint64_t round = 0) {
  wire::CounterReport result;
  result.set_number(number);
  result.set_round(round);
  auto* backlog = result.add_backlogs();
  backlog->set_unit(unit);
  backlog->set_waiting(waiting);
  return result;
}

wire::Envelope from(std::uint64_t node, const wire::CounterReport& content) {
  wire::Envelope envelope;
  envelope.set_from(node);
  *envelope.mutable_counter_report() = content;
  return envelope;
}

}  // namespace

TEST_CASE("a report that waited doesn't replace what its data node has told since", "[placing]") {
  WantsIndex index;
  index.bound = bound;
  const auto waiting = [&] { return index.units.at(unit).demand.waiting; };
  CHECK(wants_take(index, 1, report(2, 1), 1000));
  CHECK_FALSE(wants_take(index, 1, report(1, 9), 2000));
  CHECK(waiting() == 1);
  // It isn't a sign either that the node has told anything lately.
  CHECK_FALSE(wants_heard(index, 1, 1000 + bound + 1));
  wants_take(index, 1, report(3, 4), 2100);
  CHECK(waiting() == 4);
  SECTION("another node counts for itself") {
    wants_take(index, 2, report(1, 5), 2200);
    CHECK(waiting() == 9);
  }
  SECTION("a report of a former release is taken as now") {
    wants_take(index, 1, report(0, 7), 2200);
    CHECK(waiting() == 7);
    wants_take(index, 1, report(2, 9), 2300);
    CHECK(waiting() == 7);
  }
}

TEST_CASE("counters count for the ask that they answer, though a newer report has overtaken them", "[placing]") {
  DemandState state;
  state.bound = bound;
  MemberState member;
  Effects effects;
  demand_ask(state, member, {}, 1000, effects);
  demand_receive(state, from(1, report(2, 1)), 1100);
  demand_receive(state, from(1, report(1, 9, state.round)), 2000);
  CHECK(state.reports.contains(1));
  CHECK(state.backlogs.at(1).heard == 1100);
  CHECK(state.backlogs.at(1).report.backlogs(0).waiting() == 1);
  demand_receive(state, from(1, report(0, 3)), 2100);
  CHECK(state.backlogs.at(1).report.backlogs(0).waiting() == 3);
}

TEST_CASE("a data node numbers its reports, those on counters and those on backlogs alike", "[placing]") {
  auto state = make_data({});
  Effects effects;
  for (const std::uint64_t round : {0, 1, 0}) report_counters(state, 1, "c1", round, 1000, effects);
  path_report(state, 1, "c1", 2, 1000, effects);
  std::vector<std::uint64_t> numbers;
  for (const auto& effect : effects)
    numbers.push_back(std::get<SendMessage>(effect).envelope.counter_report().number());
  CHECK(numbers == std::vector<std::uint64_t>{1, 2, 3, 4});
}

TEST_CASE("data nodes together tell of what begins to wait at a bounded rate, however many they are", "[placing]") {
  const auto sent_by_one_of = [](std::size_t nodes) {
    auto state = make_data({});
    wire::Member holder;
    holder.set_node(1);
    holder.set_address("c1");
    holder.set_state(static_cast<std::uint32_t>(MemberPhase::alive));
    holder.set_program(static_cast<std::uint32_t>(Program::control));
    holder.add_holdings()->set_key(placement_key);
    holder.mutable_holdings(0)->set_epoch(1);
    state.member.others[1] = {holder, 0, 0};
    state.member.self.set_program(static_cast<std::uint32_t>(Program::data));
    for (std::uint64_t node = 2; node <= nodes; ++node) {
      wire::Member data = state.member.self;
      data.set_node(node);
      data.set_state(static_cast<std::uint32_t>(MemberPhase::alive));
      state.member.others[node] = {data, 0, 0};
    }
    state.path.fleet.partial_reports = true;
    constexpr Moment begin = 100000;
    constexpr Moment length = 10000;
    state.next_report = begin + 2 * length;
    Effects effects;
    for (auto now = begin; now < begin + length; now += 25) {
      state.path.fresh.insert("s/m");
      report_tick(state, now, effects);
    }
    for (const auto& effect : effects) CHECK(std::get<SendMessage>(effect).envelope.counter_report().partial());
    return effects.size();
  };
  CHECK(sent_by_one_of(20) == 400);
  const auto of_many = sent_by_one_of(300);
  CHECK(of_many * 300 <= (1000 + 300) * 10);
  CHECK(of_many > 20);
}
