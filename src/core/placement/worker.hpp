#pragma once
#include <optional>
#include <set>

#include "core/effect.hpp"

namespace weldsail {

/// Phase that a worker reports; call workers have none.
enum class WorkerPhase { prefill, decode, call };

/// A model as its worker reports it.
struct HeldModel {
  std::string state;
  std::int64_t weights_mb = 0;
  std::uint64_t running = 0;
};

/// A worker's own status document.
struct WorkerStatus {
  std::string instance;
  std::string service;
  std::string locality;
  WorkerPhase phase = WorkerPhase::call;
  std::int64_t room_mb = 0;
  std::uint64_t slots = 1;
  std::uint64_t running = 0;
  std::uint64_t waiting = 0;
  std::uint64_t adapter_capacity = 0;
  bool draining = false;
  std::map<std::string, HeldModel> models;
  std::map<std::string, std::string> adapters;
};

/// A worker as watched by this node.
struct WorkerView {
  std::string address;
  std::string service;
  std::optional<WorkerStatus> status;
  Moment heard = 0;
  Moment asked = 0;
  Moment refused = 0;
  bool hurried = false;
  std::uint64_t pipe = 0;
  int answer = 0;
  std::string body;
  std::uint64_t broken_since_heard = 0;
};

/// The workers that this node watches, by address.
struct WorkerWatch {
  Moment bound = 3000;
  std::map<std::string, WorkerView> views;
  std::map<std::uint64_t, std::string> pipes;
  /// Status documents that were longer than what is read of one.
  std::uint64_t too_large = 0;
};

/// Source of pipe numbers of one process.
struct PipeNumbers {
  std::uint64_t next = 1;
  std::uint64_t take() { return next++; }
};

/// Reads a status document; nothing when it is malformed.
std::optional<WorkerStatus> read_worker_status(const std::string& bytes);
/// Sets which workers are watched.
void watch_set(WorkerWatch& watch, const std::map<std::string, std::string>& services, Effects& effects);
void watch_tick(WorkerWatch& watch, PipeNumbers& numbers, Moment now, Effects& effects);
/// Takes a pipe's event; the address when a status has just come in.
std::optional<std::string> watch_pipe(WorkerWatch& watch, const Event& event, Effects& effects);
/// Marks a worker whose pipe broke: unusable until its next status.
void watch_broken(WorkerWatch& watch, const std::string& address);
/// True while the worker may get new work: fresh status, of the service it is listed for, not draining.
bool worker_usable(const WorkerWatch& watch, const WorkerView& view, Moment now);
/// True while the worker counts as there, draining or not.
bool worker_present(const WorkerWatch& watch, const WorkerView& view, Moment now);
/// Name of a phase as in documents.
const char* phase_name(WorkerPhase phase);

}  // namespace weldsail
