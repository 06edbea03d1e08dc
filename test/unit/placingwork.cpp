#include <catch2/catch.hpp>

#include "core/placement/wants.hpp"
#include "sim/placingfleet.hpp"

using namespace weldsail;
using namespace weldsail::sim;

namespace {

constexpr Moment bound = 3000;

/// Data nodes' reports drawn by chance, with the wants that they add up to, worked out plainly from all of them.
struct Reporters {
  explicit Reporters(std::uint64_t seed) : chance(seed) { index.bound = bound; }
  void report() {
    const auto node = 1 + chance.below(4);
    wire::CounterReport next;
    for (std::size_t model = 0; model < 6; ++model) {
      if (chance.happens(0.4)) continue;
      auto* backlog = next.add_backlogs();
      backlog->set_unit("s/m" + std::to_string(model));
      backlog->set_waiting(chance.happens(0.5) ? chance.below(3) : 0);
      backlog->set_running(chance.below(3));
      if (backlog->waiting() > 0) backlog->set_oldest_ms(chance.below(5000));
      backlog->set_prompt_tokens(backlog->waiting() * 100);
      backlog->set_quiet_ms(backlog->waiting() + backlog->running() > 0 ? 0 : chance.below(9000));
      for (std::size_t adapter = 0; adapter < 4; ++adapter)
        if (chance.happens(0.3)) add_adapter(*backlog, "a" + std::to_string(adapter));
      auto& last = last_used[backlog->unit()];
      const bool used = backlog->waiting() + backlog->running() > 0;
      last = std::max(last, used ? now : now - static_cast<Moment>(backlog->quiet_ms()));
    }
    next.set_partial(chance.happens(0.3));
    wants_take(index, node, next, now);
    auto& [heard, units] = told[node];
    if (!next.partial() || now - heard > bound) units.clear();
    heard = now;
    for (const auto& backlog : next.backlogs()) units[backlog.unit()] = {now, backlog};
  }
  void add_adapter(wire::Backlog& backlog, const std::string& name) {
    backlog.add_adapters(name);
    backlog.add_adapter_waiting(chance.happens(0.5) ? chance.below(3) : 0);
    backlog.add_adapter_running(chance.below(3));
    backlog.add_adapter_asked_age(1 + chance.below(1000));
    backlog.add_adapter_served_age(chance.happens(0.5) ? 1 + chance.below(2000) : 0);
    backlog.add_adapter_unserved_age(chance.happens(0.5) ? 1 + chance.below(3000) : 0);
    // The oldest ask that isn't served yet is none of later than the last one.
    auto* unserved = backlog.mutable_adapter_unserved_age();
    if (unserved->Get(unserved->size() - 1) != 0)
      unserved->Set(unserved->size() - 1,
                    std::max(unserved->Get(unserved->size() - 1), backlog.adapter_asked_age(unserved->size() - 1)));
  }
  UnitWants plain(const std::string& unit) const {
    UnitWants result;
    for (const auto& [node, item] : told) {
      if (now - item.heard > bound) continue;
      for (const auto& [name, said] : item.units) {
        const auto& [heard, backlog] = said;
        if (name != unit) continue;
        result.demand.waiting += backlog.waiting();
        result.demand.running += backlog.running();
        result.demand.prompt_tokens += static_cast<double>(backlog.prompt_tokens());
        const auto waited = static_cast<Moment>(backlog.oldest_ms()) + now - heard;
        if (backlog.waiting() > 0) result.demand.oldest = std::max(result.demand.oldest, waited);
        for (int place = 0; place < backlog.adapters_size(); ++place) {
          auto& adapter = result.adapters[backlog.adapters(place)];
          adapter.waiting += backlog.adapter_waiting(place);
          adapter.running += backlog.adapter_running(place);
        }
      }
    }
    return result;
  }
  Chance chance;
  Moment now = 100000;
  WantsIndex index;
  /// What each node told last of each unit, and when it was last heard.
  struct Told {
    Moment heard = 0;
    std::map<std::string, std::pair<Moment, wire::Backlog>> units;
  };
  std::map<std::uint64_t, Told> told;
  std::map<std::string, Moment> last_used;
};

/// What the holder's books and its plan say, worked out for every worker, beside what it keeps for the changed ones.
void check_untouched(const ControlState& state, Moment now) {
  const auto& placing = state.placing;
  const PlanInput input{
      *state.paths, placing.command.books, placing.committed, placing.wants.units, placing.bound, true, false, now};
  for (const auto& [identity, book] : placing.command.books) {
    if (placing.unseen.contains(identity) || !placing.list.known) continue;
    auto own = book;
    const auto entry = placing_entry(placing, own, input);
    const auto told = std::ranges::find(placing.fleet.workers, identity, &wire::WorkerEntry::identity);
    REQUIRE(told != placing.fleet.workers.end());
    CHECK(told->draining() == entry.draining());
    REQUIRE(told->models_size() == entry.models_size());
    for (int place = 0; place < entry.models_size(); ++place)
      CHECK(told->models(place).SerializeAsString() == entry.models(place).SerializeAsString());
  }
  for (const auto& [identity, planned] : placing.plan.workers) {
    const auto book = placing.command.books.find(identity);
    if (book == placing.command.books.end() || placing.open_work.contains(identity)) continue;
    for (const auto& model : planned.models) CHECK(book_holds(book->second, model));
    for (const auto& [model, adapter] : planned.adapters) CHECK(book_holds(book->second, model, adapter));
    CHECK(book->second.held.size() == planned.models.size());
  }
  for (const auto& [identity, book] : placing.command.books)
    CHECK((placing.command.watched.contains(identity) || (!book.order && book.failures == 0)));
}

/// The plan's index and the copy that is committed, beside a plain recount.
void check_index(const HolderPlan& plan) {
  if (!plan.index) return;
  HolderPlan fresh;
  fresh.counts = plan.counts;
  fresh.workers = plan.workers;
  const auto& plain = plan_index(fresh);
  CHECK(plan.index->uneven == plain.uneven);
  CHECK(plan.index->unsettled == plain.unsettled);
  for (const auto& [unit, holders] : plain.holders) CHECK(planned_holders(plan, unit) == holders);
  for (const auto& [unit, holders] : plan.index->holders) CHECK((plain.holders.contains(unit) || holders.empty()));
}

/// The bytes of the proposal under way, kept in pieces, beside those of the whole draft.
void check_text(const PlacingState& placing) {
  auto whole = placing.next;
  write_plan(placing.draft, whole);
  CHECK((placing.proposed.empty() || whole.SerializeAsString() == placing.proposed));
}

/// What a fleet's holder visits for each report of a worker, under the same traffic at any size.
struct Visited {
  double a_report = 0;
  double reports = 0;
};

Visited visits_at(std::size_t workers) {
  WorkersPlan plan;
  plan.workers = workers;
  plan.models = workers * 6;
  plan.list_page = 100;
  AskPlan asks;
  asks.rare_per_s = 6;
  PlacingFleet fleet(7, plan, asks);
  fleet.world.run_until(9000);
  fleet.ask_until(20000);
  fleet.world.run_until(11000);
  REQUIRE(fleet.steward() != nullptr);
  const auto before = fleet.steward()->placing;
  fleet.world.run_until(20000);
  REQUIRE(fleet.steward() != nullptr);
  const auto& after = fleet.steward()->placing;
  const auto sum = [](const PlacingState& state) {
    return static_cast<double>(state.work.units + state.work.workers + state.work.entries);
  };
  const auto reports = static_cast<double>(after.command.reports - before.command.reports);
  return {(sum(after) - sum(before)) / reports, reports};
}

}  // namespace

