#pragma once
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace weldsail {

struct Fault;

/// A tenant as far as its callers' requests need it. Its keys are kept as hashes only.
struct Tenant {
  std::string name;
  /// Goes before the route's own; 0 goes first.
  std::optional<int> urgency;
  std::vector<std::string> key_hashes;
};

/// What is kept of a key that a tenant has or a caller sends.
std::string hash_key(const std::string& key);

/// Finds the tenant that has a key.
class KeyIndex {
 public:
  KeyIndex() = default;
  explicit KeyIndex(const std::vector<Tenant>& tenants);
  /// Place in the list of tenants, or nothing.
  std::optional<std::size_t> find(const std::string& key_hash) const;

 private:
  std::unordered_map<std::string, std::size_t> places_;
};

/// Faults that any list of tenants may have: names that are missing, doubled or unfit for a header, and keys of two
/// tenants. No fault tells a key.
void check_tenants(const std::vector<Tenant>& tenants, const std::string& pointer, std::vector<Fault>& faults);

}  // namespace weldsail
