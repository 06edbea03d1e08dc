#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sim/world.hpp"

namespace weldsail::sim {

/// One configuration of the plain model: services by path prefix, owners by key.
struct PlainConfig {
  std::uint64_t revision = 0;
  std::map<std::string, std::string> routes;
  std::map<std::string, std::string> keys;
  /// The document that an operator sends; `filler` more routes make it large.
  std::string document(std::size_t filler) const;
};

/// A configuration that was sent, and when it was acknowledged.
struct SentConfig {
  PlainConfig config;
  Moment sent = 0;
  std::optional<Moment> acknowledged;
};

/// A caller's request and what came of it.
struct JudgedRequest {
  std::string node;
  std::string prefix;
  std::string key;
  Moment sent = 0;
  Moment answered = 0;
  int status = 0;
  /// The service and the tenant that a worker ran it for.
  std::optional<std::pair<std::string, std::string>> ran;
  /// The node and the way to it had been free of trouble for long enough.
  bool in_touch = false;
  /// The node hears nobody, and knew of nothing newer when that began.
  bool cut_off = false;
};

/// Data nodes, an operator whose changes add, move and take away routes and keys, and callers who use them.
class LateNewsWorld {
 public:
  LateNewsWorld(std::uint64_t seed, Moment bound, Moment adopt, std::size_t filler);
  /// Forms the core and puts the first configuration in force.
  void begin();
  /// Changes and requests until the moment, with troubles between unless it is to be quiet.
  void work_until(Moment end, bool quiet);
  /// Compares all that was refused and run with what was acknowledged when.
  std::vector<std::string> faults() const;

  World world;
  std::vector<std::string> controls;
  std::vector<std::string> datas;
  std::vector<SentConfig> sent;
  std::vector<JudgedRequest> requests;
  /// Refusals for want of a proof while everything was calm.
  std::uint64_t unproved_in_calm = 0;

 private:
  void add(const std::string& address, bool control, std::size_t place);
  void add_worker(const std::string& service);
  void tell_workers();
  void change();
  void send(std::size_t which, std::size_t turn);
  void ask();
  RequestArrived request_for(const JudgedRequest& request, std::size_t number) const;
  void trouble();
  void trouble_data(const std::string& address, Moment lasts);
  void trouble_core(Moment lasts);
  std::string owner() const;
  std::uint64_t unproved() const;
  bool calm() const { return world.now() >= core_calm_at_ && world.now() >= data_calm_at_; }
  /// The first configuration that a request sent at a moment may still be judged by.
  std::size_t oldest_allowed(Moment sent_at) const;
  std::optional<std::string> fault_of(const JudgedRequest& request) const;

  Moment bound_;
  Moment adopt_;
  std::size_t filler_;
  Moment end_ = 0;
  Moment core_calm_at_ = 0;
  Moment data_calm_at_ = 0;
  std::map<std::string, Moment> calm_at_;
  std::map<std::string, Moment> cut_until_;
  /// Until when news to a node takes so much longer.
  std::map<std::string, std::pair<Moment, Moment>> news_late_;
  std::uint64_t unproved_before_ = 0;
};

}  // namespace weldsail::sim