TEST_CASE("wants kept report by report are those that all reports add up to", "[placing]") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    Reporters reporters(seed);
    for (int step = 0; step < 60; ++step) {
      reporters.now += reporters.chance.between(1, 900);
      wants_expire(reporters.index, reporters.now);
      reporters.report();
      std::uint64_t waiting = 0;
      for (std::size_t model = 0; model < 6; ++model) {
        const auto unit = "s/m" + std::to_string(model);
        const auto plain = reporters.plain(unit);
        const auto found = reporters.index.units.find(unit);
        if (found == reporters.index.units.end()) continue;
        const auto& kept = found->second;
        CHECK(kept.demand.waiting == plain.demand.waiting);
        CHECK(kept.demand.running == plain.demand.running);
        CHECK(kept.demand.prompt_tokens == plain.demand.prompt_tokens);
        CHECK(wants_oldest(kept, reporters.now) == plain.demand.oldest);
        CHECK(wants_quiet(kept, reporters.now) == reporters.now - reporters.last_used.at(unit));
        for (const auto& [name, adapter] : kept.adapters) {
          const auto told = plain.adapters.find(name);
          CHECK(adapter.waiting == (told == plain.adapters.end() ? 0 : told->second.waiting));
          CHECK(adapter.running == (told == plain.adapters.end() ? 0 : told->second.running));
          const bool asked = adapter.waiting > 0 || adapter.asks.unserved_since;
          CHECK(reporters.index.asked_adapters.contains({unit, name}) == asked);
        }
        for (const auto& [name, adapter] : plain.adapters) CHECK(kept.adapters.contains(name));
        CHECK(reporters.index.active.contains(unit) == (plain.demand.waiting + plain.demand.running > 0));
        CHECK(reporters.index.unserved.contains(unit) == kept.asks.unserved_since.has_value());
        waiting += plain.demand.waiting;
      }
      CHECK(reporters.index.waiting == waiting);
    }
  }
}

