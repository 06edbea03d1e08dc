#pragma once
#include <map>
#include <string>

#include "core/membership/member.hpp"

namespace weldsail {

/// Data nodes beyond which relays stand between them and the placement's holder.
inline constexpr std::size_t nodes_without_relays = 100;

/// Which control process tells the data nodes of a locality what the placement's holder knows. Everyone chooses alike
/// from the members as they are known here: none in a small fleet, and none where the holder has the locality itself.
class Relays {
 public:
  explicit Relays(const MemberState& member);
  /// The relay of a locality; null where data nodes there and the holder talk to each other.
  const wire::Member* of(const std::string& locality);
  /// The holder, or null.
  const wire::Member* holder() const { return holder_; }

 private:
  const wire::Member* choose(const std::string& locality) const;

  const MemberState& member_;
  const wire::Member* holder_;
  bool used_;
  std::map<std::string, const wire::Member*> chosen_;
};

}  // namespace weldsail
