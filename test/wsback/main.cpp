#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "tools/back.hpp"

int main(int count, char** arguments) {
  TCLAP::CmdLine line("wsback: stand-in workers, store and platform", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> plan("", "plan", "JSON plan", true, "", "file", line);
  line.parse(count, arguments);
  std::ifstream file(plan.getValue());
  std::stringstream text;
  text << file.rdbuf();
  weldsail::Loop loop;
  auto back = weldsail::read_back(loop, text.str());
  if (!back) {
    std::cerr << "wsback: plan: " << back.error().message() << "\n";
    return 2;
  }
  if (const auto cause = (*back)->listen()) {
    std::cerr << "wsback: " << cause.message() << "\n";
    return 3;
  }
  weldsail::Interrupts interrupts(loop);
  interrupts.raised.connect([&] { loop.stop(); });
  weldsail::Alarm alarm(loop, 5);
  alarm.fired.connect([&] { (*back)->tick(weldsail::monotonic_now()); });
  loop.run();
  return 0;
}