TEST_CASE("what the holder hasn't marked as changed has not changed", "[placing]") {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    CAPTURE(seed);
    WorkersPlan plan;
    if (seed % 2 == 0) plan.answers_lost = 0.05;
    PlacingFleet fleet(seed, plan, {});
    std::size_t steps = 0;
    fleet.world.stepped = [&](SimNode& node) {
      if (node.address != fleet.holder() || ++steps % 7 != 0) return;
      const auto& state = std::get<ControlState>(node.state);
      check_untouched(state, fleet.world.now());
      check_index(state.placing.plan);
      check_index(state.placing.draft);
      check_text(state.placing);
    };
    if (seed % 3 == 0) fleet.world.at(9000, [&] { fleet.stands->restart(1, 1500); });
    if (seed % 3 == 1) fleet.world.at(9000, [&] { fleet.stands->drain(2); });
    fleet.world.run_until(6000);
    fleet.ask_until(16000);
    fleet.world.run_until(16000);
    CHECK(steps > 1000);
  }
}

TEST_CASE("a worker's report costs the same at 36 and at 360 workers", "[placing]") {
  const auto few = visits_at(36);
  const auto many = visits_at(360);
  CAPTURE(few.a_report, few.reports, many.a_report, many.reports);
  CHECK(few.reports > 20);
  CHECK(many.reports > 20);
  CHECK(many.a_report <= 2 * few.a_report);
}

TEST_CASE("votes, leases, heartbeats and the configuration go before what workers and callers tell", "[placing]") {
  const ControlState state;
  wire::Envelope envelope;
  envelope.mutable_ping();
  CHECK_FALSE(may_wait(state, MessageArrived{envelope}));
  envelope.mutable_accepted();
  CHECK_FALSE(may_wait(state, MessageArrived{envelope}));
  envelope.mutable_news();
  CHECK_FALSE(may_wait(state, MessageArrived{envelope}));
  CHECK_FALSE(may_wait(state, Ticked{1}));
  CHECK_FALSE(may_wait(state, Persisted{1, true}));
  CHECK_FALSE(may_wait(state, RequestArrived{}));
  envelope.mutable_counter_report();
  CHECK(may_wait(state, MessageArrived{envelope}));
  CHECK(may_wait(state, PipeEnded{}));
}
