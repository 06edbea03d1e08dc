#include <catch2/catch.hpp>

#include "core/control.hpp"
#include "core/placement/listing.hpp"
#include "core/placement/view.hpp"
#include "platform/fleet.hpp"

using namespace weldsail;

namespace {

Dialect list_dialect() {
  Dialect dialect{};
  dialect.list_path = fleet_list_path;
  dialect.read_list = fleet_read_list;
  return dialect;
}

struct ListAsker {
  ListAsker() {
    limits.list_address = "10.0.0.1:80";
    state.pace = 900;
  }
  std::optional<OpenPipe> tick(Moment now) {
    Effects effects;
    list_tick(state, limits, dialect, numbers, now, effects);
    return opened(effects);
  }
  std::optional<OpenPipe> answer(int status, const std::string& body, Moment now, bool whole = true) {
    Effects effects;
    const auto pipe = state.pipe;
    list_pipe(state, limits, dialect, numbers, PipeHead{pipe, status, {{"retry-after", "2.5"}}}, now, effects);
    list_pipe(state, limits, dialect, numbers, PipeBytes{pipe, body}, now, effects);
    complete = list_pipe(state, limits, dialect, numbers, PipeEnded{pipe, whole, true, ""}, now, effects);
    return opened(effects);
  }
  static std::optional<OpenPipe> opened(const Effects& effects) {
    for (const auto& effect : effects)
      if (const auto* pipe = std::get_if<OpenPipe>(&effect)) return *pipe;
    return std::nullopt;
  }
  ListState state;
  Limits limits;
  Dialect dialect = list_dialect();
  PipeNumbers numbers;
  bool complete = false;
};

std::string unit_text(const std::string& identity, const std::string& condition) {
  return R"({"plant":"s","address":"10.1.0.9:1","zone":"a","capacity":64,"condition":")" + condition +
         R"(","warmup_ms":0,"phase":"both","models":[{"label":"m","revision":2,"adapters":["a3"]}],"ident":")" +
         identity + R"("})";
}

}  // namespace

TEST_CASE("the list is whole only with all its pages, and a failed ask keeps the last one") {
  ListAsker asker;
  const auto first = asker.tick(1000);
  REQUIRE(first);
  CHECK(first->path == "/units");
  const auto second =
      asker.answer(200, R"({"units":[)" + unit_text("i-2", "ready") + R"(],"next_token":"p/50"})", 1010);
  REQUIRE(second);
  CHECK(second->path == "/units?page_token=p%2F50");
  CHECK_FALSE(asker.complete);
  asker.answer(200, R"({"units":[{"ident":""},)" + unit_text("i-1", "draining") + R"(],"next_token":null})", 1020);
  CHECK(asker.complete);
  REQUIRE(asker.state.workers.size() == 2);
  CHECK(asker.state.workers[0].identity() == "i-1");
  CHECK(asker.state.workers[0].draining());
  CHECK_FALSE(asker.state.workers[1].draining());
  CHECK(asker.state.workers[1].models(0).adapters(0) == "a3");
  CHECK(asker.state.asked == 1000);

  CHECK_FALSE(asker.tick(1899));
  REQUIRE(asker.tick(1900));
  asker.answer(429, "", 1910);
  CHECK_FALSE(asker.tick(4409));
  REQUIRE(asker.tick(4410));
  asker.answer(200, R"({"units":7})", 4420);
  CHECK_FALSE(asker.complete);
  CHECK(asker.state.workers.size() == 2);
  CHECK_FALSE(asker.tick(5400));
  REQUIRE(asker.tick(9000));
  asker.answer(200, R"({"units":[]})", 9010, false);
  CHECK(asker.state.workers.size() == 2);
  REQUIRE(asker.tick(20000));
  asker.answer(200, R"({"units":[],"next_token":null})", 20010);
  CHECK(asker.complete);
  CHECK(asker.state.workers.empty());
}

namespace {

struct Pair {
  Pair() {
    keeper_member.self.set_node(1);
    wire::Member data;
    data.set_node(2);
    data.set_address("dp");
    data.set_state(static_cast<std::uint32_t>(MemberPhase::alive));
    data.set_program(static_cast<std::uint32_t>(Program::data));
    keeper_member.others[2] = {data, 0, 0};
    fleet_begin(keeper, 7);
  }
  /// Sets the workers, and carries the news over unless it is lost; true when the data node saw a change.
  bool set(std::vector<wire::WorkerEntry> workers, Moment now, bool lost = false) {
    Effects effects;
    fleet_set(keeper, std::move(workers), now, keeper_member, now, effects);
    return !lost && carry(effects, now);
  }
  bool carry(const Effects& effects, Moment now) {
    bool changed = false;
    for (const auto& effect : effects) {
      const auto& view = std::get<SendMessage>(effect).envelope.fleet();
      sent += view.workers_size();
      changed |= fleet_take(known, view, now);
    }
    return changed;
  }
  MemberState keeper_member;
  FleetKeeper keeper;
  FleetKnown known;
  int sent = 0;
};

wire::WorkerEntry worker(const std::string& identity, bool draining, std::uint64_t remaining = 0) {
  wire::WorkerEntry entry;
  entry.set_identity(identity);
  entry.set_draining(draining);
  entry.set_remaining_ms(remaining);
  return entry;
}

}  // namespace

