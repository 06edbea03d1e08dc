#include <catch2/catch.hpp>

#include "core/forwarding/paths/lengths.hpp"

using weldsail::AnswerLengths;

TEST_CASE("how long an answer may take is told once some were seen, by what it may produce, and from the last ones",
          "[carry]") {
  AnswerLengths lengths;
  for (int count = 0; count < 7; ++count) lengths.add({100, 500, 100});
  CHECK_FALSE(lengths.longest(100));
  lengths.add({100, 500, 100});
  CHECK(lengths.longest(100) == 600);
  CHECK(lengths.longest(200) == 1100);
  // One that names no limit is as long as the longest of its kind.
  CHECK(lengths.longest(0) == 600);
  for (int count = 0; count < 64; ++count) lengths.add({20, 10, 100});
  CHECK(lengths.longest(1000) == 120);
  CHECK(lengths.longest(0) == 30);
}

TEST_CASE("an answer that ended early tells nothing of how long one that produces all may take", "[carry]") {
  AnswerLengths lengths;
  for (int count = 0; count < 40; ++count) lengths.add({100, 60, 10});
  CHECK(lengths.longest(1000) == 6100);
  // Nor do answers without a token after the first event: with fewer than eight others the pace isn't known.
  for (int count = 0; count < 56; ++count) lengths.add({100, 0, 0});
  CHECK(lengths.longest(1000) == 6100);
  lengths.add({100, 0, 0});
  CHECK_FALSE(lengths.longest(1000));
  // Seven of sixty-four still have a rest.
  CHECK(lengths.longest(0) == 160);
}

TEST_CASE("nearly all answers are no slower than is told, and one that was far slower doesn't decide", "[carry]") {
  AnswerLengths lengths;
  lengths.add({90000, 0, 0});
  for (int count = 1; count <= 60; ++count) lengths.add({count, 0, 0});
  const auto longest = lengths.longest(0);
  REQUIRE(longest);
  CHECK(*longest >= 57);
  CHECK(*longest <= 60);
}
