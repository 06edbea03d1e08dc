#include "core/configuration/tenants.hpp"

#include <set>

#include "core/configuration/config.hpp"
#include "core/hash.hpp"
#include "core/json.hpp"

namespace weldsail {

std::string hash_key(const std::string& key) { return sha256(key); }

KeyIndex::KeyIndex(const std::vector<Tenant>& tenants) {
  for (std::size_t place = 0; place < tenants.size(); ++place)
    for (const auto& hash : tenants[place].key_hashes) places_.emplace(hash, place);
}

std::optional<std::size_t> KeyIndex::find(const std::string& key_hash) const {
  const auto found = places_.find(key_hash);
  return found == places_.end() ? std::nullopt : std::optional(found->second);
}

void check_tenants(const std::vector<Tenant>& tenants, const std::string& pointer, std::vector<Fault>& faults) {
  std::set<std::string> names;
  std::unordered_map<std::string, std::size_t> owners;
  for (std::size_t place = 0; place < tenants.size(); ++place) {
    const auto& tenant = tenants[place];
    const auto where = pointer + "/" + std::to_string(place);
    if (tenant.name.empty() || !plain_text(tenant.name)) faults.push_back({where, "has no name that fits a header"});
    if (!names.insert(tenant.name).second) faults.push_back({where, "has the name of another tenant"});
    for (const auto& hash : tenant.key_hashes) {
      const auto [owner, first] = owners.emplace(hash, place);
      if (!first && owner->second != place)
        faults.push_back({where, "has a key of tenant " + std::to_string(owner->second)});
    }
  }
}

}  // namespace weldsail
