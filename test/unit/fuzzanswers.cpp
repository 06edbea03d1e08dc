#include <catch2/catch.hpp>

#include <map>

#include "shell/responsereader.hpp"
#include "unit/answerscripts.hpp"
#include "unit/referenceresponse.hpp"

using namespace weldsail;
using End = ReferenceResponse::End;

namespace {

constexpr std::uint64_t seeds = 4;
constexpr int readings_per_seed = 8000;

/// What the reader under test makes of a text that comes in pieces.
struct Reading {
  ReadState state = ReadState::more;
  std::optional<ResponseHead> head;
  std::string body;
  std::size_t surplus = 0;
};

Reading read_in_pieces(const std::string& text, bool head_request, sim::Chance& chance) {
  ResponseReader reader(head_request);
  Reading reading;
  std::string input;
  for (std::size_t place = 0; place < text.size() && reading.state == ReadState::more;) {
    const auto count = std::min<std::size_t>(text.size() - place, 1 + chance.below(chance.happens(0.5) ? 4 : 80));
    input.append(text, place, count);
    place += count;
    std::string_view bytes(input);
    reading.state = reader.take(bytes);
    input.erase(0, input.size() - bytes.size());
    if (auto head = reader.take_head()) reading.head = std::move(head);
    reading.body += reader.take_body();
    reading.surplus = input.size() + text.size() - place;
  }
  return reading;
}

End end_of(ReadState state) {
  if (state == ReadState::more) return End::incomplete;
  return state == ReadState::whole ? End::whole : End::broken;
}

}  // namespace

TEST_CASE("the reader of answers agrees with a plain reading, however the bytes are cut", "[fuzz.answers]") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 1 + seeds));
  sim::Chance chance(seed);
  std::map<End, int> ends;
  for (int turn = 0; turn < readings_per_seed; ++turn) {
    const bool head_request = chance.happens(0.1);
    const auto text = any_answer("answer-" + std::to_string(turn), chance);
    const auto expected = ReferenceReader(text, head_request).read();
    const auto reading = read_in_pieces(text, head_request, chance);
    ++ends[expected.end];
    const bool agrees = end_of(reading.state) == expected.end && reading.body == expected.body &&
                        (reading.head ? reading.head->status : 0) == expected.status &&
                        (expected.end != End::whole ||
                         (reading.surplus == expected.surplus && reading.head->keep_alive == expected.keep_alive));
    if (agrees) continue;
    CAPTURE(seed, turn, text, head_request, reading.body, expected.body, reading.surplus, expected.surplus);
    CHECK(static_cast<int>(end_of(reading.state)) == static_cast<int>(expected.end));
    FAIL("the readings differ");
  }
  for (const auto end : {End::whole, End::broken, End::incomplete}) CHECK(ends[end] > readings_per_seed / 20);
}

TEST_CASE("what goes on without an end is broken off before it takes much memory", "[fuzz.answers]") {
  const std::string line = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = line + "transfer-encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> endless{
      {line, "a: b\r\n"},        {line + "a: ", "b"},  {"HTTP/1.1 200 ", "b"},
      {chunked + "1;", "x"},     {chunked + "0", "0"}, {chunked + "0\r\n", "a: b\r\n"},
      {chunked + "0\r\na:", "b"}};
  for (const auto& [begin, again] : endless) {
    CAPTURE(begin, again);
    ResponseReader reader(false);
    std::string input = begin;
    auto state = ReadState::more;
    std::size_t said = 0;
    for (; state == ReadState::more && said < 4 * response_head_most; said += again.size()) {
      input += again;
      std::string_view bytes(input);
      state = reader.take(bytes);
      input.erase(0, input.size() - bytes.size());
      CHECK(reader.take_body().empty());
    }
    CHECK(state == ReadState::broken);
    CHECK(input.size() <= response_head_most + line.size() + again.size());
  }
  // Interim heads may go on for as long as the request has time, but nothing of them is kept.
  ResponseReader reader(false);
  for (int turn = 0; turn < 10000; ++turn) {
    std::string_view bytes = "HTTP/1.1 100 Continue\r\na: b\r\n\r\n";
    REQUIRE(reader.take(bytes) == ReadState::more);
    REQUIRE(bytes.empty());
  }
}
