#include "core/operations/metricstext.hpp"

#include "unit/metricsreader.hpp"

using namespace weldsail;
using namespace weldsail::unit;

TEST_CASE("metrics are written as the exposition format says, and a reader gets back what was written", "[metrics]") {
  const std::string odd = "a\\b\"c\nd{},= \xc3\xa4";
  MetricsText text;
  text.counter("first_total", "Backslash \\ and\nline feed, \"quotes\" stay.")
      .sample(7, {{"odd", odd}, {"plain", "x"}});
  text.gauge("empty", "Has no samples.");
  text.gauge("second", "Two samples.").sample(18446744073709551615ULL).sample(0, {{"side", ""}});
  text.gauge("third", "Time.").seconds(1234, {{"at", "a"}}).seconds(-50, {{"at", "b"}}).seconds(60000, {{"at", "c"}});
  CHECK(text.text() ==
        "# HELP weldsail_first_total Backslash \\\\ and\\nline feed, \"quotes\" stay.\n"
        "# TYPE weldsail_first_total counter\n"
        "weldsail_first_total{odd=\"a\\\\b\\\"c\\nd{},= \xc3\xa4\",plain=\"x\"} 7\n"
        "# HELP weldsail_second Two samples.\n"
        "# TYPE weldsail_second gauge\n"
        "weldsail_second 18446744073709551615\n"
        "weldsail_second{side=\"\"} 0\n"
        "# HELP weldsail_third Time.\n"
        "# TYPE weldsail_third gauge\n"
        "weldsail_third{at=\"a\"} 1.234\n"
        "weldsail_third{at=\"b\"} -0.050\n"
        "weldsail_third{at=\"c\"} 60.000\n");
  const MetricsReader figures(text.text());
  CHECK(figures.at("weldsail_first_total", {{"odd", odd}, {"plain", "x"}}) == 7);
  CHECK(figures.families.at("weldsail_first_total").help == "Backslash \\ and\nline feed, \"quotes\" stay.");
  CHECK(figures.at("weldsail_third", {{"at", "b"}}) == Approx(-0.05));
  CHECK(figures.families.size() == 3);
}
