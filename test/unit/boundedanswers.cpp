#include "core/configuration/news.hpp"
#include "core/placement/command.hpp"
#include "core/placement/workerlist.hpp"
#include "unit/pathbench.hpp"

/// What is read of one answer from outside, and what is sent to a starting node, is bounded.
using namespace weldsail;

namespace {

constexpr std::size_t piece_bytes = 64U << 10U;

std::size_t cancelled(const Effects& effects, std::uint64_t pipe) {
  return static_cast<std::size_t>(std::ranges::count_if(effects, [&](const Effect& effect) {
    const auto* item = std::get_if<CancelPipe>(&effect);
    return item != nullptr && item->pipe == pipe;
  }));
}

/// The platform's list as the holder of the placement asks for it.
struct ListBench {
  ListBench() {
    limits.list_address = "10.0.0.1:80";
    state.pace = 900;
  }
  void ask() { list_tick(state, limits, platform_dialect(), numbers, now, effects); }
  bool happen(const Event& event) { return list_pipe(state, limits, platform_dialect(), numbers, event, now, effects); }
  /// Answers the open ask; true when that made the list whole.
  bool answer(const std::string& body) {
    const auto pipe = state.pipe;
    happen(PipeHead{pipe, 200, {}});
    for (std::size_t place = 0; place < body.size() && state.pipe == pipe; place += piece_bytes)
      happen(PipeBytes{pipe, body.substr(place, piece_bytes)});
    return state.pipe == pipe && happen(PipeEnded{pipe, true, true, ""});
  }
  ListState state;
  Limits limits;
  PipeNumbers numbers;
  Effects effects;
  Moment now = 1000;
};

std::string page_of(const std::string& identity, const std::string& next, std::size_t padding) {
  return R"({"units":[{"plant":"s","address":"10.1.0.9:1","zone":"a","capacity":64,"condition":"ready","ident":")" +
         identity + R"("}],"next_token":)" + (next.empty() ? "null" : "\"" + next + "\"") + ",\"note\":\"" +
         std::string(padding, 'x') + "\"}";
}

}  // namespace

TEST_CASE("a page of the platform's list that is too long is refused and counted, and the last list stays") {
  ListBench bench;
  bench.ask();
  REQUIRE(bench.answer(page_of("i-1", "", 100)));
  bench.now += 1000;
  bench.ask();
  const auto pipe = bench.state.pipe;
  REQUIRE(pipe != 0);
  CHECK_FALSE(bench.answer(page_of("i-2", "", 9U << 20U)));
  CHECK(cancelled(bench.effects, pipe) == 1);
  CHECK(bench.state.too_large == 1);
  CHECK(bench.state.pipe == 0);
  CHECK(bench.state.body.empty());
  REQUIRE(bench.state.workers.size() == 1);
  CHECK(bench.state.workers.front().identity() == "i-1");
  // It is asked for again, after a pause, and a sound answer is taken.
  bench.ask();
  CHECK(bench.state.pipe == 0);
  bench.now += 10000;
  bench.ask();
  REQUIRE(bench.answer(page_of("i-3", "", 7U << 20U)));
  CHECK(bench.state.workers.front().identity() == "i-3");
  CHECK(bench.state.too_large == 1);
}

TEST_CASE("a list that goes on for ever is refused and counted, though each page is short enough") {
  ListBench bench;
  bench.ask();
  std::size_t pages = 0;
  while (bench.state.pipe != 0 && pages < 100) {
    bench.answer(page_of("i-" + std::to_string(pages), "more", 7U << 20U));
    ++pages;
  }
  CHECK(pages <= 5);
  CHECK(bench.state.too_large == 1);
  CHECK(bench.state.gathered.empty());
  CHECK_FALSE(bench.state.known);
}

