#include "core/configuration/paths.hpp"

#include <algorithm>
#include <set>

namespace weldsail {

PathIndex::PathIndex(const PathConfig& config) {
  for (std::size_t place = 0; place < config.routes.size(); ++place)
    hosts_[config.routes[place].host][config.routes[place].prefix] = place;
}

std::optional<std::size_t> PathIndex::find(const std::string& host, const std::string& path) const {
  const auto prefixes = hosts_.find(host);
  if (prefixes == hosts_.end()) return std::nullopt;
  for (auto end = path.rfind('/'); end != std::string::npos;
       end = end == 0 ? std::string::npos : path.rfind('/', end - 1)) {
    const auto found = prefixes->second.find(path.substr(0, end + 1));
    if (found != prefixes->second.end()) return found->second;
  }
  return std::nullopt;
}

void check_paths(const PathConfig& config, std::vector<Fault>& faults) {
  std::set<std::pair<std::string, std::string>> places;
  std::set<std::string> names;
  if (config.revision == 0) faults.push_back({"/revision", "must be above 0"});
  if (config.tenants) check_tenants(*config.tenants, "/tenants", faults);
  for (std::size_t place = 0; place < config.routes.size(); ++place) {
    const auto& route = config.routes[place];
    const auto pointer = "/routes/" + std::to_string(place);
    if (!names.insert(route.name).second) faults.push_back({pointer, "has the name of another route"});
    if (!places.emplace(route.host, route.prefix).second)
      faults.push_back({pointer, "has host and prefix of another route"});
    if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/')
      faults.push_back({pointer, "has a prefix that doesn't begin and end with a slash"});
    if (route.due <= 0) faults.push_back({pointer, "has no time in which to be answered"});
    double weight = 0;
    for (const auto& share : route.shares) {
      if (!config.services.contains(share.service)) faults.push_back({pointer, "names a service that is unknown"});
      if (share.weight < 0) faults.push_back({pointer, "has a weight below 0"});
      weight += share.weight;
    }
    if (!(weight > 0)) faults.push_back({pointer, "has weights that add up to 0"});
  }
}

}  // namespace weldsail
