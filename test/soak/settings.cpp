#include <algorithm>
#include <fstream>

#include "core/json.hpp"
#include "soakrun.hpp"

/// The settings that a deployment gives its processes. Addresses that the files would derive from a machine's own are
/// given on the command line, as here all processes share one machine.
namespace weldsail::soak {
namespace {

constexpr Moment contact = 3000;
constexpr std::size_t machines_lost = 2;
/// Named by the files but not used, since flags name the addresses.
constexpr std::size_t first_port = 7660;

/// Takes a flag and its value out of the arguments.
void drop_flag(std::vector<std::string>& arguments, const std::string& name) {
  const auto found = std::ranges::find(arguments, name);
  if (found != arguments.end()) arguments.erase(found, found + 2);
}

std::string settings_text(const RealFleet& fleet, const Child& child, const std::string& list, bool first_start) {
  JsonText text;
  text.object().field("ip", "127.0.0.1").field("zone", "z").truth("first_start", first_start);
  if (child.aside.empty()) text.field("data_dir", child.folder);
  text.key("endpoints").object();
  if (child.aside.empty())
    text.field("control", child.callers);
  else
    text.field("front", child.callers).field("ready", child.aside);
  text.close().key("port_range").array();
  text.out().Uint64(first_port);
  text.out().Uint64(first_port + 1);
  text.end().key("seeds").array();
  for (const auto& control : fleet.controls) text.item(control.callers);
  text.end().key("tolerance").object().number("machines", machines_lost).close();
  text.key("provider_api").object().field("address", list).close();
  text.key("bounds").object().number("contact_ms", static_cast<std::uint64_t>(contact)).close().close();
  return text.text();
}

}  // namespace

void Run::deploy(Child& child) {
  // The core forms as the settings say: the seeds found it, and it grows.
  drop_flag(child.arguments, "--core-size");
  child.arguments.emplace_back("--log-level");
  child.arguments.emplace_back("info");
  if (child.folder.empty()) {
    child.aside = free_address();
    child.arguments.emplace_back("--aside");
    child.arguments.push_back(child.aside);
  }
  write_settings(child, true);
}

std::string Run::settings_path(const Child& child) const { return fleet_.folder() + "/" + child.name + ".json"; }

void Run::write_settings(const Child& child, bool first_start) const {
  std::ofstream(settings_path(child)) << settings_text(fleet_, child, list_.address(), first_start);
}

void Run::write_settings(bool first_start) const {
  for (const auto* group : {&fleet_.controls, &fleet_.datas})
    for (const auto& child : *group) write_settings(child, first_start);
}

}  // namespace weldsail::soak