TEST_CASE("a worker's report that is too long is refused and counted, and the next one is read") {
  PathConfig paths;
  paths.services["s"].name = "s";
  Limits limits;
  PipeNumbers numbers;
  CommandState state;
  Moment now = 100000;
  Effects effects;
  const auto context = [&] { return CommandContext{paths, platform_dialect(), limits, numbers, now}; };
  auto& book = state.books["i-1"];
  book.entry.set_identity("i-1");
  book.entry.set_service("s");
  book.entry.set_address("10.1.0.9:1");
  const std::string report = R"({"models":[],"saturated":false,"sequence":4,"queued":0,"active":3,"note":")";
  command_probe(state, book, context(), effects);
  const auto pipe = book.pipe;
  REQUIRE(pipe != 0);
  command_pipe(state, PipeHead{pipe, 200, {}}, context(), effects);
  command_pipe(state, PipeBytes{pipe, report}, context(), effects);
  std::size_t bytes = 0;
  for (; bytes < (4U << 20U) && book.pipe != 0; bytes += piece_bytes)
    command_pipe(state, PipeBytes{pipe, std::string(piece_bytes, 'x')}, context(), effects);
  CHECK(bytes <= (1U << 20U) + piece_bytes);
  CHECK(cancelled(effects, pipe) == 1);
  CHECK(state.reports_too_large == 1);
  CHECK(state.pipes.empty());
  CHECK(book.next_word > now);
  CHECK_FALSE(book.orders_taken);
  now = book.next_word + 10000;
  command_probe(state, book, context(), effects);
  const auto second = book.pipe;
  REQUIRE(second != 0);
  command_pipe(state, PipeHead{second, 200, {}}, context(), effects);
  command_pipe(state, PipeBytes{second, report + "\"}"}, context(), effects);
  command_pipe(state, PipeEnded{second, true, true, ""}, context(), effects);
  CHECK(book.orders_taken == 4);
  CHECK(book.running == 3);
  CHECK(state.reports_too_large == 1);
}

TEST_CASE("the product's own list and status documents that are too long are refused and counted") {
  Effects effects;
  PipeNumbers numbers;
  PlatformState platform;
  platform.address = "10.0.0.1:80";
  platform_tick(platform, numbers, 1000, effects);
  const auto list_pipe_number = platform.pipe;
  REQUIRE(list_pipe_number != 0);
  for (std::size_t bytes = 0; bytes < (12U << 20U) && platform.pipe != 0; bytes += piece_bytes)
    platform_pipe(platform, PipeBytes{list_pipe_number, std::string(piece_bytes, ' ')}, 1000, effects);
  CHECK(platform.too_large == 1);
  CHECK(platform.pipe == 0);
  CHECK(cancelled(effects, list_pipe_number) == 1);

  WorkerWatch watch;
  watch_set(watch, {{"w1", "s"}}, effects);
  watch_tick(watch, numbers, 1000, effects);
  const auto status_pipe = watch.views.at("w1").pipe;
  REQUIRE(status_pipe != 0);
  watch_pipe(watch, PipeHead{status_pipe, 200, {}}, effects);
  for (std::size_t bytes = 0; bytes < (3U << 20U) && watch.views.at("w1").pipe != 0; bytes += piece_bytes)
    watch_pipe(watch, PipeBytes{status_pipe, std::string(piece_bytes, ' ')}, effects);
  CHECK(watch.too_large == 1);
  CHECK(watch.pipes.empty());
  CHECK(cancelled(effects, status_pipe) == 1);
  CHECK_FALSE(worker_usable(watch, watch.views.at("w1"), 1000));
}

namespace {

/// A core process that has two small values.
struct FirstNews {
  FirstNews() {
    for (const auto* key : {config_key, core_key}) {
      auto& value = news.values[key];
      value.set_key(key);
      value.set_epoch(4097);
      value.set_version(5);
      value.set_value(std::string(9000, 'x'));
    }
    acceptor.copies[config_key].version = 6;
  }
  wire::News answer(std::uint64_t config_known, bool takes_parts = true) {
    wire::Envelope ask;
    ask.set_from(7);
    ask.set_address("d1");
    ask.mutable_news_ask()->set_first(true);
    ask.mutable_news_ask()->set_takes_parts(takes_parts);
    if (config_known != 0) {
      auto* known = ask.mutable_news_ask()->add_known();
      known->set_key(config_key);
      known->set_epoch(4097);
      known->set_version(config_known);
    }
    Effects effects;
    news_answer_first(news, acceptor, member, core, ask, 1000, effects);
    REQUIRE(effects.size() == 1);
    return std::get<SendMessage>(effects.front()).envelope.news();
  }
  static bool has(const wire::News& news, const std::string& key) {
    return std::ranges::find(news.values(), key, &wire::RegisterValue::key) != news.values().end();
  }
  NewsState news;
  AcceptorState acceptor;
  MemberState member;
  wire::Core core;
};

}  // namespace

TEST_CASE("a starting node is sent what it doesn't name, and always what the disk has accepted") {
  FirstNews first;
  for (const std::uint64_t known : {0, 4, 5, 6}) {
    CAPTURE(known);
    const auto news = first.answer(known);
    CHECK(FirstNews::has(news, config_key) == (known < 5));
    CHECK(FirstNews::has(news, core_key));
    REQUIRE(news.accepted_size() == 1);
    CHECK(news.accepted(0).version() == 6);
    CHECK(news.has_core());
    // A former release is sent all, whatever it names.
    CHECK(FirstNews::has(first.answer(known, false), config_key));
  }
  CHECK(first.answer(5).ByteSizeLong() < 9200);
}