TEST_CASE("a data node follows the view by differences, and asks for the whole when it missed one") {
  Pair pair;
  CHECK(pair.set({worker("a", false), worker("b", false), worker("c", false)}, 1000));
  CHECK(pair.sent == 3);
  CHECK(pair.set({worker("a", false), worker("b", true, 2000)}, 2000));
  CHECK(pair.sent == 4);
  REQUIRE(pair.known.workers.size() == 2);
  REQUIRE(pair.known.workers.find("b") != nullptr);
  CHECK(pair.known.workers.find("b")->draining());
  CHECK_FALSE(pair.set({worker("a", false), worker("b", true, 1500)}, 2500));
  Effects beat;
  fleet_beat(pair.keeper, pair.keeper_member, 2600, beat);
  CHECK_FALSE(pair.carry(beat, 2600));
  CHECK(pair.known.as_of == 2500);
  CHECK(pair.known.workers.find("b")->remaining_ms() == 1500);

  CHECK_FALSE(pair.set({worker("a", true)}, 3000, true));
  CHECK_FALSE(pair.known.behind);
  CHECK_FALSE(pair.set({worker("a", true), worker("d", false)}, 3100));
  CHECK(pair.known.behind);
  auto ask = member_envelope(pair.keeper_member, 1);
  ask.set_from(2);
  ask.mutable_fleet_ask()->set_term(pair.known.term);
  ask.mutable_fleet_ask()->set_version(pair.known.version);
  Effects answer;
  fleet_asked(pair.keeper, ask, pair.keeper_member, 3200, answer);
  CHECK(pair.carry(answer, 3200));
  CHECK_FALSE(pair.known.behind);
  REQUIRE(pair.known.workers.size() == 2);
  REQUIRE(pair.known.workers.find("a") != nullptr);
  CHECK(pair.known.workers.find("a")->draining());
  auto old = pair.known;
  wire::FleetView late;
  late.set_term(6);
  late.set_version(99);
  CHECK_FALSE(fleet_take(pair.known, late, 3300));
  CHECK(pair.known.workers.size() == old.workers.size());
}

TEST_CASE("a view that waited doesn't replace a newer list that the node asked the platform for", "[placing]") {
  Pair pair;
  CHECK(pair.set({worker("a", false)}, 1000));
  wire::FleetView waited;
  waited.set_term(7);
  waited.set_version(2);
  *waited.add_workers() = worker("a", false);
  REQUIRE(fleet_take_list(pair.known, {worker("b", false), worker("c", false)}, 5000));
  waited.set_age_ms(4000);
  CHECK_FALSE(fleet_take(pair.known, waited, 6000));
  CHECK(pair.known.workers.size() == 2);
  CHECK(pair.known.as_of == 5000);
  // What is older than the list here isn't worth an ask.
  wire::FleetView beat = waited;
  beat.clear_workers();
  beat.set_same(true);
  CHECK_FALSE(fleet_take(pair.known, beat, 6100));
  CHECK_FALSE(pair.known.behind);
  beat.set_age_ms(1000);
  CHECK_FALSE(fleet_take(pair.known, beat, 6100));
  CHECK(pair.known.behind);
  waited.set_age_ms(900);
  CHECK(fleet_take(pair.known, waited, 6200));
  CHECK(pair.known.workers.size() == 1);
  CHECK_FALSE(pair.known.behind);
  CHECK_FALSE(fleet_take_list(pair.known, {}, 5200));
  CHECK(pair.known.workers.size() == 1);
}

TEST_CASE("a holder's failed ask is tried again soon, unless it was told to slow down", "[placing]") {
  ListAsker asker;
  asker.state.retry = asker.state.pace / 4;
  REQUIRE(asker.tick(2000));
  Effects effects;
  list_pipe(asker.state, asker.limits, asker.dialect, asker.numbers, PipeEnded{asker.state.pipe, false, true, ""}, 2010,
            effects);
  CHECK(asker.state.next_ask == 2010 + 225);
  REQUIRE(asker.tick(2235));
  list_pipe(asker.state, asker.limits, asker.dialect, asker.numbers, PipeEnded{asker.state.pipe, false, true, ""}, 2240,
            effects);
  CHECK(asker.state.next_ask == 2240 + 450);
  REQUIRE(asker.tick(2690));
  const auto pipe = asker.state.pipe;
  list_pipe(asker.state, asker.limits, asker.dialect, asker.numbers, PipeHead{pipe, 429, {}}, 2700, effects);
  list_pipe(asker.state, asker.limits, asker.dialect, asker.numbers, PipeEnded{pipe, true, true, ""}, 2700, effects);
  CHECK(asker.state.next_ask >= 2700 + 900);
}

TEST_CASE("the list of workers is read before what workers answer", "[placing]") {
  ControlState state = make_control({});
  state.placing.list.pipe = 7;
  CHECK_FALSE(may_wait(state, PipeHead{7, 200, {}}));
  CHECK_FALSE(may_wait(state, PipeBytes{7, "x"}));
  CHECK_FALSE(may_wait(state, PipeEnded{7, true, true, ""}));
  CHECK(may_wait(state, PipeHead{8, 200, {}}));
  CHECK(may_wait(state, PipeBytes{8, "x"}));
  CHECK(may_wait(state, PipeEnded{8, true, true, ""}));
  CHECK_FALSE(may_wait(state, Ticked{1}));
}
