#pragma once
#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "core/event.hpp"
#include "core/timehistogram.hpp"

namespace weldsail {

struct DataState;
struct PathCarry;

/// What a request waits for at a moment: a worker that may take it, weights or an adapter that no worker holds yet, its
/// first event (or its whole answer), or the rest of its answer.
enum class RequestPhase : std::size_t { worker, model, adapter, first_event, answer };
inline constexpr std::size_t request_phases = 5;

/// How a request ended for its caller.
enum class RequestOutcome : std::size_t { in_time, late, failed, refused, broken, caller_gone };
inline constexpr std::size_t request_outcomes = 6;

/// Where most of a lost request's time went: one of the phases, or a pause within its stream.
inline constexpr std::size_t loss_causes = request_phases + 1;

/// Where one request's time has gone so far.
struct PhaseClock {
  std::array<Moment, request_phases> spent{};
  RequestPhase phase = RequestPhase::worker;
  Moment since = 0;
  Moment longest_pause = 0;
};

/// Upper bounds, in milliseconds, of the buckets of times that requests spend in a phase.
inline constexpr std::array<Moment, 8> phase_buckets{5, 25, 100, 250, 500, 1000, 2500, 5000};

/// Times that requests spent in one phase.
using PhaseHistogram = TimeHistogram<phase_buckets>;

/// What became of one route's requests.
struct RouteLosses {
  std::array<PhaseHistogram, request_phases> phases{};
  std::array<std::array<std::uint64_t, loss_causes>, request_outcomes> ended{};
};

/// Losses by route. Routes beyond a number are counted together.
using LossesByRoute = std::map<std::string, RouteLosses>;

/// Names as in metrics.
const char* request_phase_name(RequestPhase phase);
const char* request_outcome_name(RequestOutcome outcome);
const char* loss_cause_name(std::size_t cause);

/// The request goes on to another phase.
void phase_enter(PhaseClock& clock, RequestPhase phase, Moment now);
/// Counts an ended request, where it wasn't lost as in time or late by the route's aims.
void losses_count(DataState& state, PathCarry& carry, RequestOutcome outcome, Moment now);

}  // namespace weldsail
