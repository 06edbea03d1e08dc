#include <fstream>

#include "core/operations/metrics.hpp"
#include "unit/metricsreader.hpp"
#include "unit/pathbench.hpp"

using namespace weldsail;
using namespace weldsail::unit;

TEST_CASE("each metric stands on the page of metrics", "[metrics]") {
  std::ifstream file(std::string(WELDSAIL_RUNBOOKS) + "/../docs/operating-metrics.md");
  std::stringstream page;
  page << file.rdbuf();
  PathBench bench;
  ControlOptions options;
  options.dialect = &platform_dialect();
  const auto control = make_control(options);
  for (const auto& text : {data_metrics_text(bench.state, bench.now), control_metrics_text(control, 1000),
                           control_metrics_text(make_control({}), 1000)})
    for (const auto& [name, family] : MetricsReader(text).families) {
      CAPTURE(name);
      CHECK(page.str().find("`" + name.substr(std::string("weldsail_").size()) + "`") != std::string::npos);
    }
}
