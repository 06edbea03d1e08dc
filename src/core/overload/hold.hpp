#pragma once
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "core/event.hpp"

namespace weldsail {

/// How fast a backlog empties, from its own departures.
struct Pace {
  double interval = 0;
  std::uint64_t seen = 0;
  std::optional<Moment> last;
};

/// What holds take up, and whose turn it is.
struct HoldState {
  std::size_t limit = 64U << 20U;
  std::size_t bytes = 0;
  std::map<std::string, std::size_t> pool_bytes;
  std::map<std::string, std::size_t> tenant_bytes;
  std::map<std::string, std::size_t> tenant_requests;
  std::map<std::string, Pace> paces;
  std::map<std::string, double> served;
  double turn = 0;
};

/// True when a body of the size has room: a pool and a tenant may each have as much as is left free.
bool hold_fits(const HoldState& state, const std::string& pool, const std::string& tenant, std::size_t size);
void hold_add(HoldState& state, const std::string& pool, const std::string& tenant, std::size_t size);
void hold_remove(HoldState& state, const std::string& pool, const std::string& tenant, std::size_t size);
/// A tenant's request left a backlog for a worker at the cost of some tokens.
void hold_left(HoldState& state, const std::string& pool, const std::string& tenant, double cost, bool more_wait,
               Moment now);
/// Time that a backlog of the length will take, where that is known.
std::optional<Moment> hold_wait(const HoldState& state, const std::string& pool, std::size_t length);
/// Seconds after which to come back: the backlog's time, spread so that refused crowds don't return together.
int hold_retry(const HoldState& state, const std::string& pool, std::size_t length, std::uint64_t spread);

}  // namespace weldsail
