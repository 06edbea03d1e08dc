#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "tools/back.hpp"

namespace {

/// Callers of all runs that were begun, a line each; the file outlives the process and is added to by the next.
class RunFile {
 public:
  explicit RunFile(const std::string& path) {
    if (!path.empty()) file_.open(path, std::ios::app);
  }
  void write(weldsail::Back& back) {
    if (!file_.is_open()) return;
    written_.resize(back.workers().size());
    for (std::size_t place = 0; place < written_.size(); ++place) {
      const auto& runs = back.workers()[place]->model().runs();
      for (auto& next = written_[place]; next < runs.size(); ++next) file_ << runs[next].caller << "\n";
    }
    file_.flush();
  }

 private:
  std::ofstream file_;
  std::vector<std::size_t> written_;
};

}  // namespace

int main(int count, char** arguments) {
  TCLAP::CmdLine line("wsback: stand-in workers, store and platform", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> plan("", "plan", "JSON plan", true, "", "file", line);
  TCLAP::ValueArg<std::string> runs("", "runs", "file to which the caller of each run is written as it begins", false,
                                    "", "file", line);
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
  RunFile run_file(runs.getValue());
  alarm.fired.connect([&] {
    // Before the tick: no answer leaves before its run is on file.
    run_file.write(**back);
    (*back)->tick(weldsail::monotonic_now());
  });
  loop.run();
  return 0;
}
