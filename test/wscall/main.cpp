#include <tclap/CmdLine.h>

#include <iostream>

#include "shell/options.hpp"
#include "tools/load.hpp"

int main(int count, char** arguments) {
  TCLAP::CmdLine line("wscall: bounded load from stand-in callers", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> nodes("", "nodes", "callers' addresses of data nodes", true, "", "list", line);
  TCLAP::ValueArg<std::string> streams("", "streams", "paths of stream routes", false, "", "list", line);
  TCLAP::ValueArg<std::string> calls("", "calls", "paths of call routes", false, "", "list", line);
  TCLAP::ValueArg<double> stream_rate("", "streams-per-s", "streams a second", false, 5, "rate", line);
  TCLAP::ValueArg<double> call_rate("", "calls-per-s", "calls a second", false, 10, "rate", line);
  TCLAP::ValueArg<std::int64_t> length("", "length-ms", "how long to ask", false, 10000, "ms", line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the choices", false, 1, "seed", line);
  line.parse(count, arguments);
  weldsail::LoadPlan plan;
  plan.nodes = weldsail::options_list(nodes.getValue());
  plan.streams = weldsail::options_list(streams.getValue());
  plan.calls = weldsail::options_list(calls.getValue());
  plan.streams_per_s = std::min(stream_rate.getValue(), 500.0);
  plan.calls_per_s = std::min(call_rate.getValue(), 500.0);
  plan.length_ms = std::min<std::int64_t>(length.getValue(), 600000);
  plan.seed = seed.getValue();
  weldsail::Loop loop;
  weldsail::Load load(loop, plan);
  while (load.tick(weldsail::monotonic_now())) loop.step(2);
  for (const auto& [outcome, number] : load.figures.outcomes) std::cout << outcome << "=" << number << " ";
  std::cout << "faults=" << load.figures.faults
            << " first_piece_p50_ms=" << weldsail::percentile(load.figures.first_piece_ms, 0.5)
            << " call_p50_ms=" << weldsail::percentile(load.figures.call_ms, 0.5) << "\n";
  return load.figures.faults == 0 ? 0 : 1;
}
